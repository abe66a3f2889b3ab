package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench holds what a case has started, and its record.
type bench struct {
	root    string
	dir     string // temporary; removed by close
	trouble bool   // whether the case plays its disruption
	begun   time.Time

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	cleanups []func()
	closed   bool
}

// newBench opens the record and makes a temporary folder.
func newBench(root, recordPath string, trouble bool) (*bench, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	b := &bench{root: root, dir: dir, trouble: trouble, begun: time.Now(), file: file, record: bufio.NewWriter(file)}
	b.note("disruption: %v", trouble)
	return b, nil
}

// note writes a line to the record, with the time since the begin of the case in milliseconds.
func (b *bench) note(format string, args ...any) { b.noteAt(time.Now(), format, args...) }

func (b *bench) noteAt(at time.Time, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	text := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	_, _ = fmt.Fprintf(b.record, "%9.1f %s\n", float64(at.Sub(b.begun).Microseconds())/1000, text)
}

// onClose adds a function that close calls. The last one added is called first.
func (b *bench) onClose(cleanup func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, cleanup)
}

// close ends all that was started and closes the record.
func (b *bench) close() {
	b.mu.Lock()
	cleanups := b.cleanups
	b.cleanups = nil
	b.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	_ = b.record.Flush()
	_ = b.file.Close()
	_ = os.RemoveAll(b.dir)
}

// listen listens at a free port of the loopback address.
func (b *bench) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.onClose(func() { _ = listener.Close() })
	return listener, nil
}

// freeAddress returns a loopback address at which nobody listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// runCommand returns the command `run` of the deploy file.
func (b *bench) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(b.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("the deploy file has no run command")
	}
	return string(match[1]), nil
}

// initiator is a running initiator.
type initiator struct {
	b      *bench
	name   string
	addr   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// initiatorConfig is the configuration of an initiator.
type initiatorConfig struct {
	name, listen, discovery string
	memoryMB, sockets       int
	settings                map[string]any
}

// write writes the configuration file of an initiator and returns its path.
func (b *bench) write(config initiatorConfig) (string, error) {
	raw, err := json.Marshal(map[string]any{
		"name": config.name, "listen": config.listen, "discovery": config.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": config.memoryMB, "sockets": config.sockets},
		"settings": config.settings,
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(b.dir, config.name+".json")
	if err := os.WriteFile(path+".next", raw, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".next", path)
}

// start starts an initiator with the command of the deploy file and waits until it is ready.
func (b *bench) start(config initiatorConfig) (*initiator, error) {
	command, err := b.runCommand()
	if err != nil {
		return nil, err
	}
	path, err := b.write(config)
	if err != nil {
		return nil, err
	}
	in := &initiator{b: b, name: config.name, addr: config.listen, exited: make(chan struct{})}
	in.cmd = exec.Command("/bin/sh", "-c", command)
	in.cmd.Dir = b.root
	in.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME="+config.name, "PROXY_LISTEN="+config.listen,
		"PROXY_DISCOVERY="+config.discovery, "TMPDIR="+b.dir)
	log := &logWriter{b: b, name: config.name}
	in.cmd.Stdout = log
	in.cmd.Stderr = log
	if err := in.cmd.Start(); err != nil {
		return nil, err
	}
	b.onClose(in.kill)
	go func() {
		err := in.cmd.Wait()
		b.note("%s ended: %v", in.name, err)
		close(in.exited)
	}()
	return in, in.awaitReady()
}

// deployment is an initiator with its agent.
type deployment struct {
	agent  *discovery
	in     *initiator
	client *client
}

// usualMemory is the memory of an initiator in MB, unless the case is about memory.
const usualMemory = 192

// deploy starts an agent with a list of targets, and one of so many initiators.
func (b *bench) deploy(entries []entry, initiators, shards int, classes []class) (*deployment, error) {
	return b.deployWithMemory(entries, initiators, shards, classes, usualMemory)
}

// deployWithMemory is deploy with a limit on memory, in MB.
func (b *bench) deployWithMemory(entries []entry, initiators, shards int, classes []class, memoryMB int) (*deployment, error) {
	agent, err := b.startDiscovery(entries)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	in, err := b.start(initiatorConfig{name: "n1", listen: listen, discovery: agent.addr, memoryMB: memoryMB, sockets: 1024,
		settings: settings(initiators, shards, classes)})
	if err != nil {
		return nil, err
	}
	return &deployment{agent: agent, in: in, client: &client{addr: listen}}, nil
}

// awaitReady waits until the initiator answers its readiness check with 200.
func (in *initiator) awaitReady() error {
	const readyTimeout = 30 * time.Second
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if in.hasExited() {
			return fmt.Errorf("%s ended before it was ready", in.name)
		}
		response, err := client.Get("http://" + in.addr + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			in.b.note("%s is ready", in.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready in %v", in.name, readyTimeout)
}

func (in *initiator) hasExited() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the initiator, unless it has ended.
func (in *initiator) signal(sig syscall.Signal) {
	if !in.hasExited() {
		in.b.note("%s gets signal %d (%v)", in.name, int(sig), sig)
		_ = in.cmd.Process.Signal(sig)
	}
}

// kill ends the initiator and waits for its end.
func (in *initiator) kill() {
	if !in.hasExited() {
		_ = in.cmd.Process.Kill()
	}
	<-in.exited
}

// logWriter copies an initiator's log to the record, without the lines about connections.
type logWriter struct {
	b       *bench
	name    string
	partial string
}

// Write implements io.Writer.
func (w *logWriter) Write(data []byte) (int, error) {
	w.partial += string(data)
	for {
		line, rest, found := strings.Cut(w.partial, "\n")
		if !found {
			return len(data), nil
		}
		w.partial = rest
		if !strings.Contains(line, `msg="connection ended"`) {
			w.b.note("%s log: %s", w.name, line)
		}
	}
}
