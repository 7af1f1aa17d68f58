package intake

import (
	"context"
	"errors"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Limits of retries of calls to the store.
const (
	// AnswerTimeout bounds how long the store may take to begin its answer to an
	// attempt. A store that is slow by a factor of 60 answers within 240 ms; a
	// connection that went silent never does.
	AnswerTimeout = 700 * time.Millisecond
	// maxAttempts is how often an unanswered call is made.
	maxAttempts = 3
)

// retryUnanswered makes a call to the store until it is answered. Calls must be
// idempotent: an unanswered attempt may have taken effect, or may still do so.
// The error is ErrUnknown if any attempt was unanswered, unless a later one
// succeeded, met a conflict or found that the key doesn't exist, which
// establishes the outcome.
func retryUnanswered(ctx context.Context, call func(ctx context.Context) error) (err error) {
	var unknown error
	for range maxAttempts {
		err = call(ctx)
		var con *kv.ConflictError
		switch {
		case err == nil || errors.As(err, &con) || errors.Is(err, kv.ErrNotFound):
			return err
		case errors.Is(err, kv.ErrUnknown):
			unknown = err
		case unknown != nil:
			return unknown
		default:
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return unknown
}
