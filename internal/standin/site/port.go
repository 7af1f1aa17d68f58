package site

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The range lies below the kernel's ephemeral ports: an outgoing connection could
// otherwise take a free port before its listener binds it.
const (
	firstPort    = 12_000
	lastPort     = 30_000
	maxPortTries = 100
)

// issuedPorts holds the ports that FreePort has returned in this process.
var issuedPorts sync.Map

// FreePort returns a loopback port on which nothing listens. Within a process it
// returns each port only once, because the caller binds it later.
func FreePort() (port int, err error) {
	for range maxPortTries {
		port = firstPort + rand.IntN(lastPort-firstPort)
		if _, taken := issuedPorts.LoadOrStore(port, true); taken {
			continue
		}
		lis, listenErr := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if listenErr == nil {
			return port, lis.Close()
		}
		err = listenErr
	}
	return 0, fmt.Errorf("no free port after %d tries: %w", maxPortTries, err)
}
