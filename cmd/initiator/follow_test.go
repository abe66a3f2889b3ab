package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"dapplegate/internal/config"
	"dapplegate/internal/configstore"
)

// putRetrying writes a configuration, and retries while the store has no leader or does not listen yet.
func putRetrying(ctx context.Context, client *configstore.Client, name, text string) (err error) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		_, err = client.Put(ctx, name, []byte(text), "")
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

// TestFollowConfigurationStore has an initiator take its configuration from the store. It keeps that when a version is written
// that cannot be served, and is replaced by a successor when a good one is, with another address here: the predecessor ends,
// and requests are served at the new address.
func TestFollowConfigurationStore(t *testing.T) {
	b := newTestbed(t)
	agent := &config.Agent{ID: "a", Dir: t.TempDir(), Peers: []config.Peer{{ID: "a", Raft: freeAddr(t), API: freeAddr(t)}}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- runAgent(ctx, agent, discardLog) }()
	client := &configstore.Client{Addrs: []string{agent.API()}}
	if err := putRetrying(ctx, client, "n1", b.config()); err != nil {
		t.Fatal(err)
	}
	getenv := environment(map[string]string{"PROXY_NAME": "n1"})
	go func() { ended <- follow(ctx, client.Addrs, getenv, "", discardLog) }()
	b.waitUntilServed(t)

	if err := putRetrying(ctx, client, "n1", `{"name":"n1"}`); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("a configuration that cannot be served: %v", err)
	}

	predecessorAddr := b.listen
	successorAddr := freeAddr(t)
	b.listen = successorAddr
	if err := putRetrying(ctx, client, "n1", b.config()); err != nil {
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
