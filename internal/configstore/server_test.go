package configstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

var discardLog = slog.New(slog.DiscardHandler)

// validateJSON stands in for the check whether an initiator could start with a configuration.
func validateJSON(_ string, config []byte) error {
	if !json.Valid(config) {
		return errors.New("name: required field is missing")
	}
	return nil
}

// freeAddrs returns n loopback addresses with unused ports.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := l.Close(); err != nil {
				t.Error(err)
			}
		}()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

const (
	clusterSize = 3
	// electionTimeout is shorter than the default, so that the tests take less time.
	electionTimeout = 500 * time.Millisecond
	// eventTimeout and eventPollInterval are for waiting for events that take a while, such as an election on a busy
	// machine.
	eventTimeout      = time.Minute
	eventPollInterval = 20 * time.Millisecond
)

// cluster is a group of servers on the loopback interface and a client of all of them. Each server has a directory that
// remains when the server stops.
type cluster struct {
	t       *testing.T
	peers   []Peer
	dirs    []string
	servers []*Server    // nil: stopped
	served  []chan error // result of Serve
	Client
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, servers: make([]*Server, clusterSize), served: make([]chan error, clusterSize)}
	addrs := freeAddrs(t, 2*clusterSize)
	for i := range clusterSize {
		c.peers = append(c.peers, Peer{ID: fmt.Sprint("agent-", i), Raft: addrs[i], API: addrs[clusterSize+i]})
		c.dirs = append(c.dirs, t.TempDir())
		c.Addrs = append(c.Addrs, addrs[clusterSize+i])
	}
	for i := range clusterSize {
		c.start(i)
	}
	t.Cleanup(func() {
		for i, server := range c.servers {
			if server != nil {
				c.stop(i)
			}
		}
	})
	return c
}

func (c *cluster) start(i int) {
	c.t.Helper()
	server, err := Start(Options{ID: c.peers[i].ID, Dir: c.dirs[i], Peers: c.peers, Validate: validateJSON, Logger: discardLog,
		ElectionTimeout: electionTimeout})
	if err != nil {
		c.t.Fatal(err)
	}
	l, err := net.Listen("tcp", c.peers[i].API)
	if err != nil {
		c.t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	c.servers[i], c.served[i] = server, served
}

func (c *cluster) stop(i int) {
	c.t.Helper()
	if err := c.servers[i].Shutdown(); err != nil {
		c.t.Error(err)
	}
	if err := <-c.served[i]; err != nil {
		c.t.Error(err)
	}
	c.servers[i] = nil
}

// eventually waits until a condition that takes a while is met, such as an election.
func (c *cluster) eventually(event string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventTimeout); !condition(); time.Sleep(eventPollInterval) {
		if time.Now().After(end) {
			c.t.Fatalf("timeout after %v waiting for %s", eventTimeout, event)
		}
	}
}

