// Package demo runs several entries with the stand-ins in one process, generates
// load of requests and tasks during common operations and failures, and checks
// the system's invariants from the outside: against the responses that callers
// received and the runs that the stand-ins recorded.
//
// An entry is one process of the system on an entry VM. An executor runs requests
// on its VM, and a worker runs tasks on its VM; both are stand-ins here.
package demo
