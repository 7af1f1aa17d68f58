package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Invariant is one thing that must always hold, and how the run bore it out.
type Invariant struct {
	Name string `json:"name"`
	// Checked counts the cases that were looked at; 0 means that the run did
	// not exercise the invariant.
	Checked  int `json:"checked"`
	Violated int `json:"broken"`
	// Example describes one broken case.
	Example string `json:"example,omitempty"`
}

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

// Report is the outcome of a demonstration.
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

// Step is one thing that the demonstration did.
type Step struct {
	AtSeconds float64 `json:"at_seconds"`
	Name      string  `json:"name"`
}

// Violated reports whether any invariant broke.
func (rep Report) Violated() bool {
	for _, inv := range rep.Invariants {
		if inv.Violated > 0 {
			return true
		}
	}
	return false
}

// WriteText writes the report for a person, who has seen the steps go by.
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

// WriteJSON writes the report for a program.
func (rep Report) WriteJSON(out io.Writer) (err error) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(rep); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func seconds(span time.Duration) float64 {
	return float64(span.Milliseconds()) / 1000
}
