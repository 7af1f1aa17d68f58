// Package soak runs the real program as separate processes on loopback, against
// the stand-in of the platform, and injects faults from outside them: processes
// are killed, paused, restarted and told to reload; connections are delayed,
// reset, cut one way or silenced by proxies; the store and the VMs misbehave.
//
// Package ledger checks what must always hold, from what callers, VMs and the store
// see. The seed decides the schedule of faults.
package soak
