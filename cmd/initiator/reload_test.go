package main

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dapplegate/internal/config"
)

// TestReloadRetriesFailedRead guards against an initiator that keeps sending requests to a draining target after its
// configuration has moved discovery. The initiator read the configuration only once for each SIGHUP. If the file could not
// be read at that moment, the initiator logged "configuration rejected" and never called discovery at the new address, while
// the old discovery service ended 1.5 s after the signal.
func TestReloadRetriesFailedRead(t *testing.T) {
	b := newTestbed(t)
	configFile := filepath.Join(t.TempDir(), "config.json")
	hangups := make(chan os.Signal, 1)
	getenv := config.FileEnvironment(configFile)
	addrs := watchReloads(hangups, getenv, b.discoveryAddr, discardLog)
	hangups <- syscall.SIGHUP
	time.Sleep(2 * reloadRetryInterval) // several reads have failed by then
	if _, err := config.Reload(getenv); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("reading the configuration before its file exists: %v, want os.ErrNotExist", err)
	}
	select {
	case addr := <-addrs:
		t.Fatalf("discovery moved to %s before the configuration file existed", addr)
	default:
	}
	const newAddr = "127.0.0.1:9"
	writeFile(t, configFile, strings.Replace(b.config(), b.discoveryAddr, newAddr, 1))
	select {
	case got := <-addrs:
		if got != newAddr {
			t.Errorf("discovery moved to %s, want %s", got, newAddr)
		}
	case <-time.After(5 * time.Second):
		t.Error("discovery did not move: the configuration was not accepted")
	}
	close(hangups)
}

// startDiscovery starts another discovery service with the testbed's endpoint list. It returns the service's address and a
// channel with the URL of each call that it gets.
func (b *testbed) startDiscovery(t *testing.T) (addr string, calls <-chan string) {
	t.Helper()
	received := make(chan string, 64)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.URL.String()
		b.discoveryHandler.ServeHTTP(w, r)
	}))
	t.Cleanup(service.Close)
	return strings.TrimPrefix(service.URL, "http://"), received
}

// TestReloadMovesDiscovery replaces the configuration file of a running initiator and sends SIGHUP to the process. An
// invalid file changes nothing. A valid one moves discovery to the address in the file, although PROXY_DISCOVERY still holds
// the old address. Requests are served throughout, and the initiator stops cleanly during a reload.
func TestReloadMovesDiscovery(t *testing.T) {
	b := newTestbed(t)
	configFile := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, configFile, b.config())
	getenv := environment(map[string]string{"PROXY_CONFIG": configFile, "PROXY_DISCOVERY": b.discoveryAddr})
	cfg, operator, err := loadConfig(getenv, "")
	if err != nil {
		t.Fatal(err)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reload := func(text string) {
		t.Helper()
		writeFile(t, configFile, text)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	options := runOptions{discoveryAddrs: watchReloads(hangups, getenv, cfg.Discovery, discardLog)}
	go func() { ended <- serve(ctx, cfg, operator, discardLog, options) }()
	b.waitUntilServed(t)

	reload(`{"name":"n1"}`)
	b.waitUntilServed(t)
	for range 3 {
		newAddr, calls := b.startDiscovery(t)
		reload(strings.Replace(b.config(), b.discoveryAddr, newAddr, 1))
		select {
		case got := <-calls:
			if got != "/api/targets" {
				t.Errorf("first call at the new address: %q, want /api/targets", got)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("discovery got no call at the new address")
		}
		b.waitUntilServed(t)
	}
	reload(b.config())
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
