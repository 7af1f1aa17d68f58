package job

import (
	"bytes"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDeclaredLengthOfRecord guards against a record of some bytes that takes
// the memory for the number of elements that it declares.
func TestDeclaredLengthOfRecord(t *testing.T) {
	for name, raw := range map[string][]byte{
		"steps":       {0x81, 0xa1, 's', 0xdd, 0x00, 0x10, 0x00, 0x00},
		"tasks":       {0x81, 0xa1, 't', 0xdd, 0x00, 0x10, 0x00, 0x00},
		"failed runs": {0x81, 0xa1, 't', 0x91, 0x81, 0xa2, 'f', 'r', 0xdd, 0x01, 0x00, 0x00, 0x00},
		"text":        {0x81, 0xa1, 'p', 0xdb, 0x7f, 0xff, 0xff, 0xff},
		"nested":      append(append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 100_000)...), 0xc0),
		"map":         {0xdf, 0x7f, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, specErr := Unmarshal[Spec](raw)
			_, progressErr := Unmarshal[Progress](raw)
			runtime.ReadMemStats(&after)
			assert.Assert(t, specErr != nil)
			assert.Assert(t, progressErr != nil)
			taken := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, taken < 4<<20, "%d bytes of memory for %d bytes", taken, len(raw))
		})
	}
}

// TestNilTimeInRecord guards against a record with nil for a time, on which the
// decoder panics.
func TestNilTimeInRecord(t *testing.T) {
	raw := []byte{0x81, 0xa1, 't', 0xc0}
	_, err := Unmarshal[Spec](raw)
	assert.ErrorContains(t, err, "decode")
	_, err = Unmarshal[Outcome](raw)
	assert.ErrorContains(t, err, "decode")
}
