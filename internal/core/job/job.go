// Package job describes jobs: steps of sized tasks with dependencies, and how
// far they have got. It is pure data.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ID names a job. Its submitter chooses it.
type ID string

// Size is the room that a task needs or a VM has.
type Size struct {
	// CPU is in thousandths of a core.
	CPU int64 `msgpack:"c,omitempty"`
	// Memory is in megabytes.
	Memory int64 `msgpack:"m,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int64 `msgpack:"a,omitempty"`
}

// Plus returns the sum of two sizes.
func (siz Size) Plus(oth Size) Size {
	return Size{siz.CPU + oth.CPU, siz.Memory + oth.Memory, siz.Accelerators + oth.Accelerators}
}

// Minus returns the difference of two sizes.
func (siz Size) Minus(oth Size) Size {
	return Size{siz.CPU - oth.CPU, siz.Memory - oth.Memory, siz.Accelerators - oth.Accelerators}
}

// Times returns the size of n tasks.
func (siz Size) Times(n int) Size {
	return Size{siz.CPU * int64(n), siz.Memory * int64(n), siz.Accelerators * int64(n)}
}

// Fits reports whether the size is at most another one.
func (siz Size) Fits(room Size) bool {
	return siz.CPU <= room.CPU && siz.Memory <= room.Memory && siz.Accelerators <= room.Accelerators
}

// acceleratorCores is what an accelerator counts as in core-seconds, from the
// platform's price list.
const acceleratorCores = 8

// Cores returns the size as cores.
func (siz Size) Cores() float64 {
	return float64(siz.CPU)/1000 + float64(siz.Accelerators*acceleratorCores)
}

// Step is a number of equal tasks.
type Step struct {
	Count int  `msgpack:"n"`
	Size  Size `msgpack:"s"`
	// Estimate is the submitter's rough guess of a task's run time.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `msgpack:"f,omitempty"`
	// Checkpointing tasks resume from their latest checkpoint.
	Checkpointing bool `msgpack:"k,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool   `msgpack:"sr,omitempty"`
	Label    string `msgpack:"l,omitempty"`
	// DataRack is the rack where the tasks' data lies; they are slow elsewhere.
	DataRack string `msgpack:"d,omitempty"`
	// MaxPerVM bounds the tasks of one occurrence on a VM; 0 is no bound.
	MaxPerVM int `msgpack:"p,omitempty"`
	// Speculative tasks may run in several copies at once.
	Speculative bool `msgpack:"sp,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `msgpack:"lr,omitempty"`
	Image       string `msgpack:"i,omitempty"`
	// TailTarget is the bound of the tail of a serving task's response times;
	// 0 for tasks that don't serve.
	TailTarget time.Duration `msgpack:"t,omitempty"`
	// Fills says that the tasks use the processors that others leave idle: their
	// CPU doesn't count against a VM's capacity.
	Fills bool `msgpack:"fi,omitempty"`
	// MayMiss is how many tasks the system may keep from work at once.
	MayMiss int `msgpack:"mm,omitempty"`
}

// Reservation returns what a task takes of a VM's capacity.
func (ste Step) Reservation() Size {
	siz := ste.Size
	if ste.Fills {
		siz.CPU = 0
	}
	return siz
}

// Spec is a job as it was submitted.
type Spec struct {
	ID ID `msgpack:"id"`
	// Queue names the queue that took the job.
	Queue string `msgpack:"q"`
	// Account names the client account; empty on queues open to all.
	Account string `msgpack:"a,omitempty"`
	Payload string `msgpack:"p"`
	Steps   []Step `msgpack:"s"`
	// Accepted is when the job was accepted, by the accepting entry's clock.
	Accepted time.Time `msgpack:"t"`
	// Occurrences is how often the steps run; 0 means once, at once.
	Occurrences int `msgpack:"n,omitempty"`
	// FirstDue and Interval give when each occurrence is due.
	FirstDue time.Time     `msgpack:"fd,omitempty"`
	Interval time.Duration `msgpack:"iv,omitempty"`
}

// OccurrenceCount returns how often the steps run, at least 1.
func (spe Spec) OccurrenceCount() int { return max(1, spe.Occurrences) }

// Due returns when an occurrence may start.
func (spe Spec) Due(occ int) time.Time {
	if spe.Occurrences == 0 {
		return spe.Accepted
	}
	return spe.FirstDue.Add(time.Duration(occ) * spe.Interval)
}

// IsLongRunning reports whether the job runs until it is cancelled.
func (spe Spec) IsLongRunning() bool {
	for _, ste := range spe.Steps {
		if ste.LongRunning {
			return true
		}
	}
	return false
}

// Work returns the core-seconds of one occurrence, by the estimates.
func (spe Spec) Work() float64 {
	sum := 0.0
	for _, ste := range spe.Steps {
		sum += ste.Size.Cores() * float64(ste.Count) * ste.Estimate.Seconds()
	}
	return sum
}

// CriticalPath returns the longest chain of those steps that count, each as long as span
// says. A nil function counts all steps, or takes the estimates.
func (spe Spec) CriticalPath(counts func(step int) bool, span func(ste Step) time.Duration) (longest time.Duration) {
	ends := make([]time.Duration, len(spe.Steps))
	for i, ste := range spe.Steps {
		for _, dep := range ste.After {
			ends[i] = max(ends[i], ends[dep])
		}
		switch {
		case counts != nil && !counts(i):
		case span != nil:
			ends[i] += span(ste)
		default:
			ends[i] += ste.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// Bounds of a job. They keep its progress record below the megabyte that the store
// takes, and what its occurrences take in a dispatcher's memory small.
const (
	// MaxTasks bounds the tasks of one step.
	MaxTasks = 10_000
	// MaxSteps bounds the steps.
	MaxSteps = 1000
	// MaxOccurrences bounds the occurrences.
	MaxOccurrences = 10_000
	// MaxTotalTasks bounds the tasks of all steps and occurrences.
	MaxTotalTasks = 50_000
)

// Check returns what is wrong with a job.
func (spe Spec) Check() error {
	if len(spe.Steps) == 0 || len(spe.Steps) > MaxSteps {
		return fmt.Errorf("job %s has %d steps, not 1 to %d", spe.ID, len(spe.Steps), MaxSteps)
	}
	if spe.Occurrences < 0 || spe.Occurrences > MaxOccurrences || spe.Interval < 0 {
		return fmt.Errorf("job %s has %d occurrences every %v, not up to %d", spe.ID, spe.Occurrences, spe.Interval, MaxOccurrences)
	}
	all := 0
	for i, ste := range spe.Steps {
		if err := ste.check(i); err != nil {
			return fmt.Errorf("job %s: %w", spe.ID, err)
		}
		all += ste.Count
	}
	if all*spe.OccurrenceCount() > MaxTotalTasks {
		return fmt.Errorf("job %s has %d tasks in %d occurrences, more than %d together", spe.ID, all, spe.OccurrenceCount(), MaxTotalTasks)
	}
	return nil
}

// check returns what is wrong with the step of a number.
func (ste Step) check(num int) error {
	if ste.Count < 1 || ste.Count > MaxTasks {
		return fmt.Errorf("step %d has %d tasks, not 1 to %d", num, ste.Count, MaxTasks)
	}
	if ste.Size.CPU < 0 || ste.Size.Memory < 0 || ste.Size.Accelerators < 0 {
		return fmt.Errorf("step %d has a negative size", num)
	}
	if ste.Estimate < 0 || ste.TailTarget < 0 {
		return fmt.Errorf("step %d has an estimate of %v and a target of %v", num, ste.Estimate, ste.TailTarget)
	}
	for _, dep := range ste.After {
		if dep < 0 || dep >= num {
			return fmt.Errorf("step %d comes after step %d, which is not an earlier one", num, dep)
		}
	}
	return nil
}

// Task names a task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String writes the task as JOB.OCCURRENCE.STEP.INDEX.
func (tas Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", tas.Job, tas.Occurrence, tas.Step, tas.Index)
}

// taskParts is the number of parts in a task's name.
const taskParts = 4

// ParseTask reads a task's name.
func ParseTask(text string) (tas Task, err error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskParts || parts[0] == "" {
		return Task{}, fmt.Errorf("task name %q does not have the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	numbers := [taskParts - 1]int{}
	for i, part := range parts[1:] {
		numbers[i], err = strconv.Atoi(part)
		if err != nil || numbers[i] < 0 {
			return Task{}, fmt.Errorf("task name %q: %q is not a number", text, part)
		}
	}
	return Task{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
