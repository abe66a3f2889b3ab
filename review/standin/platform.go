package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// class is a request class of the settings.
type class struct {
	Name       string `json:"name"`
	PromiseUs  int    `json:"promiseUs"`
	DeadlineUs int    `json:"deadlineUs"`
	Effect     string `json:"effect"`
	Group      string `json:"group,omitempty"`
	WindowUs   int    `json:"windowUs,omitempty"`
	Worth      int    `json:"worth"`
}

// settings are the parts of a configuration that differ between cases.
type settings struct {
	memoryMB int
	sockets  int
	classes  []class
}

// platform starts and ends an initiator with the commands of the deploy file.
type platform struct {
	rec       *record
	dir       string
	listen    string
	discovery string
	cmd       *exec.Cmd
	exited    chan struct{}
	exitErr   error
}

// freeAddress returns a loopback address that nobody listens at. Its IP address is not that of the other parties, whose
// connections could take the port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startInitiator writes the configuration, starts the command `run` of the deploy file, and waits until the initiator is
// ready.
func startInitiator(rec *record, root, discovery string, s settings) (*platform, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, dir: dir, listen: listen, discovery: discovery, exited: make(chan struct{})}
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"settings": map[string]any{"peersTotal": 1, "index": 0, "tickUs": 2000, "registryMode": "pushed", "classes": s.classes,
			"contracts": []map[string]any{{"name": "std", "usualRate": 1000, "reservation": 1000, "parts": 1, "pays": 1}},
			"extra":     map[string]any{"meanUnits": 2, "largest": 6, "coldBears": 100},
			"rules":     map[string]any{"answerSlackUs": 8000, "drainGraceUs": 1000000},
			"limits": map[string]any{"sendCap": 3, "dialTimeoutUs": 250000, "connIdleUs": 30000000, "mostHeld": 26666,
				"cancelling": true}},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o644); err != nil {
		return nil, err
	}
	run, err := deployCommand(root, "run")
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = root
	p.cmd.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+listen, "PROXY_DISCOVERY="+discovery, "PROXY_CONFIG="+path)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := startProcess(p.cmd); err != nil {
		return nil, err
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	rec.printf("started %q, process %d, listen %s, discovery %s", run, p.cmd.Process.Pid, listen, discovery)
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if p.hasExited() {
			return nil, fmt.Errorf("the initiator exited before it was ready: %v", p.exitErr)
		}
		resp, err := http.Get("http://" + listen + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				http.DefaultClient.CloseIdleConnections()
				rec.printf("the initiator is ready")
				return p, nil
			}
		}
	}
	p.stop()
	return nil, fmt.Errorf("the initiator was not ready within 30 s")
}

// deployCommand returns a command of deploy/balancer.toml.
func deployCommand(root, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(key) == name {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no %s", name)
}

func (p *platform) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// stop kills the initiator, waits for its end and appends its log to the record.
func (p *platform) stop() {
	if !p.hasExited() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
	if text, err := os.ReadFile(filepath.Join(p.dir, "log")); err == nil {
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		p.rec.printf("the initiator's log, %d lines, the last 40 at most:", len(lines))
		for _, line := range lines[max(0, len(lines)-40):] {
			p.rec.printf("  %s", line)
		}
	}
	_ = os.RemoveAll(p.dir)
}

// memoryKB returns a field of the initiator's /proc/PID/status in KiB.
func (p *platform) memoryKB(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return n
		}
	}
	return 0
}

// processes are all processes that the case has started.
var processes struct {
	mu      sync.Mutex
	started []*os.Process
}

// startProcess starts a process that killProcesses ends.
func startProcess(cmd *exec.Cmd) error {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	processes.started = append(processes.started, cmd.Process)
	return nil
}

// killProcesses kills the processes that are still running. Those that have been waited for are not signalled.
func killProcesses() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, process := range processes.started {
		_ = process.Kill()
	}
}

// endpoint is an entry of the list of targets.
type endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// startDiscovery serves a list that does not change, as the protocol page says.
func startDiscovery(list []endpoint) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/api/targets" {
				http.NotFound(w, r)
				return
			}
			answer := map[string]any{"version": 1, "full": true, "servers": list}
			if after, err := strconv.Atoi(r.URL.Query().Get("after")); err == nil && after >= 1 {
				wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
				select {
				case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
				case <-r.Context().Done():
					return
				}
				answer = map[string]any{"version": 1, "full": false, "servers": []endpoint{}}
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(answer)
		}))
	}()
	return l.Addr().String(), nil
}
