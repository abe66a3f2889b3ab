package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dapplegate/internal/config"
	"dapplegate/internal/configstore"
)

// putRetrying writes the initiator's configuration, and retries while the store has no leader or does not listen yet.
func putRetrying(ctx context.Context, client *configstore.Client, text string) (err error) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		_, err = client.Put(ctx, initiatorName, []byte(text), "")
		if err == nil {
			return nil
		}
		starting := strings.Contains(err.Error(), "leader") || strings.Contains(err.Error(), "refused")
		if !starting {
			return err
		}
	}
	return err
}

// waitUntilClosed waits until nobody listens at the testbed's address any more.
func (b *testbed) waitUntilClosed(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if status, _ := b.request(); status == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the predecessor still responds after %v", waitTimeout)
		}
	}
}

// rejectionRecorder is a log handler that sends the error of each configuration that was rejected.
type rejectionRecorder struct {
	slog.Handler
	rejected chan error
}

func newRejectionRecorder() *rejectionRecorder {
	return &rejectionRecorder{Handler: slog.DiscardHandler, rejected: make(chan error, 8)}
}

func (*rejectionRecorder) Enabled(context.Context, slog.Level) bool { return true }

func (r *rejectionRecorder) Handle(_ context.Context, record slog.Record) error {
	if record.Message != eventConfigRejected {
		return nil
	}
	record.Attrs(func(attr slog.Attr) bool {
		if err, ok := attr.Value.Any().(error); ok {
			r.rejected <- err
		}
		return true
	})
	return nil
}

// waitUntilRejected waits until the initiator has rejected a configuration, and returns the error.
func (r *rejectionRecorder) waitUntilRejected(t *testing.T) error {
	t.Helper()
	select {
	case err := <-r.rejected:
		return err
	case <-time.After(waitTimeout):
		t.Fatalf("no configuration was rejected within %v", waitTimeout)
		return nil
	}
}

// TestFollowConfigurationStore has an initiator take its configuration from the store. The store refuses a version that is not
// valid. The initiator rejects one that is valid but whose listen address is occupied, and serves the one before it on. It is
// replaced by a successor when a good version is written, with another address here: the predecessor ends, and requests are
// served at the new address.
func TestFollowConfigurationStore(t *testing.T) {
	b := newTestbed(t)
	agent := &config.Agent{ID: "a", Dir: t.TempDir(), Peers: []config.Peer{{ID: "a", Raft: freeAddr(t), API: freeAddr(t)}}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	recorder := newRejectionRecorder()
	go func() { ended <- runAgent(ctx, agent, discardLog) }()
	client := &configstore.Client{Addrs: []string{agent.API()}}
	if err := putRetrying(ctx, client, b.config()); err != nil {
		t.Fatal(err)
	}
	getenv := environment(map[string]string{"PROXY_NAME": initiatorName})
	go func() { ended <- follow(ctx, client.Addrs, getenv, "", slog.New(recorder)) }()
	b.waitUntilServed(t)

	if err := putRetrying(ctx, client, `{"name":"n1"}`); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("the store's response to a configuration that is not valid: %v", err)
	}

	predecessorAddr := b.listen
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	b.listen = occupied.Addr().String()
	if err := putRetrying(ctx, client, b.config()); err != nil {
		t.Fatal(err)
	}
	if err := recorder.waitUntilRejected(t); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("a configuration whose listen address is occupied: %v", err)
	}
	b.listen = predecessorAddr
	if status, body := b.request(); status != http.StatusOK || body != targetBody {
		t.Errorf("after a rejected configuration: %d %q, want the initiator to serve the one before it", status, body)
	}

	successorAddr := freeAddr(t)
	b.listen = successorAddr
	if err := putRetrying(ctx, client, b.config()); err != nil {
		t.Fatal(err)
	}
	b.waitUntilServed(t)
	b.listen = predecessorAddr
	b.waitUntilClosed(t)
	b.listen = successorAddr
	b.waitUntilServed(t)

	stop()
	for range 2 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
