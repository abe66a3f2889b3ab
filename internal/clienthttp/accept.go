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
	// acceptLogInterval is the least time between two log lines about a failed accept.
	acceptLogInterval = time.Second
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
	table           *connTable
	failureLoggedAt time.Time // zero: none was logged
}

// Accept implements net.Listener. Its error is permanent, and ends the server.
func (l *listener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		calledAt := time.Now()
		conn, err := l.Listener.Accept()
		if err == nil {
			acceptTook := time.Since(calledAt)
			c := l.table.add(conn)
			c.acceptTook = acceptTook
			return c, nil
		}
		if !isTransientAcceptError(err) {
			return nil, err
		}
		l.logFailure(err)
		time.Sleep(backoff + rand.N(backoff))
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

func (l *listener) logFailure(err error) {
	if !l.failureLoggedAt.IsZero() && time.Since(l.failureLoggedAt) < acceptLogInterval {
		return
	}
	l.failureLoggedAt = time.Now()
	l.table.log.Warn("accept failed", slog.String("reason", "ACCEPT_FAILED"), slog.Any("error", err))
}
