// Package dispatch decides, for one pool, which waiting work gets which free
// slot.
//
// The dispatcher of a pool is one of the entries. Its state can be rebuilt at
// any time: each entry reports all its waiting and running work, and a new
// dispatcher waits for the reports of every live member before it grants slots.
// A grant conveys nothing beyond a slot: the entry that starts the work checks
// its key, its permit and the state of the VM at that moment. An entry reuses a
// slot for its next work until the dispatcher recalls it; a recall requests
// that the entry return slots as they become free.
//
// A VM here is one of the pool (vm.VM), which offers the service executor or
// worker.
package dispatch
