package intake

import (
	"context"
	"errors"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Tries of calls to the store.
const (
	// tryTime bounds a try. A store that is slow by a factor of 60 answers within
	// 240 ms; a connection that went silent never does.
	tryTime = 700 * time.Millisecond
	// maxTries is how often a call without an answer is made.
	maxTries = 3
)

// attempt makes a call to the store until it is answered. Calls must be
// idempotent: one without an answer may have been carried out, or may yet be.
// The error is ErrUnknown if that is so of some try, unless a later one succeeded
// or met a conflict, which tell how things stand.
func attempt(ctx context.Context, call func(ctx context.Context) error) (err error) {
	var unknown error
	for range maxTries {
		ask, cancel := context.WithTimeout(ctx, tryTime)
		err = call(ask)
		cancel()
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
