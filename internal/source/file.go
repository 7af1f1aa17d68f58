package source

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxValueErrors bounds how many values of a wrong type one file may report.
const maxValueErrors = 100

// A File is one decoded TOML file with the position of each of its keys.
type File struct {
	name string
	// positions maps a dotted path, with array indexes as parts of their own
	// ("pool.2.budget"), to the place of its key.
	positions map[string]Position
	// Diagnostics holds what has been found wrong with the file so far.
	Diagnostics Diagnostics
}

// Decode reads data into target, which points to a struct with toml tags.
// Syntax errors, unknown keys and values of a wrong type are all collected in
// the diagnostics of the file that it returns.
func Decode(name string, data []byte, target any) *File {
	fil := &File{name: name, positions: map[string]Position{}}
	if !fil.decodeValues(data, target) {
		return fil
	}
	fil.index(data)
	return fil
}

// decodeValues blanks each line whose value has a wrong type and decodes
// again, so that one wrong value does not hide the next. It reports whether
// the syntax is right.
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
			if len(wrong.Key()) == 0 || !blank(lines, row) {
				return false
			}
		default:
			fil.add(Position{File: fil.name}, err.Error())
			return false
		}
	}
	return false
}

func blank(lines [][]byte, row int) bool {
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
	for _, one := range missing.Errors {
		row, col := one.Position()
		fil.add(Position{fil.name, row, col}, fmt.Sprintf("unknown key %q", strings.Join(one.Key(), ".")))
	}
}

func (fil *File) index(data []byte) {
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

// keyPath returns the dotted path of an expression's key. A part that names an
// array of tables stands for the array's last element.
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

// Addf records an error at the key with the given path, or at the nearest
// table around it.
func (fil *File) Addf(path, format string, args ...any) {
	fil.add(fil.Position(path), fmt.Sprintf(format, args...))
}

// Position returns the place of the key with the given path, or of the nearest
// table around it.
func (fil *File) Position(path string) Position {
	for path != "" {
		if pos, ok := fil.positions[path]; ok {
			return pos
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return Position{File: fil.name}
}

func (fil *File) add(pos Position, message string) {
	fil.Diagnostics = append(fil.Diagnostics, Diagnostic{Position: pos, Message: message})
}
