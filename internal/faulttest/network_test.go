package faulttest

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// The network between initiators and targets takes from minNetworkDelay to maxNetworkDelay for a message.
const (
	minNetworkDelay = 2300 * time.Microsecond
	maxNetworkDelay = 34 * time.Millisecond
)

// delayedBytes are bytes that a delayingNetwork passes on at a certain time.
type delayedBytes struct {
	due  time.Time
	data []byte
}

// delayingNetwork is a proxy for connections to one address. It passes on what it reads, in order, each part after a random
// delay.
type delayingNetwork struct {
	net.Listener
	to      string
	running sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
}

// newDelayingNetwork starts a proxy for connections to the address.
func newDelayingNetwork(to string) (*delayingNetwork, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &delayingNetwork{Listener: listener, to: to}
	n.running.Go(n.acceptLoop)
	return n, nil
}

func (n *delayingNetwork) acceptLoop() {
	for {
		near, err := n.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", n.to)
		if err != nil {
			_ = near.Close() // the target is gone
			continue
		}
		n.mu.Lock()
		n.conns = append(n.conns, near, far)
		n.mu.Unlock()
		n.running.Go(func() { n.passOn(near, far) })
		n.running.Go(func() { n.passOn(far, near) })
	}
}

// Stop closes all connections and waits for the end of the proxy's goroutines.
func (n *delayingNetwork) Stop() {
	_ = n.Close() // the listener may have been closed already
	n.mu.Lock()
	for _, conn := range n.conns {
		_ = conn.Close() // it may have ended already
	}
	n.mu.Unlock()
	n.running.Wait()
}

// passOn passes bytes on in one direction until the connection ends, and then ends the other connection.
func (n *delayingNetwork) passOn(from, to net.Conn) {
	parts := make(chan delayedBytes, 64)
	n.running.Go(func() { readParts(from, parts) })
	for part := range parts {
		time.Sleep(time.Until(part.due))
		_, _ = to.Write(part.data) // fails if the connection has ended, and then the next read fails too
	}
	_ = to.Close() // it may have ended already
	_ = from.Close()
}

// readParts reads parts from a connection until it ends, and draws their delays.
func readParts(from io.Reader, parts chan<- delayedBytes) {
	defer close(parts)
	for {
		buffer := make([]byte, 4<<10)
		count, err := from.Read(buffer)
		if count > 0 {
			parts <- delayedBytes{time.Now().Add(minNetworkDelay + rand.N(maxNetworkDelay-minNetworkDelay)), buffer[:count]}
		}
		if err != nil {
			return
		}
	}
}
