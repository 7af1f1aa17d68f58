// Package netfail tells apart the failures of the network.
package netfail

import (
	"errors"
	"net"
)

// IsDialError reports whether a call failed before there was a connection, so
// that no byte of it can have arrived.
func IsDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
