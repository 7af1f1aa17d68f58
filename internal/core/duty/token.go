package duty

import "time"

const (
	// tokenBits is the number of bits of a token below the term.
	tokenBits = 30
	// tokenUnit is the time between two incarnations of a VM from which on their tokens
	// differ.
	tokenUnit = 10 * time.Millisecond
)

// Token returns the fencing token of the orders to an incarnation of a VM that a dispatcher
// found at an age of its tenure. It is higher than those of former terms, and than those of
// incarnations found before: a VM that has accepted it refuses orders that were meant for
// its former incarnations.
func Token(term int64, age time.Duration) (token int64) {
	return term<<tokenBits | min(int64(max(0, age)/tokenUnit), 1<<tokenBits-1)
}

// TokenTerm returns the term of a token.
func TokenTerm(token int64) (term int64) { return token >> tokenBits }
