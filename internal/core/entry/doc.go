// Package entry implements the reducer of an entry, that is, of one process of
// the system on an entry VM: for each event it computes the next state and a
// list of effects.
//
// Reduce is pure and deterministic. It reads no clock, uses no randomness other
// than the generator in the state, and starts no goroutines. Its driver must
// follow these rules:
//
//   - Events are reduced one at a time, with a time that never decreases. The
//     first event is event.Started. After each event.Tick the next one follows
//     within State.TickWithin. Additional ticks are harmless.
//   - Effects are carried out in order. The comment of each effect names the
//     event that must follow it.
//   - Messages of one link arrive in order or not at all. If a message is lost,
//     event.PeerDown is reduced before any later message of that member.
//
// A VM (vm.VM) is one incarnation of a virtual machine of the fleet; physical
// hosts do not occur here. An executor is a VM's service that answers requests,
// also called the upstream of a request. A worker is a VM's service that runs
// tasks under a lease. Work is a request or a task. A slot is a VM's capacity
// for one piece of work, and an attempt is one try to run work on a slot.
//
// The entries are the members of the system; a voter is a member that the
// configuration lists. For each pool of VMs one live member is elected as the
// leader and runs the pool's dispatcher, which grants the slots of the VMs.
// Entries report their demand to it by lanes, where a lane is the work of one
// team and urgency, with retries apart. A recall is the dispatcher's request to
// give slots back. Work also needs a permit of its team; the permits of a team
// add up to its limit and are transferred between voters. A transfer is sent as
// the total of all permits sent to the receiver so far, so a repeated message
// changes nothing. An entry is in debt while the number of permits that it holds
// is negative, as after a team's limit was lowered.
//
// A voter is absent while no messages of it arrive and it has no lease in the
// store. After StopTimeout it counts as departed and is removed: the remaining
// voters freeze their transfers with it, and their settlements state the net
// permits transferred. A member whose transfers are frozen without its request
// is dismissed and exits. A member is gone once the platform or an operator has
// confirmed that it runs no more; the majority is then counted without it.
//
// An entry writes the records of its tasks to its task log in the store. The
// log's fence is a key that each write of the log requires to be unchanged.
// Another entry adopts the log of an entry without a lease: it replaces the
// fence, which ends the owner's writes, and moves the records to its own log.
package entry
