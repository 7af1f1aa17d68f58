// Package scheduler is the state machine of the dispatcher, the one process
// that decides which VM runs which task, for all pools.
//
//	effects := state.Reduce(now, events)
//
// State holds no clock, socket or goroutine. Every input reaches it as an Event,
// and every action is returned as an Effect for the caller to perform.
//
// The package uses these terms:
//
//   - A VM (worker.VM) is one incarnation of a virtual machine that runs the
//     tasks of a pool: from one start to its end. A restart, a move or upkeep
//     ends it, and another one follows. Orders to VMs go through
//     platform.Executors. The VMs of package vm, which offer the services
//     executor and worker to the entries, take no part here.
//   - A machine (worker.Machine) is what the platform lists, moves and maintains.
//     It outlasts its VMs.
//   - A host is this package's record of a VM and of the runs that may be active
//     there.
//   - A job runs its steps once, or in several occurrences at scheduled times. A
//     stage is a step of one occurrence, and a gang is a stage whose tasks work
//     only while all of them run.
//   - A run is one attempt to execute a task. Its number rises with each
//     attempt. An end is a VM's record of a run that is over; the VM reports it
//     until it is acknowledged.
//   - An order is a request to a VM to start, stop or pace a run, or a request
//     to the platform to move or maintain a machine. A poll asks a VM for its
//     runs and ends, acknowledges ends and extends the lease under which the VM
//     keeps its runs active.
//   - Serving tasks have a target for their tail latency. Best-effort tasks
//     (job.Step.BestEffort) use the CPU that others leave idle; their pace is
//     the percentage of full speed at which they may run.
//   - The advisor is a service of the platform that decides which VMs may run
//     the steps of some queues. A ticket is its permission for one VM.
//   - The duty is the exclusive right to dispatch, held by one process under a
//     store lease. A tenure is the time for which a process holds it, and the
//     term is the tenure's fencing token.
//   - Upkeep is the maintenance of a machine, and a wave is a batch of upkeep.
//   - An entry is a process that accepts jobs from callers.
//
// Safety rests on three rules:
//
//   - A VM gets orders only after it has answered a poll with this dispatcher's
//     term. From then on it refuses the orders of former dispatchers.
//   - A run that may still be active keeps its capacity, and its task is not
//     started elsewhere, until a report of the VM shows that it is over, the VM
//     has rejected it for good, or its lease has expired even on a slow clock.
//   - The end of a run is acknowledged to the VM only once it is stored.
package scheduler
