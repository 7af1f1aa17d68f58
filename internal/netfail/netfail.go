// Package netfail classifies network errors.
package netfail

import (
	"errors"
	"net"
)

// IsDialError reports whether a call failed before a connection was
// established, so that no byte of it can have reached the other end.
func IsDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
