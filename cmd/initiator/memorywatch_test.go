package main

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"dapplegate/internal/config"
	"dapplegate/internal/logbuffer"
)

// TestHighMemoryUseIsLoggedWithTableSizes checks that an operator sees what fills the memory before the limit is reached.
func TestHighMemoryUseIsLoggedWithTableSizes(t *testing.T) {
	b := newTestbed(t)
	cfg, err := config.Parse([]byte(b.config()), config.NoEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Limits.MemoryMiB = 1 // any process uses more than half of it
	var log logbuffer.Buffer
	in, err := newInitiator(cfg, &config.OperatorFile{}, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go in.dispatcher.Run(ctx)
	go in.watchMemory(ctx)
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		text := log.String()
		if strings.Contains(text, "memory use is high") && strings.Contains(text, "given_up=0") {
			return
		}
	}
	t.Errorf("the log has no line about the memory use or none about the tables: %s", log.String())
}
