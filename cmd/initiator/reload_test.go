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

// TestReloadOutlastsAFailingRead
//
// Symptom: a target that drains went on getting requests after a new configuration.
// Sequence: the file cannot be read for a moment when SIGHUP arrives. The old discovery service ends 1.5 s later.
// Cause: the configuration was read once for each signal, and given up if that failed.
// Settled by the log: "configuration rejected", and no call at the new address.
func TestReloadOutlastsAFailingRead(t *testing.T) {
	b := newTestbed(t)
	configFile := filepath.Join(t.TempDir(), "config.json")
	hangups := make(chan os.Signal, 1)
	getenv := config.FileEnvironment(configFile)
	addrs := watchReloads(hangups, getenv, b.discoveryAddr, discardLog)
	hangups <- syscall.SIGHUP
	time.Sleep(2 * reloadRetryInterval) // several reads have failed by then
	if _, err := config.Reload(getenv); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("a read of the configuration: %v, want it to fail since there is no file yet", err)
	}
	select {
	case addr := <-addrs:
		t.Fatalf("moved to %s without a configuration", addr)
	default:
	}
	const moved = "127.0.0.1:9"
	writeFile(t, configFile, strings.Replace(b.config(), b.discoveryAddr, moved, 1))
	select {
	case got := <-addrs:
		if got != moved {
			t.Errorf("moved to %s, want %s", got, moved)
		}
	case <-time.After(5 * time.Second):
		t.Error("the configuration was not accepted")
	}
	close(hangups)
}

// startDiscovery starts one more discovery service with the testbed's list, and returns its address and the calls it gets.
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

// TestReloadMovesDiscovery replaces the configuration file under a running initiator and signals the process. A file that
// cannot be used changes nothing. A good one moves discovery, although the environment names the old address: it is the file
// that was replaced. Requests are served all along, and the initiator stops cleanly with a reload under way.
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
		moved, calls := b.startDiscovery(t)
		reload(strings.Replace(b.config(), b.discoveryAddr, moved, 1))
		select {
		case got := <-calls:
			if got != "/api/targets" {
				t.Errorf("first call at the new address: %q", got)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no call at the new address")
		}
		b.waitUntilServed(t)
	}
	reload(b.config())
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
