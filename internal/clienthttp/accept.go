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
	// leastAcceptPause and mostAcceptPause bound the pause after an accept that failed; it doubles with each in a row. What
	// the machine has accepted waits meanwhile.
	leastAcceptPause = time.Millisecond
	mostAcceptPause  = 20 * time.Millisecond
	// acceptBlocks is longer than accept takes where a connection waits.
	acceptBlocks = time.Millisecond
)

// passingAcceptErrors are the errors of accept that pass by themselves, as accept(2) tells them: of the connection that would
// have come next, of the network, and of a machine short of something. All others are the listener's own, and stay.
var passingAcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSR,
	syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
}

func passes(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(passingAcceptErrors, number)
}

// listener wraps accepted connections, and waits where accept fails for a moment. One goroutine accepts.
type listener struct {
	net.Listener
	table *connTable
	// waitingSince is since when connections may have waited, because accept failed; zero: none has.
	waitingSince time.Time
}

// Accept implements net.Listener. An error ends the server.
func (l *listener) Accept() (net.Conn, error) {
	pause := leastAcceptPause
	for {
		begun := time.Now()
		c, err := l.Listener.Accept()
		if err == nil {
			return l.take(c, time.Since(begun)), nil
		}
		if !passes(err) {
			return nil, err
		}
		if l.waitingSince.IsZero() { // once for each time that it fails
			l.waitingSince = begun
			l.table.log.Warn("accept failed", slog.String("reason", "ACCEPT_FAILED"), slog.Any("error", err))
		}
		time.Sleep(pause + rand.N(pause))
		pause = min(2*pause, mostAcceptPause)
	}
}

// take wraps a connection that accept has waited for so long. Up to the first that it had to wait for, each may have been
// here with a request since accept began to fail: its client's time runs from then.
func (l *listener) take(c net.Conn, waited time.Duration) net.Conn {
	cc := l.table.add(c)
	if waited > acceptBlocks {
		l.waitingSince = time.Time{}
	}
	if since := l.waitingSince; !since.IsZero() {
		cc.queued.Store(&since)
	}
	return cc
}
