// Package runner runs one entry, which is one process of the system on an entry
// VM. It feeds events to the reducer one at a time and carries out the
// resulting effects with real clocks, sockets and the store.
//
// It serves three listeners: callers send requests and tasks, peers are the
// other entries, and operators use the admin API. Executors are the VMs that
// serve requests; workers are those that run tasks.
package runner
