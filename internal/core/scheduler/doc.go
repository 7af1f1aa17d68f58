// Package scheduler is the reducer of the dispatcher: the one process that
// decides which VM runs which task, for all pools.
//
//	effects := state.Reduce(now, events)
//
// It holds no clock, socket or goroutine. Everything that happens reaches it as
// an event, and everything that it wants done is an effect. A State belongs to
// one goroutine.
//
// Safety rests on three rules. A VM gets orders only after it has answered a
// look with this dispatcher's term, from when on it refuses those of former
// dispatchers. A run whose fate is unknown keeps its room, and its task is not
// started elsewhere, until the VM has reported, has rejected it for good, or
// its lease has ended even on a slow clock. The end of a run is acknowledged to
// the VM only once it is stored.
package scheduler
