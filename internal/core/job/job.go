// Package job holds the specification and the progress of jobs. It is pure data.
//
// A job consists of steps. A step is a number of equal tasks that start once
// the steps that it depends on are done. A gang is a step whose tasks work only
// while all of them run. A recurring job has several occurrences, each of which
// runs all steps. A run is one attempt to execute a task.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ID identifies a job. The client chooses it on submission.
type ID string

// Size is an amount of resources: what a task needs or what a VM provides.
type Size struct {
	// CPU is the number of cores in thousandths.
	CPU int64 `msgpack:"c,omitempty"`
	// Memory is the amount of memory in megabytes.
	Memory int64 `msgpack:"m,omitempty"`
	// Accelerators is the number of accelerator devices.
	Accelerators int64 `msgpack:"a,omitempty"`
}

// Plus returns the sum of siz and oth.
func (siz Size) Plus(oth Size) Size {
	return Size{siz.CPU + oth.CPU, siz.Memory + oth.Memory, siz.Accelerators + oth.Accelerators}
}

// Minus returns the difference of siz and oth.
func (siz Size) Minus(oth Size) Size {
	return Size{siz.CPU - oth.CPU, siz.Memory - oth.Memory, siz.Accelerators - oth.Accelerators}
}

// Times returns the total size of n tasks of size siz.
func (siz Size) Times(n int) Size {
	return Size{siz.CPU * int64(n), siz.Memory * int64(n), siz.Accelerators * int64(n)}
}

// Max returns the greater of each component of siz and oth.
func (siz Size) Max(oth Size) Size {
	return Size{max(siz.CPU, oth.CPU), max(siz.Memory, oth.Memory), max(siz.Accelerators, oth.Accelerators)}
}

// Fits reports whether no component of siz exceeds that of limit.
func (siz Size) Fits(limit Size) bool {
	return siz.CPU <= limit.CPU && siz.Memory <= limit.Memory && siz.Accelerators <= limit.Accelerators
}

// coresPerAccelerator is the number of cores that one accelerator counts as,
// from the platform's price list.
const coresPerAccelerator = 8

// Cores returns the size in cores, with accelerators converted to cores.
func (siz Size) Cores() float64 {
	return float64(siz.CPU)/1000 + float64(siz.Accelerators*coresPerAccelerator)
}

// Step is a number of equal tasks of a job.
type Step struct {
	Count int  `msgpack:"n"`
	Size  Size `msgpack:"s"`
	// Estimate is the client's rough estimate of the run time of a task.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// After lists the indexes of the earlier steps that must be done before this
	// one starts.
	After []int `msgpack:"f,omitempty"`
	// Checkpointing is set if tasks resume from their latest checkpoint.
	Checkpointing bool `msgpack:"k,omitempty"`
	// Gang is set if tasks make progress only while all tasks of the step run.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack is set if tasks are slow when they run on more than one rack.
	SameRack bool `msgpack:"sr,omitempty"`
	// Label is the label that a VM needs to run the tasks; empty if any VM may.
	Label string `msgpack:"l,omitempty"`
	// DataRack is the rack that stores the tasks' data; tasks are slow on any
	// other rack.
	DataRack string `msgpack:"d,omitempty"`
	// MaxPerVM is the maximum number of tasks of one occurrence on a VM; 0 means
	// no limit.
	MaxPerVM int `msgpack:"p,omitempty"`
	// Speculative is set if several copies of a task may run at the same time.
	Speculative bool `msgpack:"sp,omitempty"`
	// LongRunning is set if tasks run until the job is cancelled.
	LongRunning bool   `msgpack:"lr,omitempty"`
	Image       string `msgpack:"i,omitempty"`
	// TailTarget is the upper limit for the tail latency of a serving task; 0 for
	// tasks that do not serve requests.
	TailTarget time.Duration `msgpack:"t,omitempty"`
	// BestEffort is set for tasks that use only the CPU that other tasks leave
	// idle. Their CPU does not count against a VM's capacity.
	BestEffort bool `msgpack:"fi,omitempty"`
	// MaxUnavailable is the availability budget of a long-running step: the
	// maximum number of tasks that the system may make unavailable at the same
	// time; 0 means no limit.
	MaxUnavailable int `msgpack:"mm,omitempty"`
}

// Reservation returns the part of a VM's capacity that a task reserves.
func (ste Step) Reservation() Size {
	siz := ste.Size
	if ste.BestEffort {
		siz.CPU = 0
	}
	return siz
}

