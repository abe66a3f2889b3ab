package main

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestReloadOutlastsAFailingRead
//
// Symptom: a target that drains went on getting requests after a new configuration.
// Sequence: the file cannot be read for a moment when SIGHUP comes. The old discovery ends 1.5 s later.
// Cause: the configuration was read once for each signal, and one that could not be read was given up.
// Settled by the log: "configuration not taken", and no call at the new address.
func TestReloadOutlastsAFailingRead(t *testing.T) {
	w := newWorld(t)
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }
	hup := make(chan os.Signal, 1)
	moves := reloads(hup, getenv, w.discovery, slog.New(slog.DiscardHandler))
	hup <- syscall.SIGHUP
	time.Sleep(100 * time.Millisecond)
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
	const moved = "127.0.0.1:9"
	if err := os.WriteFile(path, []byte(strings.Replace(w.config(), w.discovery, moved, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-moves:
		if got != moved {
			t.Errorf("moved to %s, want %s", got, moved)
		}
	case <-time.After(5 * time.Second):
		t.Error("the configuration was not taken")
	}
	close(hup)
}
