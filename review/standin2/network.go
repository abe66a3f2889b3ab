package main

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

// The network between initiators and targets takes from minDelay to maxDelay for a message.
const (
	minDelay = 2300 * time.Microsecond
	maxDelay = 34 * time.Millisecond
)

// message is what a network passes on at a time.
type message struct {
	due  time.Time
	data []byte
}

// startNetwork starts a proxy for connections to an address and returns its own address. It passes each message on after a
// random delay, in order.
func (b *bench) startNetwork(to string) (string, error) {
	listener, err := b.listen()
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			go passOn(near, far)
			go passOn(far, near)
		}
	}()
	return listener.Addr().String(), nil
}

// passOn passes messages on in one direction until the connection ends, and then ends the other one.
func passOn(from, to net.Conn) {
	messages := make(chan message, 64)
	go func() {
		defer close(messages)
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			if n > 0 {
				messages <- message{time.Now().Add(minDelay + rand.N(maxDelay-minDelay)), data[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for m := range messages {
		time.Sleep(time.Until(m.due))
		_, _ = to.Write(m.data) // if it fails, so does the next read
	}
	_ = to.Close()
	_, _ = io.Copy(io.Discard, from) // ends with the connection
	_ = from.Close()
}