// Spec is the specification of a job as submitted.
type Spec struct {
	ID ID `msgpack:"id"`
	// Queue is the name of the queue that accepted the job. Host and Prefix are those by which
	// clients address it, and with it the job; records of earlier versions lack them.
	Queue  string `msgpack:"q"`
	Host   string `msgpack:"qh,omitempty"`
	Prefix string `msgpack:"qp,omitempty"`
	// Pool, MaxAttempts, Priority, SlackFactor, Target and Advice are those of the
	// queue when it accepted the job. They serve once the queue has been removed;
	// records of earlier versions lack them. Advice is nil if the steps need none.
	Pool        string        `msgpack:"po,omitempty"`
	MaxAttempts int           `msgpack:"ma,omitempty"`
	Priority    int           `msgpack:"pr,omitempty"`
	SlackFactor float64       `msgpack:"sf,omitempty"`
	Target      time.Duration `msgpack:"tg,omitempty"`
	Advice      *Advice       `msgpack:"ad,omitempty"`
	// Account is the name of the client account; empty on public queues.
	Account string `msgpack:"a,omitempty"`
	Payload string `msgpack:"p"`
	Steps   []Step `msgpack:"s"`
	// Accepted is the time at which the job was accepted, by the clock of the
	// entry that accepted it.
	Accepted time.Time `msgpack:"t"`
	// Occurrences is the number of times that the steps run; 0 means once and
	// immediately.
	Occurrences int `msgpack:"n,omitempty"`
	// FirstDue is the time at which the first occurrence is due, and Interval is
	// the time between occurrences.
	FirstDue time.Time     `msgpack:"fd,omitempty"`
	Interval time.Duration `msgpack:"iv,omitempty"`
}

// Advice describes the advisor that decides which VMs may run a queue's steps.
type Advice struct {
	// BaseLatency is the fixed part of the advisor's response time.
	BaseLatency time.Duration `msgpack:"b"`
	// LatencyPerVM is the additional response time for each VM in the request.
	LatencyPerVM time.Duration `msgpack:"v"`
	// Valid is the time for which a ticket, the advisor's permission to run a step
	// on a VM, is valid.
	Valid time.Duration `msgpack:"t"`
}

// OccurrenceCount returns the number of occurrences, at least 1.
func (spe Spec) OccurrenceCount() int { return max(1, spe.Occurrences) }

// Due returns the earliest start time of an occurrence.
func (spe Spec) Due(occ int) time.Time {
	if spe.Occurrences == 0 {
		return spe.Accepted
	}
	return spe.FirstDue.Add(time.Duration(occ) * spe.Interval)
}

// IsLongRunning reports whether any step of the job runs until the job is
// cancelled.
func (spe Spec) IsLongRunning() bool {
	for _, ste := range spe.Steps {
		if ste.LongRunning {
			return true
		}
	}
	return false
}

// Work returns the estimated work of one occurrence in core-seconds.
func (spe Spec) Work() float64 {
	sum := 0.0
	for _, ste := range spe.Steps {
		sum += ste.Size.Cores() * float64(ste.Count) * ste.Estimate.Seconds()
	}
	return sum
}

