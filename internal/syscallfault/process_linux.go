package syscallfault

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Stop signals and options of ptrace(2).
const (
	syscallStop      = syscall.SIGTRAP | 0x80 // with PTRACE_O_TRACESYSGOOD
	traceOptions     = unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_EXITKILL
	waitOptions      = unix.WALL | unix.WNOTHREAD // of this thread's tracees
	statusEventShift = 16
)

// Process is a running process whose system calls are traced until it ends.
type Process struct {
	pid    int
	decide Decide
	traced map[int]bool  // the threads that are attached
	inCall map[int]Fault // by thread: the fault of the call that it is making
	exited chan struct{}
	status syscall.WaitStatus // valid once exited is closed
}

// Start starts a program, with arguments that do not include its name, and injects the faults that decide returns into its
// system calls. Its standard output and standard error go to the file.
//
// Only the returned Process waits for the program: another wait of this process, such as that of os/exec, would take the
// stops of a traced child for its end.
func Start(program string, arguments, environment []string, output *os.File, decide Decide) (*Process, error) {
	p := &Process{decide: decide, traced: map[int]bool{}, inCall: map[int]Fault{}, exited: make(chan struct{})}
	attributes := &syscall.ProcAttr{
		Env:   environment,
		Files: []uintptr{os.Stdin.Fd(), output.Fd(), output.Fd()},
		Sys:   &syscall.SysProcAttr{Setpgid: true}, // waitForThread waits for the process group
	}
	started := make(chan error, 1)
	go p.run(program, append([]string{program}, arguments...), attributes, started)
	if err := <-started; err != nil {
		return nil, err
	}
	return p, nil
}

// PID returns the ID of the process. It stays valid until Exited is closed.
func (p *Process) PID() int { return p.pid }

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns why the process ended, or nil if it has ended with status 0. It may be called once Exited is closed.
func (p *Process) Err() error {
	switch {
	case p.status.Signaled():
		return fmt.Errorf("killed by signal %d (%v)", p.status.Signal(), p.status.Signal())
	case p.status.ExitStatus() != 0:
		return fmt.Errorf("exit status %d", p.status.ExitStatus())
	}
	return nil
}

// run starts and traces the process on a thread of its own, since ptrace accepts requests only from the thread that attached.
func (p *Process) run(program string, argv []string, attributes *syscall.ProcAttr, started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(p.exited)
	var err error
	if p.pid, err = syscall.ForkExec(program, argv, attributes); err != nil {
		started <- err
		return
	}
	if err = p.attach(); err != nil {
		_ = syscall.Kill(p.pid, syscall.SIGKILL) // it may have ended already
	}
	started <- err
	for len(p.traced) > 0 {
		thread, status, err := p.waitForThread()
		switch {
		case err != nil:
			return
		case status.Stopped():
			p.handleStop(thread, status)
		default:
			p.forget(thread)
			if thread == p.pid {
				p.status = syscall.WaitStatus(status)
				return
			}
		}
	}
}

// attach attaches to all threads of the process. A thread may start others meanwhile, so it repeats until there are no more.
func (p *Process) attach() error {
	for found := true; found; {
		found = false
		threads, err := p.threads()
		if err != nil {
			return err
		}
		for _, thread := range threads {
			if p.traced[thread] {
				continue
			}
			found = true
			if err := seize(thread); err != nil && !errors.Is(err, unix.EPERM) {
				return fmt.Errorf("attach to thread %d: %w", thread, err)
			}
			p.traced[thread] = true
			_ = unix.PtraceInterrupt(thread) // the thread may have ended
		}
	}
	return nil
}

// threads returns the threads that the process has now.
func (p *Process) threads() ([]int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", p.pid))
	if err != nil {
		return nil, err
	}
	threads := make([]int, 0, len(entries))
	for _, entry := range entries {
		if thread, err := strconv.Atoi(entry.Name()); err == nil {
			threads = append(threads, thread)
		}
	}
	return threads, nil
}

// seize attaches to a thread without stopping it. EPERM means that the thread is attached already, as a clone of another.
func seize(thread int) error {
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SEIZE, uintptr(thread), 0, traceOptions, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// forget removes a thread that has ended.
func (p *Process) forget(thread int) {
	delete(p.traced, thread)
	delete(p.inCall, thread)
}

// waitForThread waits until a thread of the process stops or ends. It waits for the process group, because a wait for any
// child would take the exit status of others that this thread has started.
func (p *Process) waitForThread() (thread int, status unix.WaitStatus, err error) {
	for {
		thread, err = unix.Wait4(-p.pid, &status, waitOptions, nil)
		if !errors.Is(err, unix.EINTR) {
			return thread, status, err
		}
	}
}

// handleStop handles a stop of a thread and lets it continue to the beginning or end of its next system call.
func (p *Process) handleStop(thread int, status unix.WaitStatus) {
	p.traced[thread] = true // a new thread begins with a stop
	signal := status.StopSignal()
	event := int(status) >> statusEventShift
	deliver := 0
	switch {
	case signal == syscallStop:
		p.handleSyscallStop(thread)
	case event == unix.PTRACE_EVENT_STOP && signal != syscall.SIGTRAP: // SIGSTOP: it continues with SIGCONT
		_, _, _ = unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_LISTEN, uintptr(thread), 0, 0, 0, 0)
		return
	case event == 0:
		deliver = int(signal)
	}
	_ = unix.PtraceSyscall(thread, deliver) // fails if the process was killed meanwhile
}

// syscallInfo is the kernel's struct ptrace_syscall_info at the beginning of a call.
type syscallInfo struct {
	op     uint8
	_      [3]uint8
	_      uint32    // architecture
	_      [2]uint64 // instruction and stack pointer
	number uint64
	args   [6]uint64
}

// handleSyscallStop handles the beginning or the end of a system call.
func (p *Process) handleSyscallStop(thread int) {
	var info syscallInfo
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_GET_SYSCALL_INFO, uintptr(thread), unsafe.Sizeof(info),
		uintptr(unsafe.Pointer(&info)), 0, 0)
	if errno != 0 { // the process was killed meanwhile
		return
	}
	switch info.op {
	case unix.PTRACE_SYSCALL_INFO_ENTRY:
		p.beginCall(thread, Call{Number: int(info.number), Args: info.args, process: p.pid})
	case unix.PTRACE_SYSCALL_INFO_EXIT:
		fault := p.inCall[thread]
		delete(p.inCall, thread)
		endCall(thread, fault)
	}
}

// beginCall decides on the fault for a call, and applies what comes before the call.
func (p *Process) beginCall(thread int, call Call) {
	fault := p.decide(call)
	if fault.isZero() {
		return
	}
	p.inCall[thread] = fault
	time.Sleep(fault.HoldBefore)
	changeCall(thread, fault) // fails if the process was killed meanwhile
}

// endCall sets the result of a call that fails, and holds the process up after the call.
func endCall(thread int, fault Fault) {
	if fault.Errno != 0 {
		setResult(thread, uint64(-int64(fault.Errno))) // fails if the process was killed meanwhile
	}
	time.Sleep(fault.HoldAfter)
}
