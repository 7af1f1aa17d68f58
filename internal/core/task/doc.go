// Package task keeps the records of tasks: the submission, each attempt and
// each result. The VM in a record is the one (vm.VM) whose worker received the
// attempt.
//
// An entry appends batches of records to a log of segments in the store and
// owns its log through a fence key. An entry that adopts the log of a member
// without a lease replaces the fence first, so that a late write of the former
// owner fails.
package task
