// Package manager implements the process that runs on every entry VM: a Node,
// which other packages call an entry. It serves clients' calls, and while it
// holds the duty, the exclusive right to dispatch, it runs the dispatcher.
//
// A tenure is the time for which one process holds the duty, and its term is
// the fencing token of the dispatcher's orders. The dispatcher passes events to
// the reducer, scheduler.State.Reduce, and carries out the effects that the
// reducer returns.
//
// All processes are alike. They share only the store, which holds jobs,
// progress, the duty and the dispatcher's load (scheduler.Load), from which
// each process decides whether to admit a job.
//
// A VM without qualification is one incarnation of a virtual machine that runs
// tasks (worker.VM).
package manager
