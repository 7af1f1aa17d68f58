package decisionlog

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestManyIgnoredEntries guards against memory that grows with the keys of
// another writer.
func TestManyIgnoredEntries(t *testing.T) {
	log := New(io.Discard, "test", time.Now)
	for i := range 10 * maxIgnored {
		key := "servers/" + strconv.Itoa(i)
		assert.Assert(t, log.firstIgnored(key, 7))
		assert.Assert(t, !log.firstIgnored(key, 7))
		assert.Assert(t, !log.firstIgnored(key, 6))
		assert.Assert(t, log.firstIgnored(key, 8))
		assert.Assert(t, len(log.ignored) <= maxIgnored)
	}
	log.Ignored(strings.Repeat("k", 10_000), 1, errors.New("x"))
	assert.Assert(t, len(cut(strings.Repeat("k", 10_000))) < 2*maxIgnoredText)
}
