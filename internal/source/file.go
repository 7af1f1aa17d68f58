package source

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxValueErrors is the largest number of values of a wrong type that are
// reported for one file.
const maxValueErrors = 100

// A File holds the positions of the keys in a decoded TOML file, and its
// errors.
type File struct {
	name string
	// positions maps the dotted path of a key to its position. Indexes of arrays
	// are components of the path, as in "pool.2.budget".
	positions map[string]Position
	// Diagnostics holds the errors found in the file so far.
	Diagnostics Diagnostics
}

// Decode decodes data into target, a pointer to a struct with toml tags. Syntax
// errors, unknown keys and values of a wrong type are all collected in the
// diagnostics of the returned file.
func Decode(name string, data []byte, target any) *File {
	fil := &File{name: name, positions: map[string]Position{}}
	if !fil.decodeValues(data, target) {
		return fil
	}
	fil.indexKeys(data)
	return fil
}

// decodeValues decodes data into target. The decoder stops at the first value
// of a wrong type, so its line is replaced by an empty one and decoding starts
// again, to find the errors after it. It reports whether the decoder reached the
// end of the file.
func (fil *File) decodeValues(data []byte, target any) bool {
	lines := bytes.SplitAfter(bytes.Clone(data), []byte("\n"))
	for range maxValueErrors {
		dec := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, nil)))
		dec.DisallowUnknownFields()
		err := dec.Decode(target)
		var missing *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case err == nil:
			return true
		case errors.As(err, &missing):
			fil.addUnknown(missing)
			return true
		case errors.As(err, &wrong):
			row, col := wrong.Position()
			fil.add(Position{fil.name, row, col}, strings.TrimPrefix(wrong.Error(), "toml: "))
			if len(wrong.Key()) == 0 || !blankLine(lines, row) {
				return false
			}
		default:
			fil.add(Position{File: fil.name}, err.Error())
			return false
		}
	}
	return false
}

// blankLine replaces a line by an empty one if it assigns a value, and reports
// whether it does.
func blankLine(lines [][]byte, row int) bool {
	if row < 1 || row > len(lines) {
		return false
	}
	line := lines[row-1]
	if !bytes.Contains(line, []byte("=")) {
		return false
	}
	lines[row-1] = []byte("\n")
	return true
}

func (fil *File) addUnknown(missing *toml.StrictMissingError) {
	for _, unknown := range missing.Errors {
		row, col := unknown.Position()
		fil.add(Position{fil.name, row, col}, fmt.Sprintf("unknown key %q", strings.Join(unknown.Key(), ".")))
	}
}

// indexKeys records the position of each key and table.
func (fil *File) indexKeys(data []byte) {
	psr := unstable.Parser{}
	psr.Reset(data)
	prefix := ""
	counts := map[string]int{}
	for psr.NextExpression() {
		expr := psr.Expression()
		path, raw := keyPath(expr, counts)
		start := psr.Shape(raw).Start
		pos := Position{fil.name, start.Line, start.Column}
		switch expr.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s.%d", path, counts[path])
			counts[path]++
			fil.positions[prefix] = pos
		case unstable.Table:
			prefix = path
			fil.positions[prefix] = pos
		case unstable.KeyValue:
			fil.positions[join(prefix, path)] = pos
		}
	}
}

// keyPath returns the dotted path of an expression's key and its range in the
// source. The path of an array of tables refers to the array's last element.
func keyPath(expr *unstable.Node, counts map[string]int) (path string, raw unstable.Range) {
	keys := expr.Key()
	for first := true; keys.Next(); first = false {
		node := keys.Node()
		if first {
			raw = node.Raw
		}
		if count := counts[path]; count > 0 {
			path = fmt.Sprintf("%s.%d", path, count-1)
		}
		path = join(path, string(node.Data))
	}
	return path, raw
}

func join(prefix, path string) string {
	if prefix == "" {
		return path
	}
	return prefix + "." + path
}

// Addf adds an error at the position of the key with the given path, or of the
// nearest enclosing table.
func (fil *File) Addf(path, format string, args ...any) {
	fil.add(fil.Position(path), fmt.Sprintf(format, args...))
}

// Position returns the position of the key with the given path, or of the
// nearest enclosing table.
func (fil *File) Position(path string) Position {
	for path != "" {
		if pos, ok := fil.positions[path]; ok {
			return pos
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			break
		}
		path = path[:dot]
	}
	return Position{File: fil.name}
}

func (fil *File) add(pos Position, message string) {
	fil.Diagnostics = append(fil.Diagnostics, Diagnostic{Position: pos, Message: message})
}
