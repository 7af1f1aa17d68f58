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
	firstPort = 12_000
	lastPort  = 30_000
	// blockSize is the number of ports of a block, of which the first is its guard.
	blockSize  = 50
	blockCount = (lastPort - firstPort) / blockSize
)

// portBlocks are the blocks of ports that a process has taken. It listens on the first
// port of each until it ends, so that no other process takes the block. The ports are
// bound later, by processes that the caller starts.
type portBlocks struct {
	mu     sync.Mutex
	guards []net.Listener
	// next is the next port of the last block, and end the port after it.
	next, end int
}

var issuedPorts portBlocks

// FreePort returns a loopback port on which nothing listens. It returns each port only
// once while its caller's process runs, to that process and to others.
func FreePort() (port int, err error) {
	issuedPorts.mu.Lock()
	defer issuedPorts.mu.Unlock()
	for {
		for issuedPorts.next < issuedPorts.end {
			port = issuedPorts.next
			issuedPorts.next++
			// A program that takes no blocks may listen on the port.
			if lis, err := listenOn(port); err == nil {
				return port, lis.Close()
			}
		}
		if err = issuedPorts.takeBlock(); err != nil {
			return 0, err
		}
	}
}

// takeBlock takes a block that no process has.
func (blo *portBlocks) takeBlock() (err error) {
	first := rand.IntN(blockCount)
	for i := range blockCount {
		guard := firstPort + (first+i)%blockCount*blockSize
		lis, listenErr := listenOn(guard)
		if listenErr == nil {
			blo.guards = append(blo.guards, lis)
			blo.next, blo.end = guard+1, guard+blockSize
			return nil
		}
		err = listenErr
	}
	return fmt.Errorf("no free block among %d: %w", blockCount, err)
}

func listenOn(port int) (lis net.Listener, err error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
