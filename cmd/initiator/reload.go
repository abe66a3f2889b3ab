package main

import (
	"log/slog"
	"os"
	"time"

	"dapplegate/internal/config"
)

const (
	// reloadWithin is how long a configuration that cannot be taken is tried again: the discovery that the old one names
	// ends its connections 1.5 s after the signal.
	reloadWithin = 1500 * time.Millisecond
	// reloadPause is the time between two tries.
	reloadPause = 50 * time.Millisecond
)

// reloads reads the configuration again at each SIGHUP and passes on where discovery is from then on; the rest of it
// waits for the next start. One that cannot be served changes nothing.
func reloads(hup <-chan os.Signal, getenv func(string) string, discovery string, log *slog.Logger) <-chan string {
	moves := make(chan string)
	go func() {
		for range hup {
			cfg, err := reload(hup, getenv)
			if err != nil {
				log.Error("configuration not taken", slog.String("reason", "BAD_CONFIG"), slog.Any("error", err))
				continue
			}
			log.Info("configuration taken", slog.String("discovery", cfg.Discovery))
			if cfg.Discovery != discovery {
				discovery = cfg.Discovery
				moves <- discovery
			}
		}
	}()
	return moves
}

// reload reads the configuration, and tries for a while where it cannot: the file may be half written, or the machine short
// of something. Another signal begins that time anew.
func reload(hup <-chan os.Signal, getenv func(string) string) (*config.Config, error) {
	for end := time.Now().Add(reloadWithin); ; {
		cfg, err := config.Reload(getenv)
		if err == nil || time.Now().After(end) {
			return cfg, err
		}
		select {
		case _, open := <-hup:
			if !open {
				return nil, err
			}
			end = time.Now().Add(reloadWithin)
		case <-time.After(reloadPause):
		}
	}
}
