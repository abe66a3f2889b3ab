package faulttest

import (
	"bytes"
	"encoding/json"
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

// Class is a request class as the settings tell it.
type Class struct {
	Name     string
	Deadline time.Duration
	Unsafe   bool
}

// Setup is what an initiator is told at its start.
type Setup struct {
	Listen    string
	Discovery string
	Classes   []Class
	Cores     float64
	Sockets   int
}

// Longest is the longest deadline of the setup.
func (s Setup) Longest() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// KillAfter is how soon SIGKILL may follow SIGTERM.
func (s Setup) KillAfter() time.Duration {
	return min(s.Longest(), 3*time.Second) + 700*time.Millisecond
}

// JSON is the configuration file of the setup.
func (s Setup) JSON() []byte {
	classes := make([]map[string]any, 0, len(s.Classes))
	for _, c := range s.Classes {
		effect := "pure"
		if c.Unsafe {
			effect = "side_effect"
		}
		classes = append(classes, map[string]any{"name": c.Name, "promiseUs": c.Deadline.Microseconds() / 2,
			"deadlineUs": c.Deadline.Microseconds(), "effect": effect, "worth": 2})
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n1", "listen": s.Listen, "discovery": s.Discovery, "seed": "1",
		"limits": map[string]any{"cores": s.Cores, "memory_mb": 128, "sockets": s.Sockets},
		"settings": map[string]any{"peersTotal": 1, "tickUs": 2000, "classes": classes,
			"contracts": []map[string]any{{"name": "std", "usualRate": 1000, "reservation": 1000, "parts": 1, "pays": 1}},
			"extra":     map[string]any{"meanUnits": 1, "largest": 6, "coldBears": 100},
			"limits":    map[string]any{"sendCap": 3, "dialTimeoutUs": 250000, "connIdleUs": 30000000}},
	})
	if err != nil {
		panic(err) // only values that can be encoded
	}
	return raw
}

// Process is one run of an initiator.
type Process struct {
	Setup  Setup
	config string
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
func Start(program, dir string, setup Setup) (*Process, error) {
	p := &Process{Setup: setup, config: filepath.Join(dir, "config.json"), ended: make(chan struct{})}
	if err := p.Configure(setup); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, "serve", "--log-level", "debug")
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
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
func (p *Process) Configure(setup Setup) error {
	next := p.config + ".next"
	if err := os.WriteFile(next, setup.JSON(), 0o600); err != nil {
		return err
	}
	p.Setup = setup
	return os.Rename(next, p.config)
}

func (p *Process) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.ended:
			return fmt.Errorf("the initiator ended before it was ready: %v: %s", p.err, p.Log(""))
		default:
		}
		resp, err := http.Get("http://" + p.Setup.Listen + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			return nil
		}
	}
	p.Kill()
	return fmt.Errorf("the initiator was not ready within 30 s: %s", p.Log(""))
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// HoldUp stops the process for a while, as a busy machine would; meanwhile is called once it stands still.
func (p *Process) HoldUp(d time.Duration, meanwhile func()) {
	p.Signal(syscall.SIGSTOP)
	begun := time.Now()
	for !p.stopped() && time.Since(begun) < time.Second {
		time.Sleep(100 * time.Microsecond)
	}
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(time.Until(begun.Add(d)))
	p.Signal(syscall.SIGCONT)
}

// Starve leaves the process no descriptor to open for a while, so that accept, socket and open fail. What is open stays.
func (p *Process) Starve(d time.Duration) error {
	var had unix.Rlimit
	pid := p.cmd.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &had); err != nil {
		return err
	}
	none := unix.Rlimit{Cur: leastDescriptors, Max: had.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &none, nil); err != nil {
		return err
	}
	time.Sleep(d)
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &had, nil)
}

// leastDescriptors is fewer than any initiator has open.
const leastDescriptors = 4

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
