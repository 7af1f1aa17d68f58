package vmclock

import (
	"slices"
	"time"
)

// Leases bounds the leases of VMs by the calls that extend them, polls and starts.
//
// A call names the end of the lease on its VM's clock. One without an answer may be
// carried out later, by the next incarnation of the VM as well, whose clock starts anew.
// The lease's end is then far ahead on it, and the VM grants the longest lease there is.
type Leases struct {
	// lease is the lease that calls ask for, longest the longest that VMs grant.
	lease, longest time.Duration
	// maxDelay is how late a call without an answer may be carried out, from when it was
	// first sent. It is sent again until its time is up.
	maxDelay time.Duration
	// extended holds, by the ID of a VM, when the last call was sent that extends its
	// lease.
	extended map[string]time.Time
}

// NewLeases returns the leases of VMs that were not called yet.
func NewLeases(lease, longest, maxDelay time.Duration) *Leases {
	return &Leases{lease: lease, longest: max(lease, longest), maxDelay: maxDelay, extended: map[string]time.Time{}}
}

// Extend records that a call is sent now that extends a VM's lease. It returns when
// the lease is guaranteed to have ended, unless the VM restarts.
func (lea *Leases) Extend(vm string, now time.Time) (end time.Time) {
	lea.extended[vm] = now
	return now.Add(LongestLease(lea.lease))
}

// OfFormer returns when leases are guaranteed to have ended that a former dispatcher has
// granted, on VMs that haven't restarted. The tenure of the next one began at since.
func (lea *Leases) OfFormer(since time.Time) (end time.Time) {
	return since.Add(LongestLease(lea.lease))
}

// Inherited returns when the lease of a new incarnation of a VM is guaranteed to have
// ended, if only calls for former incarnations extend it; zero if there were none.
func (lea *Leases) Inherited(vm string) (end time.Time) {
	at, ok := lea.extended[vm]
	if !ok {
		return time.Time{}
	}
	return at.Add(lea.LongestInheritance())
}

// InheritedFromFormer returns when the lease of a new incarnation of a VM is guaranteed to
// have ended, if calls of a former dispatcher for former incarnations extend it. The tenure of
// the next one began at since.
func (lea *Leases) InheritedFromFormer(since time.Time) (end time.Time) {
	return since.Add(lea.LongestInheritance())
}

// LongestInheritance returns the longest real time from a call for a former incarnation of
// a VM to the end of all that it starts or extends.
func (lea *Leases) LongestInheritance() time.Duration {
	return lea.maxDelay + LongestLease(lea.longest)
}

// Accepted returns when the lease of a VM is guaranteed to have ended that calls of
// a former dispatcher have extended, if the VM accepts none of them from now on. The
// tenure began at since; age is the least time for which the VM has been running. The
// calls may have been for another incarnation only if the VM has restarted since or not long
// before.
func (lea *Leases) Accepted(since, now time.Time, age time.Duration) (end time.Time) {
	if inheritance := lea.LongestInheritance(); age > inheritance || now.Sub(since) > inheritance {
		return lea.OfFormer(since)
	}
	return now.Add(LongestLease(lea.longest))
}

// Expire drops the calls that extend no lease any more.
func (lea *Leases) Expire(now time.Time) {
	for vm, at := range lea.extended {
		if now.Sub(at) > lea.LongestInheritance() {
			delete(lea.extended, vm)
		}
	}
}

// Latest returns the latest of some times.
func Latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
