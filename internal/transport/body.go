package transport

import (
	"errors"
	"fmt"
	"io"
)

// MaxBodyBytes bounds the bodies of responses that have no limit of their own.
const MaxBodyBytes = 8 << 20

// ErrTooLong means that a body exceeds its limit.
var ErrTooLong = errors.New("body is too long")

// ReadBody reads a body to its end. It fails with ErrTooLong once the body exceeds
// a limit, which a cut body would not show.
func ReadBody(body io.Reader, limit int64) (raw []byte, err error) {
	raw, err = io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > limit {
		return nil, fmt.Errorf("more than %d bytes: %w", limit, ErrTooLong)
	}
	return raw, nil
}
