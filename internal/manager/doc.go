// Package manager implements the process that runs on every entry VM (an
// entry). It serves clients' calls, and while it holds the duty, the exclusive
// right to dispatch, it runs the dispatcher.
//
// All processes are alike. They share only the store, which holds jobs,
// progress, the duty and the dispatcher's load.
//
// A VM without qualification is one that runs tasks (worker.VM), one
// incarnation of a machine.
package manager
