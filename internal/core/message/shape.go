package message

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds how deep arrays and maps may stand in each other. No message
// needs more than the configuration's edits do.
const maxDepth = 16

// errTooDeep means that arrays and maps stand too deep in each other.
var errTooDeep = errors.New("nested too deep")

// checkShape walks a msgpack value without keeping anything of it. The decoder
// makes room for as many elements as an array says that it has, so a message
// of a few bytes could ask for all of the memory. Here, each element must have
// at least one byte.
func checkShape(data []byte) error {
	reader := bytes.NewReader(data)
	dec := msgpack.NewDecoder(reader)
	// open holds how many values each enclosing array or map still lacks.
	open := []int{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		count, err := enter(dec)
		if err != nil {
			return err
		}
		if count > reader.Len() {
			return fmt.Errorf("%d values in %d bytes", count, reader.Len())
		}
		if len(open) >= maxDepth {
			return errTooDeep
		}
		open = append(open, count)
	}
	return nil
}

// enter reads the head of an array or a map and returns how many values follow,
// or reads a whole value of another kind.
func enter(dec *msgpack.Decoder) (count int, err error) {
	code, err := dec.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		count, err = dec.DecodeArrayLen()
		return count, err
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		count, err = dec.DecodeMapLen()
		return 2 * count, err
	default:
		return 0, dec.Skip()
	}
}
