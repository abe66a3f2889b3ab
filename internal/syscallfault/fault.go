package syscallfault

import (
	"syscall"
	"time"
)

// Fault is what happens to a system call. The zero value lets it pass.
type Fault struct {
	// Errno is the error with which the call fails, without having been made; 0: the call is made.
	Errno syscall.Errno
	// MaxBytes limits how many bytes a read, write, send or receive call transfers; 0: no limit.
	MaxBytes uint64
	// HoldBefore and HoldAfter are how long the whole process is held up right before the call takes effect, or after it has
	// and before the thread learns its result. The process makes no system call meanwhile.
	HoldBefore time.Duration
	HoldAfter  time.Duration
}

// isZero reports whether the call passes.
func (f Fault) isZero() bool { return f == Fault{} }

// Decide returns the fault for a call. One goroutine calls it for each system call of the process, one call at a time, and
// the process is held up while it runs.
type Decide func(Call) Fault
