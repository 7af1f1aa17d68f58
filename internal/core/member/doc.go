// Package member tracks the other entries that one entry knows: which are live,
// which of them leads a subject such as a pool's dispatching, and whether the
// entry's configuration is fresh enough to start work.
//
// A member's ID must be unique to one incarnation of one process, so that a
// restarted process is a new member. VM here is the machine that a member runs
// on.
package member
