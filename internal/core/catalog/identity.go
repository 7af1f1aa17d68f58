package catalog

import "strings"

// Clients address a job by the host and the prefix of its queue, so these identify the queue. Its name
// is the operators'. A version of the configuration may change it, and give it to another queue.

// Key identifies the queue: by its address, or by its name if it has none.
func (que *Queue) Key() string {
	if !que.hasAddress() {
		return que.Name
	}
	return strings.ToLower(que.Host) + que.Prefix
}

// hasAddress reports whether the address of the queue is known. Records of earlier versions lack it.
func (que *Queue) hasAddress() bool { return que.Host != "" || que.Prefix != "" }

// Successor returns the queue that serves the jobs of a queue of an earlier version, or nil if there
// is none: the one with its address, whatever its name. A queue with its name and another address
// is one that was moved if its pool is the same, and otherwise another one.
func (cat Catalog) Successor(old *Queue) *Queue {
	que := cat.queues[old.Name]
	if !old.hasAddress() {
		return que
	}
	if at := cat.At(old.Host, old.Prefix); at != nil {
		return at
	}
	if que != nil && que.Pool == old.Pool {
		return que
	}
	return nil
}

// Reaches reports whether calls of a client account to a queue concern the jobs of an account that
// a queue of an earlier version accepted. A job of an account may be seen without its key only at its
// own address, if the queue there is public now.
func (cat Catalog) Reaches(que, old *Queue, caller, owner string) bool {
	own := caller == owner
	switch {
	case !old.hasAddress():
		return que.Name == old.Name && (que.Public || own)
	case que.Key() == old.Key():
		return que.Public || own
	default:
		// The queue was moved, unless another one has its address.
		return que.Name == old.Name && own && cat.At(old.Host, old.Prefix) == nil
	}
}
