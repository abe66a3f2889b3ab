package faulttest

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dapplegate/internal/logbuffer"
)

// BuildInitiator builds the initiator in the directory dir and returns the path of the binary.
func BuildInitiator(dir string) (string, error) {
	path := filepath.Join(dir, "initiator")
	out, err := exec.Command("go", "build", "-o", path, "dapplegate/cmd/initiator").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the initiator: %w: %s", err, out)
	}
	return path, nil
}

const (
	// readyTimeout is how long an initiator may take to become ready.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the time between two readiness checks.
	readyPollInterval = 5 * time.Millisecond
	// stopTimeout limits the wait for a process to stop after SIGSTOP.
	stopTimeout = time.Second
	// exhaustedDescriptorLimit is a limit on open file descriptors that every running initiator already exceeds.
	exhaustedDescriptorLimit = 4
)

// Process is a running initiator.
type Process struct {
	Config     Config
	configPath string
	pid        int
	log        logbuffer.Buffer
	exited     chan struct{}
	err        error // why it exited; valid once exited is closed
}

// Start starts the initiator binary with the given configuration, which it writes to dir, and waits until the initiator is
// ready. It injects the faults into the initiator's system calls, unless faults is nil.
func Start(program, dir string, config Config, faults syscallFaults) (*Process, error) {
	p := &Process{Config: config, configPath: filepath.Join(dir, "config.json"), exited: make(chan struct{})}
	if err := p.WriteConfig(config); err != nil {
		return nil, err
	}
	logLevel := config.LogLevel
	if logLevel == "" {
		logLevel = "debug"
	}
	arguments := []string{"serve", "--log-level", logLevel}
	environment := append(os.Environ(), "PROXY_CONFIG="+p.configPath, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	var err error
	if faults != nil {
		err = faults.start(p, program, arguments, environment)
	} else {
		err = p.startCommand(program, arguments, environment)
	}
	if err != nil {
		return nil, err
	}
	return p, p.waitUntilReady()
}

// startCommand starts the program without faults.
func (p *Process) startCommand(program string, arguments, environment []string) error {
	cmd := exec.Command(program, arguments...)
	cmd.Env = environment
	cmd.Stderr = &p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.pid = cmd.Process.Pid
	p.awaitExit(cmd)
	return nil
}

// awaitExit records the end of the process that the command runs, or whose end ends the command.
func (p *Process) awaitExit(cmd *exec.Cmd) {
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
}

// WriteConfig replaces the configuration file atomically.
func (p *Process) WriteConfig(config Config) error {
	temporary := p.configPath + ".next"
	if err := os.WriteFile(temporary, config.JSON(), 0o600); err != nil {
		return err
	}
	p.Config = config
	return os.Rename(temporary, p.configPath)
}

func (p *Process) waitUntilReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		select {
		case <-p.exited:
			return fmt.Errorf("the initiator exited before it was ready: %w: %s", p.err, p.LogLines(""))
		default:
		}
		if p.ready() {
			http.DefaultClient.CloseIdleConnections()
			return nil
		}
	}
	p.Kill()
	return fmt.Errorf("the initiator was not ready after %v: %s", readyTimeout, p.LogLines(""))
}

// ready sends a readiness check and reports whether it succeeded.
func (p *Process) ready() bool {
	resp, err := http.Get("http://" + p.Config.Listen + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is needed
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) Signal(sig syscall.Signal) {
	if exited, _ := p.Exited(); !exited {
		_ = syscall.Kill(p.pid, sig) // the process may have exited meanwhile
	}
}

// Pause stops the process for a while, to simulate a busy machine that does not schedule it. If whilePaused is not nil,
// Pause calls it once the process has stopped.
func (p *Process) Pause(duration time.Duration, whilePaused func()) {
	p.Signal(syscall.SIGSTOP)
	start := time.Now()
	for !p.stopped() && time.Since(start) < stopTimeout {
		time.Sleep(100 * time.Microsecond)
	}
	if whilePaused != nil {
		whilePaused()
	}
	time.Sleep(time.Until(start.Add(duration)))
	p.Signal(syscall.SIGCONT)
}

// ExhaustDescriptors lowers the process's limit on open file descriptors for a while, so that accept, socket and open fail.
// Descriptors that are already open stay usable.
func (p *Process) ExhaustDescriptors(duration time.Duration) error {
	var original unix.Rlimit
	pid := p.pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original); err != nil {
		return err
	}
	exhausted := unix.Rlimit{Cur: exhaustedDescriptorLimit, Max: original.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &exhausted, nil); err != nil {
		return err
	}
	time.Sleep(duration)
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil)
}

// stopped reports whether SIGSTOP has taken effect, or the process has exited. A traced process may also be in a system
// call, in which the tracer has stopped it.
func (p *Process) stopped() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	if err != nil {
		return true // the process has exited
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(strings.ToUpper(state), "T")
}

// MemoryKiB returns the memory of the process that counts against its limit, in KiB: all that no file backs. It returns 0 if
// the process has exited.
func (p *Process) MemoryKiB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	total := 0
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			kib, _ := strconv.Atoi(fields[1]) // 0 if the kernel's format is not as documented
			total += kib
		}
	}
	return total
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited reports whether the process has exited, and with which error.
func (p *Process) Exited() (bool, error) {
	select {
	case <-p.exited:
		return true, p.err
	default:
		return false, nil
	}
}

// WaitForExit waits until the process has exited. It returns false if that takes longer than the timeout.
func (p *Process) WaitForExit(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// LogLines returns the lines of the process's log that contain the substring.
func (p *Process) LogLines(substring string) string {
	return p.filterLog(func(line string) bool { return strings.Contains(line, substring) })
}

// CrashReport returns the beginning of what the Go runtime wrote about a crash of the process, or "" if there was none.
func (p *Process) CrashReport() string {
	const maxLines = 60
	var report strings.Builder
	lines := 0
	_ = p.filterLog(func(line string) bool {
		if lines == 0 && !strings.HasPrefix(line, "panic: ") && !strings.HasPrefix(line, "fatal error: ") &&
			!strings.HasPrefix(line, "runtime: ") {
			return false
		}
		if lines++; lines <= maxLines {
			report.WriteString(line)
		}
		return false
	})
	return report.String()
}

// RequestLog returns the lines of the process's log about one request.
func (p *Process) RequestLog(requestID string) string {
	field := "request=" + requestID
	return p.filterLog(func(line string) bool { return slices.Contains(strings.Fields(line), field) })
}

func (p *Process) filterLog(matches func(line string) bool) string {
	var lines strings.Builder
	for line := range strings.Lines(p.log.String()) {
		if matches(line) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// addressCount is the number of addresses that NewListenAddress has returned.
var addressCount atomic.Int32

// NewListenAddress returns an address for an initiator to listen at. Each has a loopback IP address of its own. If an
// initiator shared the IP address of the fake targets and discovery, one of them could take its port while it restarts.
func NewListenAddress() string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:8080", 1+os.Getpid()%250, n/250, 1+n%250)
}
