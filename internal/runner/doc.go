// Package runner runs one entry, which is one process of the system on an entry
// VM. It drives the entry's reducer, the pure function Reduce of package
// core/entry: it passes events to the reducer one at a time and carries out the
// resulting effects with real clocks, sockets and the store.
//
// It serves three listeners: one for callers, the clients that send requests
// and tasks; one for peers, the other entries; and the admin API for operators.
// The platform runs the VMs of the fleet and lists them. An executor is a VM's
// service that answers requests; a worker is a VM's service that runs tasks.
package runner
