// Package packed decodes msgpack of others, and of earlier versions of this
// product, with bounds for what a few bytes can take.
package packed

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of arrays and maps, as the decoder calls itself for
// each. The edits of the configuration are the most deeply nested value and stay
// below it.
const maxDepth = 16

var errTooDeep = errors.New("arrays or maps are nested too deeply")

// Unmarshal decodes a value into the fields that the tag msgpack names.
func Unmarshal(data []byte, out any) error { return UnmarshalTagged(data, "", out) }

// UnmarshalTagged decodes a value into the fields that a tag names, if not empty
// besides the tag msgpack.
func UnmarshalTagged(data []byte, tag string, out any) (err error) {
	if err := Check(data); err != nil {
		return err
	}
	// The decoder panics on some values of the wrong type, such as nil for a time.
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("decoder failed: %v", cause)
		}
	}()
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	dec.SetCustomStructTag(tag)
	return dec.Decode(out)
}

// Check validates the structure of a msgpack value without decoding it. The
// decoder allocates as many elements as an array header announces, so a value of
// a few bytes could exhaust the memory. Check requires at least one byte for each
// announced element.
func Check(data []byte) error {
	reader := bytes.NewReader(data)
	dec := msgpack.NewDecoder(reader)
	// remaining holds the number of values left to read in each enclosing array
	// or map.
	remaining := []int{1}
	for len(remaining) > 0 {
		last := len(remaining) - 1
		if remaining[last] == 0 {
			remaining = remaining[:last]
			continue
		}
		remaining[last]--
		count, err := readHeader(dec)
		if err != nil {
			return err
		}
		if count > reader.Len() {
			return fmt.Errorf("header announces %d values, but only %d bytes follow", count, reader.Len())
		}
		if len(remaining) >= maxDepth {
			return errTooDeep
		}
		remaining = append(remaining, count)
	}
	return nil
}

// readHeader reads the header of an array or a map and returns the number of
// values that follow. It skips a value of any other kind.
func readHeader(dec *msgpack.Decoder) (count int, err error) {
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
