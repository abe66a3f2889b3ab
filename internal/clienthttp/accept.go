package clienthttp

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept, which doubles with each in a row.
	// Connections that the kernel has accepted wait meanwhile.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 20 * time.Millisecond
	// acceptWaitThreshold is how long accept must have taken for the accept queue to count as empty when it was called. If
	// the process is held up for that long during accept, the queue counts as empty too, and requests that waited in it
	// count as received when they are read.
	acceptWaitThreshold = time.Millisecond
)

// transientAcceptErrors are the errors of accept, as accept(2) documents them, that pass by themselves: errors of the
// connection that would have been accepted or of the network, and lack of resources. All others are permanent errors of the
// listener itself.
var transientAcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSR,
	syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
}

func isTransientAcceptError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(transientAcceptErrors, errno)
}

// listener adds accepted connections to the table, and retries a failed accept with backoff. One goroutine calls Accept.
//
// Prevents the end of the process, and with it of all requests in flight, on a transient error of accept, because net/http,
// which ends the server on each error that the net package does not call temporary, gets to see permanent errors alone.
type listener struct {
	net.Listener
	table *connTable
	// acceptQueuedSince is since when connections may have waited in the accept queue because accept failed; zero: none has.
	acceptQueuedSince time.Time
}

// Accept implements net.Listener. Its error is permanent, and ends the server.
func (l *listener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		calledAt := time.Now()
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.addConn(conn, time.Since(calledAt)), nil
		}
		if !isTransientAcceptError(err) {
			return nil, err
		}
		if l.acceptQueuedSince.IsZero() { // logged once until the accept queue is empty again
			l.acceptQueuedSince = calledAt
			l.table.log.Warn("accept failed", slog.String("reason", "ACCEPT_FAILED"), slog.Any("error", err))
		}
		time.Sleep(backoff + rand.N(backoff))
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// addConn adds a connection for which accept took acceptDuration.
//
// While accept failed, connections waited in the accept queue, with requests on them whose clients' timeouts were running.
// Their requests count as received when accept began to fail, or a request would get its response after its client had
// given up. The accept queue is known to be empty once accept has had to wait.
func (l *listener) addConn(conn net.Conn, acceptDuration time.Duration) net.Conn {
	c := l.table.add(conn)
	c.acceptTook = acceptDuration
	if acceptDuration > acceptWaitThreshold {
		l.acceptQueuedSince = time.Time{}
	}
	c.emptyAt = l.acceptQueuedSince
	return c
}
