package source

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// A Position is a position in a file. Lines and columns count from 1; line zero
// stands for the file as a whole.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column, or only the file if it
// stands for the whole file.
func (pos Position) String() string {
	if pos.Line == 0 {
		return pos.File
	}
	return fmt.Sprintf("%s:%d:%d", pos.File, pos.Line, pos.Column)
}

// A Diagnostic is one error in a file.
type Diagnostic struct {
	Position Position
	Message  string
}

// Diagnostics is an error that lists all errors in a set of files.
type Diagnostics []Diagnostic

// Error returns one line for each diagnostic, sorted by position.
func (dgs Diagnostics) Error() string {
	lines := make([]string, 0, len(dgs))
	for _, dg := range dgs.Sorted() {
		lines = append(lines, fmt.Sprintf("%s: %s", dg.Position, dg.Message))
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the diagnostics in the order of file, line, column and
// message, without duplicates.
func (dgs Diagnostics) Sorted() Diagnostics {
	sorted := slices.Clone(dgs)
	slices.SortFunc(sorted, func(a, b Diagnostic) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(sorted)
}

// AsError returns the sorted diagnostics as an error, or nil if there are none.
func (dgs Diagnostics) AsError() error {
	if len(dgs) == 0 {
		return nil
	}
	return dgs.Sorted()
}
