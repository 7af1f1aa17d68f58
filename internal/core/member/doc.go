// Package member keeps what an entry knows of the other entries: who is heard,
// who leads a pool's dispatching, and whether the entry is fresh enough to
// start work.
//
// It assumes that a member's ID is unique to one incarnation of one process,
// so that a restarted process is a new member.
package member