// CriticalPath returns the length of the longest chain of dependent steps. Steps
// for which included returns false count as zero; a nil included counts all
// steps. The length of a step is given by duration, or by its estimate if
// duration is nil.
func (spe Spec) CriticalPath(included func(step int) bool, duration func(ste Step) time.Duration) (longest time.Duration) {
	ends := make([]time.Duration, len(spe.Steps))
	for i, ste := range spe.Steps {
		for _, dep := range ste.After {
			ends[i] = max(ends[i], ends[dep])
		}
		switch {
		case included != nil && !included(i):
		case duration != nil:
			ends[i] += duration(ste)
		default:
			ends[i] += ste.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// Limits on the size of a job. They bound the number of records that hold its
// progress, and the memory that the dispatcher uses for its occurrences.
const (
	// MaxTasks is the maximum number of tasks in a step.
	MaxTasks = 10_000
	// MaxSteps is the maximum number of steps in a job.
	MaxSteps = 1000
	// MaxOccurrences is the maximum number of occurrences of a job.
	MaxOccurrences = 10_000
	// MaxTotalTasks is the maximum number of tasks over all steps and occurrences
	// of a job.
	MaxTotalTasks = 50_000
)

// Limits of the numbers of a job. Sums over its tasks, steps and occurrences do
// not overflow.
const (
	// MaxAmount is the maximum of each component of a task's size.
	MaxAmount = 1 << 40
	// MaxDuration is the maximum of a task's estimate and of its tail target.
	MaxDuration = 30 * 24 * time.Hour
	// MaxRecurrence is the maximum time from 1970 to the last occurrence.
	MaxRecurrence = 200 * 366 * 24 * time.Hour
)

// Check returns an error if the specification is inconsistent or exceeds a
// limit.
func (spe Spec) Check() error {
	if err := spe.checkStructure(); err != nil {
		return err
	}
	if len(spe.Steps) == 0 {
		return fmt.Errorf("job %s has 0 steps, must have 1 to %d", spe.ID, MaxSteps)
	}
	if spe.Interval < 0 {
		return fmt.Errorf("job %s has %d occurrences every %v, must have an interval of 0 or more", spe.ID, spe.Occurrences, spe.Interval)
	}
	if spe.Occurrences > 0 && (spe.Interval > MaxRecurrence/time.Duration(spe.Occurrences) || spe.FirstDue.Unix() > int64(MaxRecurrence/time.Second)) {
		return fmt.Errorf("job %s has %d occurrences every %v from %v, too far in the future", spe.ID, spe.Occurrences, spe.Interval, spe.FirstDue)
	}
	for i, ste := range spe.Steps {
		if err := ste.checkAmounts(i); err != nil {
			return fmt.Errorf("job %s: %w", spe.ID, err)
		}
	}
	return nil
}

// checkStructure returns an error if the steps don't exist that others depend on,
// or if there are more tasks than a job may have. It holds for stored jobs too.
func (spe Spec) checkStructure() error {
	if len(spe.Steps) > MaxSteps {
		return fmt.Errorf("job %s has %d steps, must have 1 to %d", spe.ID, len(spe.Steps), MaxSteps)
	}
	if spe.Occurrences < 0 || spe.Occurrences > MaxOccurrences {
		return fmt.Errorf("job %s has %d occurrences every %v, must have 0 to %d", spe.ID, spe.Occurrences, spe.Interval, MaxOccurrences)
	}
	all := 0
	for i, ste := range spe.Steps {
		if ste.Count < 1 || ste.Count > MaxTasks {
			return fmt.Errorf("job %s: step %d has %d tasks, must have 1 to %d", spe.ID, i, ste.Count, MaxTasks)
		}
		for _, dep := range ste.After {
			if dep < 0 || dep >= i {
				return fmt.Errorf("job %s: step %d comes after step %d, which is not an earlier step", spe.ID, i, dep)
			}
		}
		all += ste.Count
	}
	if all*spe.OccurrenceCount() > MaxTotalTasks {
		return fmt.Errorf("job %s has %d tasks in %d occurrences, exceeding the limit of %d in total", spe.ID, all, spe.OccurrenceCount(), MaxTotalTasks)
	}
	return nil
}

// checkAmounts returns an error if a number of the step, which has index num in
// its job, is out of range.
func (ste Step) checkAmounts(num int) error {
	if ste.Size.CPU < 0 || ste.Size.Memory < 0 || ste.Size.Accelerators < 0 {
		return fmt.Errorf("step %d has a negative size", num)
	}
	if max(ste.Size.CPU, ste.Size.Memory, ste.Size.Accelerators) > MaxAmount {
		return fmt.Errorf("step %d has a size above %d", num, int64(MaxAmount))
	}
	if min(ste.Estimate, ste.TailTarget) < 0 || max(ste.Estimate, ste.TailTarget) > MaxDuration {
		return fmt.Errorf("step %d has an estimate of %v and a tail target of %v, must be 0 to %v", num, ste.Estimate, ste.TailTarget, MaxDuration)
	}
	if ste.MaxPerVM < 0 || ste.MaxUnavailable < 0 {
		return fmt.Errorf("step %d has a negative limit", num)
	}
	return nil
}

// Task identifies a task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task name in the form JOB.OCCURRENCE.STEP.INDEX.
func (tas Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", tas.Job, tas.Occurrence, tas.Step, tas.Index)
}

// taskParts is the number of dot-separated parts of a task name.
const taskParts = 4

// ParseTask parses a task name as returned by Task.String.
func ParseTask(text string) (tas Task, err error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskParts || parts[0] == "" {
		return Task{}, fmt.Errorf("task name %q does not have the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	numbers := [taskParts - 1]int{}
	for i, part := range parts[1:] {
		numbers[i], err = strconv.Atoi(part)
		if err != nil || numbers[i] < 0 {
			return Task{}, fmt.Errorf("task name %q: %q is not a non-negative number", text, part)
		}
	}
	return Task{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
