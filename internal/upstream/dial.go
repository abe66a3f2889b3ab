package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// backgroundDialFactor times Options.DialTimeout is how long a dial may take in total if it goes on in the background.
	backgroundDialFactor = 8
	// minDialBackoff and maxDialBackoff bound the pause after a dial that failed on this machine, which doubles with each
	// failure in a row.
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 50 * time.Millisecond
)

// localDialErrors are the errors of socket and connect that pass by themselves and say nothing about the target: this machine
// lacks descriptors, memory, a local port or a route for a moment.
var localDialErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
}

func isLocalDialError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localDialErrors, errno)
}

// dial opens a connection for the attempt. It returns nil if the dial fails, takes longer than Options.DialTimeout, or is
// not done when the context is. A dial that the attempt stops waiting for goes on in the background, since another one might
// take as long, and a later attempt finds its connection in the pool. There is at most one background dial per target; any
// further dial is aborted.
func (t *target) dial(ctx context.Context, a *inFlightAttempt) *pooledConn {
	dialCtx, stopDial := context.WithTimeout(context.Background(), backgroundDialFactor*t.options.DialTimeout)
	dialed := t.startDial(dialCtx)
	timer := time.NewTimer(t.options.DialTimeout)
	defer timer.Stop()
	select {
	case c := <-dialed:
		stopDial()
		return c
	case <-timer.C:
	case <-ctx.Done():
	}
	t.log.gaveUpWaiting(a.ClientRequestID)
	a.leftBackgroundDial = t.backgroundDialActive.CompareAndSwap(false, true)
	if !a.leftBackgroundDial {
		stopDial()
		if c := <-dialed; c != nil {
			c.closeIgnoringError()
		}
		return nil
	}
	go func() {
		defer stopDial()
		t.mailbox.Put(backgroundDialEnded{conn: <-dialed})
	}()
	return nil
}

// startDial dials the target. The channel receives the connection, or nil if the dial failed. A dial that fails on this
// machine is repeated, with backoff, until the context is done.
func (t *target) startDial(ctx context.Context) <-chan *pooledConn {
	dialed := make(chan *pooledConn, 1)
	go func() { dialed <- t.dialWithRetry(ctx) }()
	return dialed
}

func (t *target) dialWithRetry(ctx context.Context) *pooledConn {
	backoff := minDialBackoff
	for {
		address := t.address()
		conn, err := t.options.Dialer.Dial(ctx, address)
		if err == nil {
			return &pooledConn{Conn: conn, address: address}
		}
		isLocal := isLocalDialError(err)
		if !isLocal || backoff == minDialBackoff { // of failures in a row, the first
			t.log.dialFailed(address, err)
		}
		if !isLocal {
			return nil
		}
		select {
		case <-time.After(backoff + rand.N(backoff)):
		case <-ctx.Done():
			return nil
		}
		backoff = min(2*backoff, maxDialBackoff)
	}
}
