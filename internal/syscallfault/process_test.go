package syscallfault

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testTimeout limits how long the traced process runs.
const testTimeout = 30 * time.Second

// helperVariable makes the test binary run as the process to trace.
const helperVariable = "SYSCALLFAULT_HELPER"

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) != "" {
		writeMarks()
		return
	}
	os.Exit(m.Run())
}

// writeMarks writes marks to a pipe, and the result of each write to standard output, until that is closed.
func writeMarks() {
	var pipe [2]int
	if err := syscall.Pipe(pipe[:]); err != nil {
		panic(err)
	}
	buffer := make([]byte, 64)
	for {
		n, err := syscall.Write(pipe[1], []byte("mark"))
		if _, printError := fmt.Printf("%d %v\n", n, err); errors.Is(printError, syscall.EPIPE) {
			return
		}
		if n > 0 {
			_, _ = syscall.Read(pipe[0], buffer)
		}
		time.Sleep(time.Millisecond)
	}
}

// helper is a traced process that runs writeMarks.
type helper struct {
	*Process
	t       *testing.T
	faults  chan Fault // each for one write of a mark
	results *bufio.Scanner
}

func startHelper(t *testing.T) *helper {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reader.Close() })
	h := &helper{t: t, faults: make(chan Fault, 1), results: bufio.NewScanner(reader)}
	h.Process, err = Start(os.Args[0], nil, append(os.Environ(), helperVariable+"=1"), writer, h.decide)
	if err != nil {
		t.Fatal(err)
	}
	_ = writer.Close() // the process has its own
	timer := time.AfterFunc(testTimeout, h.kill)
	t.Cleanup(func() {
		timer.Stop()
		h.kill()
		<-h.Exited()
	})
	return h
}

func (h *helper) kill() { _ = syscall.Kill(h.PID(), syscall.SIGKILL) }

func (h *helper) decide(call Call) Fault {
	if call.Number != unix.SYS_WRITE || string(call.Data(4)) != "mark" {
		return Fault{}
	}
	select {
	case fault := <-h.faults:
		return fault
	default:
		return Fault{}
	}
}

// expect waits for a result. Others may precede it, which were on their way.
func (h *helper) expect(want string) {
	h.t.Helper()
	const maxOthers = 50
	for range maxOthers {
		if !h.results.Scan() {
			break
		}
		if strings.Contains(h.results.Text(), want) {
			return
		}
	}
	h.t.Fatalf("no result %q, the last one is %q", want, h.results.Text())
}

// TestFaults checks that the process sees each kind of fault.
func TestFaults(t *testing.T) {
	const hold = 200 * time.Millisecond
	h := startHelper(t)
	h.expect("4 <nil>")
	h.faults <- Fault{Errno: syscall.ENOBUFS}
	h.expect("-1 no buffer space available")
	h.faults <- Fault{MaxBytes: 3}
	h.expect("3 <nil>")
	for _, fault := range []Fault{{HoldBefore: hold}, {HoldAfter: hold}} {
		h.expect("4 <nil>")
		begun := time.Now()
		h.faults <- fault
		for len(h.faults) > 0 {
			h.expect("4 <nil>")
		}
		h.expect("4 <nil>")
		if held := time.Since(begun); held < hold {
			t.Errorf("%+v: held up for %v", fault, held)
		}
	}
}

// TestSignals checks that the process can be stopped, continued and killed.
func TestSignals(t *testing.T) {
	h := startHelper(t)
	for range 5 {
		h.expect("4 <nil>")
		for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
			if err := syscall.Kill(h.PID(), signal); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	h.expect("4 <nil>")
	h.kill()
	<-h.Exited()
	if err := h.Err(); err == nil || !strings.Contains(err.Error(), "signal 9") {
		t.Errorf("after SIGKILL the process ended with %v", err)
	}
}
