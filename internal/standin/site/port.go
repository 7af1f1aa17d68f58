package site

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below those that the kernel gives to outgoing connections, which could
// take a free port before its listener does.
const (
	firstPort = 12_000
	lastPort  = 30_000
	portTries = 100
)

// FreePort returns a port of loopback on which nobody listens.
func FreePort() (port int, err error) {
	for range portTries {
		port = firstPort + rand.IntN(lastPort-firstPort)
		lis, listenErr := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if listenErr == nil {
			return port, lis.Close()
		}
		err = listenErr
	}
	return 0, fmt.Errorf("no free port after %d tries: %w", portTries, err)
}
