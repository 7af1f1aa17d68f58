// Package soak runs the real program as separate processes on loopback, against
// the stand-in of the platform, and injects faults from outside: processes are
// killed, paused, restarted and reloaded; proxies delay, reset or silence
// connections or cut them in one or both directions; the store loses replies,
// compacts its history or is down; VMs crash; keys, zones and waves of upkeep
// change. The seed determines the schedule of faults.
//
// Package ledger checks the invariants from what callers, VMs and operators
// observe.
//
// A node is one process of the program. A machine of the stand-in runs one VM at
// a time; after a crash, it continues as a new incarnation.
package soak
