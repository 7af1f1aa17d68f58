package site

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports below those that the kernel gives to outgoing connections, which could
// take a free port before its listener does.
const (
	firstPort = 12_000
	lastPort  = 30_000
	portTries = 100
)

// given holds the ports that this process was given.
var given sync.Map

// FreePort returns a port of loopback on which nobody listens. It gives a port to
// a process only once.
func FreePort() (port int, err error) {
	for range portTries {
		port = firstPort + rand.IntN(lastPort-firstPort)
		if _, taken := given.LoadOrStore(port, true); taken {
			continue
		}
		lis, listenErr := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if listenErr == nil {
			return port, lis.Close()
		}
		err = listenErr
	}
	return 0, fmt.Errorf("no free port after %d tries: %w", portTries, err)
}
