// Package explain traces one job, task or VM through the logs of all processes.
//
// A VM (worker.VM) is one incarnation of a virtual machine that runs tasks; the
// machine outlasts it.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is a log line. Fields holds its fields except the time, the event, the
// process and the level.
type Line struct {
	At      time.Time
	Event   string
	Process string
	Fields  map[string]any
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Collect returns the lines of a log that contain an ID of a job, a task or a VM,
// also as a part of a longer one.
// Lines that mention the ID but are not valid log lines are skipped and counted in
// unparsed.
func Collect(log io.Reader, id string) (lines []Line, unparsed int, err error) {
	scn := bufio.NewScanner(log)
	scn.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scn.Scan() {
		text := scn.Text()
		if !strings.Contains(text, id) {
			continue
		}
		// Some log collectors prefix lines with a time and the name of the VM.
		at := strings.IndexByte(text, '{')
		if at < 0 {
			unparsed++
			continue
		}
		lin, ok := parse([]byte(text[at:]))
		if !ok {
			unparsed++
			continue
		}
		lines = append(lines, lin)
	}
	if err := scn.Err(); err != nil {
		return lines, unparsed, fmt.Errorf("read log: %w", err)
	}
	return lines, unparsed, nil
}

// parse decodes a JSON log line. It must have a time and an event.
func parse(raw []byte) (lin Line, ok bool) {
	fields := map[string]any{}
	if json.Unmarshal(raw, &fields) != nil {
		return Line{}, false
	}
	text, _ := fields["at"].(string)
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return Line{}, false
	}
	lin = Line{At: at, Fields: fields}
	lin.Event, _ = fields["event"].(string)
	lin.Process, _ = fields["process"].(string)
	for _, name := range []string{"at", "event", "process", "level"} {
		delete(fields, name)
	}
	return lin, lin.Event != ""
}

// Sort sorts the lines of several logs by time, then by process.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(one, oth Line) int { return cmp.Or(one.At.Compare(oth.At), cmp.Compare(one.Process, oth.Process)) })
}

// String formats the line, with its fields sorted by name.
func (lin Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %-24s %s", lin.At.UTC().Format("15:04:05.000"), lin.Process, lin.Event)
	for _, name := range slices.Sorted(maps.Keys(lin.Fields)) {
		switch val := lin.Fields[name].(type) {
		case string:
			if strings.ContainsAny(val, " \n\"") {
				val = strconv.Quote(val)
			}
			if val != "" {
				fmt.Fprintf(&out, " %s=%s", name, val)
			}
		default:
			fmt.Fprintf(&out, " %s=%v", name, val)
		}
	}
	return out.String()
}

// Summary describes in a sentence the outcome of a job that the lines report.
func Summary(lines []Line) string {
	summary := "No log line reports how it ended."
	for _, lin := range lines {
		switch {
		case lin.Event == "job_ended":
			summary = fmt.Sprintf("It ended as %v %v ms after it was accepted, %s.", lin.Fields["state"], number(lin.Fields["age_ms"]), lateness(lin.Fields["late_ms"]))
		case lin.Event == "call" && lin.Fields["method"] == "POST" && lin.Fields["verdict"] == "ok":
			summary = fmt.Sprintf("It was accepted by %s; no log line reports how it ended.", lin.Process)
		case lin.Event == "call" && lin.Fields["method"] == "POST":
			summary = fmt.Sprintf("The last submission was answered %v by %s: %v.", lin.Fields["verdict"], lin.Process, lin.Fields["reason"])
		}
	}
	return summary
}

func number(val any) int64 {
	num, _ := val.(float64)
	return int64(num)
}

func lateness(val any) string {
	if late := number(val); late > 0 {
		return fmt.Sprintf("%d ms late", late)
	}
	return "in time"
}
