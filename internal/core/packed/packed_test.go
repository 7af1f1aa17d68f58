package packed

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// sample has a field of each kind that is stored.
type sample struct {
	Text  string            `msgpack:"t"`
	Raw   []byte            `msgpack:"r"`
	Many  []sample          `msgpack:"m"`
	Names map[string]string `msgpack:"n"`
	At    time.Time         `msgpack:"a"`
	Num   int64             `msgpack:"i"`
	Real  float64           `msgpack:"f"`
	Flag  bool              `msgpack:"b"`
	None  *sample           `msgpack:"o"`
}

// TestSampleIsDecoded checks that no valid value is refused.
func TestSampleIsDecoded(t *testing.T) {
	one := sample{Text: "t", Raw: []byte{1}, Names: map[string]string{"a": "b"}, At: time.Unix(1, 2).UTC(), Num: -1 << 40, Real: 0.5, Flag: true}
	one.Many = []sample{{Text: "inner", At: time.Unix(1<<35, 0).UTC()}, {At: time.Time{}}}
	raw, err := msgpack.Marshal(&one)
	assert.NilError(t, err)
	assert.NilError(t, Check(raw))
	var back sample
	assert.NilError(t, Unmarshal(raw, &back))
	assert.Equal(t, back.Many[0].Text, "inner")
}

// FuzzUnmarshal decodes any bytes. What is decoded has no more elements than
// bytes.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte{0x81, 0xa1, 'm', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'n', 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 't', 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'r', 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'a', 0xc9, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(append(bytes.Repeat([]byte{0x91}, 100_000), 0xc0))
	f.Add(append(bytes.Repeat([]byte{0x81, 0xa1, 'o'}, 1000), 0xc0))
	f.Add([]byte{0xc1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var one sample
		if Unmarshal(raw, &one) == nil && len(one.Many)+len(one.Names)+len(one.Text)+len(one.Raw) > len(raw) {
			t.Errorf("%d bytes hold %d elements", len(raw), len(one.Many)+len(one.Names)+len(one.Text)+len(one.Raw))
		}
	})
}
