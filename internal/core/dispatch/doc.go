// Package dispatch decides, for one pool, which waiting work gets which free
// slot.
//
// The dispatcher of a pool is one of the entries. It holds nothing that can't
// be rebuilt: each entry reports all that it has waiting and running, and a
// new dispatcher waits for the reports of every live member before it grants.
// A grant carries no right beyond a slot. The entry that starts the work checks
// its key, its permit and the VM at that moment.
package dispatch