// leader waits for a leader and returns its index.
func (c *cluster) leader() int {
	leader := -1
	c.eventually("a leader", func() bool {
		for i, server := range c.servers {
			if server != nil && server.raft.State() == raft.Leader {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}

// mustPut writes a configuration, with retries until the write is confirmed.
func (c *cluster) mustPut(name, config, ifVersion string) Entry {
	c.t.Helper()
	for end := time.Now().Add(eventTimeout); ; time.Sleep(eventPollInterval) {
		entry, err := c.Put(context.Background(), name, []byte(config), ifVersion)
		if err == nil {
			return entry
		}
		if time.Now().After(end) {
			c.t.Fatalf("put of %s was not confirmed within %v, last error: %v", name, eventTimeout, err)
		}
	}
}

// TestLeaderLost stops the leader between two writes. The remaining majority must accept the second write, the stopped
// server must catch up from its durable data when it is restarted, and a watching client must see each configuration once,
// in order.
func TestLeaderLost(t *testing.T) {
	c := newCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	notified := make(chan Entry, 16)
	watcher := &Client{Addrs: c.Addrs}
	go watcher.Watch(ctx, "n1", discardLog, func(e Entry) { notified <- e })
	first := c.mustPut("n1", `{"a":1}`, "")
	c.mustPut("n2", `{"b":1}`, "")
	stopped := c.leader()
	c.stop(stopped)
	second := c.mustPut("n1", `{"a":2}`, "")
	if second.Version <= first.Version {
		t.Errorf("version went from %d to %d", first.Version, second.Version)
	}
	entry, err := c.Get(ctx, "n1")
	if err != nil || string(entry.Config) != `{"a":2}` || entry.Version != second.Version {
		t.Errorf("get after the leader was stopped: %+v, error %v", entry, err)
	}
	c.start(stopped)
	c.eventually("the stopped server to catch up", func() bool {
		entry, found, _ := c.servers[stopped].store.get("n1")
		return found && string(entry.Config) == `{"a":2}`
	})
	if all, err := c.List(ctx); err != nil || len(all) != 2 {
		t.Errorf("instances %v, error %v, want 2 instances", all, err)
	}
	for _, want := range []string{`{"a":1}`, `{"a":2}`} {
		select {
		case entry := <-notified:
			if string(entry.Config) != want {
				t.Errorf("watcher was notified of %s, want %s", entry.Config, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("watcher was not notified of %s", want)
		}
	}
	for _, status := range c.Status(ctx) {
		if !strings.HasPrefix(status.ID, "agent-") || status.Leader == "" {
			t.Errorf("status %+v, want the ID of an agent and a leader", status)
		}
	}
}

// TestRejectedWrites checks that writes are rejected, and with which HTTP status: a configuration with which no initiator
// could start, a condition that is not a version, and a write whose required version is not the current one.
func TestRejectedWrites(t *testing.T) {
	c := newCluster(t)
	ctx := context.Background()
	entry := c.mustPut("n1", `{"a":1}`, "0")
	rejected := func(name, config, ifVersion string, status int, message string) {
		t.Helper()
		_, err := c.Put(ctx, "n1", []byte(config), ifVersion)
		var statusErr *StatusError
		if !errors.As(err, &statusErr) || statusErr.Status != status || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: error %v, want status %d and a message that contains %q", name, err, status, message)
		}
	}
	rejected("write that requires no entry", `{"a":2}`, "0", http.StatusConflict, "another version")
	rejected("invalid configuration", "nonsense", "", http.StatusUnprocessableEntity, "required field")
	rejected("condition that is not a version", `{"a":2}`, "latest", http.StatusBadRequest, "not a version")
	c.mustPut("n1", `{"a":3}`, fmt.Sprint(entry.Version))
	if _, err := c.Put(ctx, "n1", nil, ""); err != nil {
		t.Errorf("delete: %v", err)
	}
	if _, err := c.Get(ctx, "n1"); !errors.Is(err, ErrNotFound) {
		t.Errorf("get after the delete: error %v, want ErrNotFound", err)
	}
}

// TestNoMajority stops two of three servers. The remaining one must not confirm a write, which would be lost if that server
// were lost.
func TestNoMajority(t *testing.T) {
	c := newCluster(t)
	c.mustPut("n1", `{"a":1}`, "")
	remaining := c.leader()
	for i := range clusterSize {
		if i != remaining {
			c.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if entry, err := c.Put(ctx, "n1", []byte(`{"a":2}`), ""); err == nil {
		t.Errorf("a single server of the group confirmed %+v", entry)
	}
}

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "memory" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// TestSnapshot persists the entries of one store and restores them into another. The version and the configuration of an
// entry must survive, because a restarted server reads them from its snapshot.
func TestSnapshot(t *testing.T) {
	original := newStore()
	original.Apply(&raft.Log{Index: 4, Data: []byte(`{"name":"n1","config":{"a":1}}`)})
	snap, err := original.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var sink memorySink
	if err := snap.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	restored := newStore()
	if err := restored.Restore(io.NopCloser(&sink)); err != nil {
		t.Fatal(err)
	}
	if entry, found, _ := restored.get("n1"); !found || entry.Version != 4 || string(entry.Config) != `{"a":1}` {
		t.Errorf("restored entry %+v, want version 4 with the original configuration", entry)
	}
}
