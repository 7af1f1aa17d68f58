// Package retry bounds retries to a fraction of the traffic, so that a failing
// upstream is not buried under repeated requests.
package retry

// The budget in tokens. A retry costs one whole token.
const (
	// earnPerStart is what each first attempt adds, in thousandths.
	earnPerStart = 80
	// costOfRetry is what each retry takes, in thousandths.
	costOfRetry = 1000
	// maxTokens bounds the burst of retries, in thousandths.
	maxTokens = 10_000
	// firstTokens lets a pool without traffic retry a little, in thousandths.
	firstTokens = 2_000
)

// Budget is a token bucket that is filled by first attempts. It is immutable.
type Budget struct {
	// tokens is counted in thousandths, from 0 to maxTokens.
	tokens int
}

// NewBudget returns the budget of a pool that has seen no traffic.
func NewBudget() Budget {
	return Budget{tokens: firstTokens}
}

// WithStart returns the budget after a first attempt.
func (bud Budget) WithStart() Budget {
	bud.tokens = min(maxTokens, bud.tokens+earnPerStart)
	return bud
}

// WithRetry returns the budget after a retry, and whether it allows one.
func (bud Budget) WithRetry() (next Budget, ok bool) {
	if bud.tokens < costOfRetry {
		return bud, false
	}
	bud.tokens -= costOfRetry
	return bud, true
}
