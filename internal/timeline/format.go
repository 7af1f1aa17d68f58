package timeline

import (
	"encoding/json"
	"fmt"
	"io"
)

// stampLayout is the layout of a stamp's wall-clock part.
const stampLayout = "15:04:05.000"

// WriteText writes each event as a line of text.
func WriteText(out io.Writer, evts []Event) (err error) {
	for _, evt := range evts {
		if err := writeLine(out, evt); err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	return nil
}

func writeLine(out io.Writer, evt Event) error {
	_, err := fmt.Fprintf(out, "%s %-16s %-9s %-20s %s",
		evt.Stamp.Time().UTC().Format(stampLayout), evt.Entry, evt.Part, evt.Name, evt.Subject)
	if err == nil && evt.Detail != "" {
		_, err = fmt.Fprintf(out, " (%s)", evt.Detail)
	}
	if err == nil {
		_, err = fmt.Fprintln(out)
	}
	return err
}

// WriteJSON writes each event as a line of JSON.
func WriteJSON(out io.Writer, evts []Event) (err error) {
	enc := json.NewEncoder(out)
	for _, evt := range evts {
		if err := enc.Encode(evt); err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	return nil
}
