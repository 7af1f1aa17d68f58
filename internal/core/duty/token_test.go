package duty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTokensRise checks that later incarnations and terms have higher tokens, and that all
// are exact as numbers of the wire.
func TestTokensRise(t *testing.T) {
	last := int64(0)
	for _, term := range []int64{1, 2, 1_000_000} {
		for _, age := range []time.Duration{0, tokenUnit, time.Second, time.Hour, 100 * 24 * time.Hour, 1000 * 24 * time.Hour} {
			token := Token(term, age)
			assert.Assert(t, token > last, "term %d, age %v", term, age)
			assert.Equal(t, TokenTerm(token), term)
			assert.Equal(t, int64(float64(token)), token)
			last = token
		}
	}
	assert.Equal(t, Token(3, -time.Second), Token(3, 0))
	assert.Equal(t, Token(3, 2000*24*time.Hour), Token(3, 1000*24*time.Hour))
}
