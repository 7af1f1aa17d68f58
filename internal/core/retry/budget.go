// Package retry limits retries to a fraction of the traffic, so that a failing
// upstream is not overloaded by repeated requests.
package retry

// Bounds of the budget, in thousandths of a token. A retry costs one token.
const (
	// refillMilliTokens is added by each first attempt. It limits sustained
	// retries to 8% of the first attempts. calleeRefillMilliTokens replaces it for a
	// single callee out of many, of which all have a budget together as well.
	refillMilliTokens       = 80
	calleeRefillMilliTokens = 500
	// retryMilliTokens is the cost of a retry.
	retryMilliTokens = 1000
	// maxMilliTokens bounds the burst of retries.
	maxMilliTokens = 10_000
	// initialMilliTokens allows a few retries in a pool without traffic.
	initialMilliTokens = 2_000
)

// Budget is a token bucket that first attempts refill. It is immutable.
type Budget struct {
	// milliTokens ranges from 0 to maxMilliTokens.
	milliTokens int
	// refill is what a first attempt adds.
	refill int
}

// NewBudget returns the budget of a pool without traffic.
func NewBudget() Budget {
	return Budget{milliTokens: initialMilliTokens, refill: refillMilliTokens}
}

// NewCalleeBudget returns the budget of one callee out of many.
func NewCalleeBudget() Budget {
	return Budget{milliTokens: initialMilliTokens, refill: calleeRefillMilliTokens}
}

// WithStart returns the budget after a first attempt.
func (bud Budget) WithStart() Budget {
	bud.milliTokens = min(maxMilliTokens, bud.milliTokens+bud.refill)
	return bud
}

// WithRetry returns the budget after a retry, and whether the retry is allowed.
func (bud Budget) WithRetry() (next Budget, ok bool) {
	if bud.milliTokens < retryMilliTokens {
		return bud, false
	}
	bud.milliTokens -= retryMilliTokens
	return bud, true
}

// WithLoss returns the budget after a retry was answered in the usual time while the
// attempt before it was not: the answer was lost, and the upstream is not slow. It adds a
// retry beyond those that the request took, as many requests whose answers are lost
// need more than one.
func (bud Budget) WithLoss(retries int) Budget {
	bud.milliTokens = min(maxMilliTokens, bud.milliTokens+(retries+1)*retryMilliTokens)
	return bud
}
