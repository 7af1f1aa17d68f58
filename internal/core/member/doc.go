// Package member tracks the other entries that one entry knows: which are live,
// which of them leads a subject such as a pool's dispatching, and whether the
// entry's configuration is fresh enough to start work.
//
// A member is an entry as the fleet sees it, and a peer is a member other than
// the entry itself. The voters are the members that the configuration lists; an
// accepted change has reached a majority of them. A member is leaving while it
// shuts down gracefully, and gone once it is guaranteed to have terminated.
//
// The freshness rule is that an entry starts work only within FreshnessTimeout
// of contact with the store or with a majority of the voters.
//
// A member's ID must be unique to one incarnation of one process, so that a
// restarted process is a new member. A VM here is the entry VM that a member
// runs on.
package member
