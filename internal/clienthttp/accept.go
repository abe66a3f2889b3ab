package clienthttp

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept, which doubles with each failure in a
	// row. Meanwhile, connections whose handshake is complete wait in the accept queue.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 20 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// transientAcceptErrors are the errors of accept that pass by themselves, as accept(2) documents them: errors of the
// network or of the connection that would have been accepted, and lack of resources, also for polling the connection
// (epoll_ctl(2)). All others are permanent errors of the listener.
var transientAcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.ENOSR,
	syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
}

func isTransientAcceptError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(transientAcceptErrors, errno)
}

// listener adds accepted connections to the table, and retries a failed accept with backoff. A connection that the table
// refuses is not returned. Only one goroutine calls Accept.
//
// net/http stops the server on every accept error that the net package does not call temporary, which would end the
// process and all requests in flight. This listener hides transient errors from net/http and returns only permanent ones.
type listener struct {
	net.Listener
	table               *connTable
	lastFailureLoggedAt time.Time // zero if none was logged
}

// Accept implements net.Listener. An error that it returns is permanent and stops the server.
func (l *listener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		// Clients that connect again at full speed would otherwise let this goroutine run for whole time slices, and the run
		// queue of the open connections would grant one turn after each.
		runtime.Gosched()
		calledAt := time.Now()
		conn, err := l.Listener.Accept()
		if err == nil {
			acceptTook := time.Since(calledAt)
			if c := l.table.add(conn); c != nil {
				c.acceptTook = acceptTook
				return c, nil
			}
			backoff = minAcceptBackoff
			continue
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
	if !l.lastFailureLoggedAt.IsZero() && time.Since(l.lastFailureLoggedAt) < acceptLogInterval {
		return
	}
	l.lastFailureLoggedAt = time.Now()
	l.table.log.Warn("accept failed", slog.String("reason", "ACCEPT_FAILED"), slog.Any("error", err))
}
