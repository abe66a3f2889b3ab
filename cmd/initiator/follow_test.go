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

// putWithRetry writes the initiator's configuration. It retries while the store has no leader or is not listening yet.
func putWithRetry(ctx context.Context, client *configstore.Client, text string) (err error) {
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

// waitUntilClosed waits until requests to the testbed's address no longer get a response.
func (b *testbed) waitUntilClosed(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if status, _ := b.request(); status == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the predecessor still responds after %v, want its listener to be closed", waitTimeout)
		}
	}
}

// rejectionRecorder is a log handler that sends the error of each rejected configuration to a channel.
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

// waitUntilRejected waits until the initiator has rejected a configuration and returns the error.
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

// TestFollowConfigurationStore runs an initiator with its configuration from the store. The store refuses an invalid
// version. The initiator rejects a version that is valid but whose listen address is in use, and keeps serving with the
// previous one. When a version with another, free address is written, a successor replaces the initiator: the predecessor
// ends, and requests are served at the new address.
func TestFollowConfigurationStore(t *testing.T) {
	b := newTestbed(t)
	agent := &config.Agent{ID: "a", Dir: t.TempDir(), Peers: []config.Peer{{ID: "a", Raft: freeAddr(t), API: freeAddr(t)}}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	recorder := newRejectionRecorder()
	go func() { ended <- runAgent(ctx, agent, discardLog) }()
	client := &configstore.Client{Addrs: []string{agent.API()}}
	if err := putWithRetry(ctx, client, b.config()); err != nil {
		t.Fatal(err)
	}
	getenv := environment(map[string]string{"PROXY_NAME": initiatorName})
	go func() { ended <- follow(ctx, client.Addrs, getenv, "", slog.New(recorder)) }()
	b.waitUntilServed(t)

	if err := putWithRetry(ctx, client, `{"name":"n1"}`); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("the store's response to an invalid configuration: %v, want an error that names the field listen", err)
	}

	predecessorAddr := b.listen
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	b.listen = occupied.Addr().String()
	if err := putWithRetry(ctx, client, b.config()); err != nil {
		t.Fatal(err)
	}
	if err := recorder.waitUntilRejected(t); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("the error of a configuration whose listen address is in use: %v, want EADDRINUSE", err)
	}
	b.listen = predecessorAddr
	if status, body := b.request(); status != http.StatusOK || body != targetBody {
		t.Errorf("after a rejected configuration: %d %q, want the initiator to keep serving with the previous one",
			status, body)
	}

	successorAddr := freeAddr(t)
	b.listen = successorAddr
	if err := putWithRetry(ctx, client, b.config()); err != nil {
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
