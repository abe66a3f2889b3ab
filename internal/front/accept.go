package front

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
	mostAcceptPause  = 50 * time.Millisecond
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

// listener wraps accepted connections, and waits where accept fails for a moment.
type listener struct {
	net.Listener
	table *connTable
}

// Accept implements net.Listener. An error ends the server.
func (l listener) Accept() (net.Conn, error) {
	pause := leastAcceptPause
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.table.add(c), nil
		}
		if !passes(err) {
			return nil, err
		}
		if pause == leastAcceptPause { // once for each time that it fails
			l.table.log.Warn("accept failed", slog.String("reason", "ACCEPT_FAILED"), slog.Any("error", err))
		}
		time.Sleep(pause + rand.N(pause))
		pause = min(2*pause, mostAcceptPause)
	}
}
