// Package settle decides how a start without an answer is settled.
//
// The start may have been carried out, may still be, or was lost. A VM carries a run out
// once, so the start may be sent again. A stop makes the VM reject the run, and ends it if
// the start arrived first: for a serving task that is an outage, which its step must be
// able to bear when the stop arrives. Without either, the start has to grow too old to
// arrive.
package settle

// Limits of the starts of one run that are sent again.
const (
	// MaxRepeats is how often a start is sent again before its run is stopped.
	MaxRepeats = 2
	// MaxRepeatsBeyondBudget replaces it while the run may not be stopped.
	MaxRepeatsBeyondBudget = 12
)

// Action is what is done about a start without an answer.
type Action int

// Actions on a start.
const (
	// Repeat sends the start again.
	Repeat Action = iota
	// Stop makes the VM reject the run.
	Stop
	// Wait does nothing until the VM's next report.
	Wait
	// Release ends the run: its start can't arrive any more.
	Release
)

// Start is a start without an answer, whose run the VM doesn't list.
type Start struct {
	// Repeats counts how often it was sent again.
	Repeats int
	// Rejected reports whether the VM has rejected the run.
	Rejected bool
	// MayRepeat reports whether the VM may get the start once more, and MayStop
	// whether the run may be stopped even if it is at work by then.
	MayRepeat, MayStop bool
	// MayArrive reports whether a start of the run may still be carried out.
	MayArrive bool
}

// Next returns what is done about the start.
func (sta Start) Next() Action {
	switch {
	case sta.Rejected:
		return Release
	case sta.MayRepeat && sta.Repeats < MaxRepeats:
		return Repeat
	case sta.MayStop:
		return Stop
	case sta.MayRepeat && sta.Repeats < MaxRepeatsBeyondBudget:
		return Repeat
	case sta.MayArrive:
		return Wait
	default:
		return Release
	}
}
