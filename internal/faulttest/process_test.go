package faulttest

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Build builds the initiator's program into a folder and returns its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "initiator")
	out, err := exec.Command("go", "build", "-o", path, "dapplegate/cmd/initiator").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
}

const (
	// readyTimeout is how long an initiator may take to be ready.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the time between two looks whether it is.
	readyPollInterval = 5 * time.Millisecond
	// stopTimeout bounds the wait until a process stands still after SIGSTOP.
	stopTimeout = time.Second
	// exhaustedDescriptors is a limit below the number of descriptors that any initiator has open.
	exhaustedDescriptors = 4
)

// Process is one run of an initiator.
type Process struct {
	Config Config
	path   string // of the configuration file
	cmd    *exec.Cmd
	log    lockedBuffer
	ended  chan struct{}
	err    error // how it ended, once ended is closed
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Start runs the program and waits until it is ready.
func Start(program, dir string, config Config) (*Process, error) {
	p := &Process{Config: config, path: filepath.Join(dir, "config.json"), ended: make(chan struct{})}
	if err := p.Configure(config); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, "serve", "--log-level", "debug")
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.path, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, p.awaitReady()
}

// Configure replaces the configuration file, in one step.
func (p *Process) Configure(config Config) error {
	next := p.path + ".next"
	if err := os.WriteFile(next, config.JSON(), 0o600); err != nil {
		return err
	}
	p.Config = config
	return os.Rename(next, p.path)
}

func (p *Process) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		select {
		case <-p.ended:
			return fmt.Errorf("the initiator ended before it was ready: %w: %s", p.err, p.Log(""))
		default:
		}
		if p.ready() {
			http.DefaultClient.CloseIdleConnections()
			return nil
		}
	}
	p.Kill()
	return fmt.Errorf("the initiator was not ready within %v: %s", readyTimeout, p.Log(""))
}

// ready asks the initiator once whether it is ready.
func (p *Process) ready() bool {
	resp, err := http.Get("http://" + p.Config.Listen + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is wanted
	return resp.StatusCode == http.StatusOK
}

// Signal sends the process a signal. One that has ended gets none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Pause stops the process for a while, as a busy machine would. If meanwhile is not nil, it is called once the process stands
// still.
func (p *Process) Pause(d time.Duration, meanwhile func()) {
	p.Signal(syscall.SIGSTOP)
	begun := time.Now()
	for !p.stopped() && time.Since(begun) < stopTimeout {
		time.Sleep(100 * time.Microsecond)
	}
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(time.Until(begun.Add(d)))
	p.Signal(syscall.SIGCONT)
}

// ExhaustDescriptors leaves the process no descriptor to open for a while, so that accept, socket and open fail. What is open
// stays.
func (p *Process) ExhaustDescriptors(d time.Duration) error {
	var before unix.Rlimit
	pid := p.cmd.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		return err
	}
	exhausted := unix.Rlimit{Cur: exhaustedDescriptors, Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &exhausted, nil); err != nil {
		return err
	}
	time.Sleep(d)
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil)
}

// stopped tells whether the process stands still after SIGSTOP.
func (p *Process) stopped() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return true // it has ended
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "T")
}

// Kill ends the process at once, and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Ended tells whether the process has ended, and how.
func (p *Process) Ended() (bool, error) {
	select {
	case <-p.ended:
		return true, p.err
	default:
		return false, nil
	}
}

// Await waits until the process has ended; false when it has not by then.
func (p *Process) Await(d time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// Log returns the lines of the process's log that contain the text.
func (p *Process) Log(text string) string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	var found strings.Builder
	for line := range strings.Lines(p.log.buf.String()) {
		if strings.Contains(line, text) {
			found.WriteString(line)
		}
	}
	return found.String()
}

// addresses counts the addresses given out.
var addresses atomic.Int32

// Address returns an address of the loopback for an initiator alone: a port of the stand-ins' own host might be taken by one
// of them while the initiator is restarted.
func Address() string {
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:8080", 1+os.Getpid()%250, n/250, 1+n%250)
}
