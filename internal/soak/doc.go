// Package soak runs the real program as separate processes on loopback, against
// the stand-in of the platform, and injects faults from outside: processes are
// killed, paused, restarted and reloaded; proxies delay, reset or silence
// connections or cut them in one or both directions; the store drops responses,
// compacts its history or is down; VMs crash; keys, zones and waves of upkeep
// change. The seed determines the schedule of faults.
//
// Package ledger checks the invariants from what callers, VMs and operators
// observe.
//
// A node is one process of the program. A machine of the stand-in runs one VM at
// a time; each VM is an incarnation of its machine, and a crash of the VM is
// followed by a new one.
package soak
