package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Invariant is the result of checking an invariant.
type Invariant struct {
	Name string `json:"name"`
	// Checked counts the cases that were checked; 0 means that the run did not
	// exercise the invariant.
	Checked int `json:"checked"`
	// Violated counts the cases that violated the invariant.
	Violated int `json:"broken"`
	// Example describes the first of them.
	Example string `json:"example,omitempty"`
}

// check counts a case. The format describes it if it violates the invariant.
func (inv *Invariant) check(holds bool, format string, args ...any) {
	inv.Checked++
	if holds {
		return
	}
	inv.Violated++
	if inv.Example == "" {
		inv.Example = fmt.Sprintf(format, args...)
	}
}

// Report is the result of a demonstration. Requests counts all calls; Answered,
// NotRun and Unknown count them by outcome, and Cut those without a complete
// response.
type Report struct {
	Seconds    float64     `json:"seconds"`
	Steps      []Step      `json:"steps"`
	Requests   int         `json:"requests"`
	Answered   int         `json:"answered"`
	NotRun     int         `json:"not_run"`
	Unknown    int         `json:"unknown"`
	Cut        int         `json:"cut"`
	Tasks      int         `json:"tasks_accepted"`
	TasksDone  int         `json:"tasks_done"`
	Invariants []Invariant `json:"invariants"`
}

// Step is a step of the scenario with the time since its start.
type Step struct {
	AtSeconds float64 `json:"at_seconds"`
	Name      string  `json:"name"`
}

// Violated reports whether any invariant was violated.
func (rep Report) Violated() bool {
	for _, inv := range rep.Invariants {
		if inv.Violated > 0 {
			return true
		}
	}
	return false
}

// WriteText writes the report as text. It leaves out the steps, which are printed
// as they happen.
func (rep Report) WriteText(out io.Writer) (err error) {
	lines := []string{
		fmt.Sprintf("requests %d: answered %d, not run %d, unknown %d, cut %d", rep.Requests, rep.Answered, rep.NotRun, rep.Unknown, rep.Cut),
		fmt.Sprintf("tasks accepted %d, done %d", rep.Tasks, rep.TasksDone), "",
		fmt.Sprintf("%-34s %8s %8s", "invariant", "checked", "broken"),
	}
	for _, inv := range rep.Invariants {
		line := fmt.Sprintf("%-34s %8d %8d", inv.Name, inv.Checked, inv.Violated)
		if inv.Example != "" {
			line += "  " + inv.Example
		}
		lines = append(lines, line)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

// WriteJSON writes the report as indented JSON.
func (rep Report) WriteJSON(out io.Writer) (err error) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(rep); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func seconds(duration time.Duration) float64 {
	return float64(duration.Milliseconds()) / 1000
}
