package main

import (
	"log/slog"
	"os"
	"time"

	"dapplegate/internal/config"
)

const (
	// reloadTimeout is how long a reload is retried: the discovery service that the old configuration names closes its
	// connections 1.5 s after the signal.
	reloadTimeout = 1500 * time.Millisecond
	// reloadRetryInterval is the pause between two attempts.
	reloadRetryInterval = 50 * time.Millisecond
)

// watchReloads reads the configuration again at each SIGHUP and sends discovery's address, whenever that has changed, to the
// channel returned; all other settings take effect at the next start. PROXY_DISCOVERY does not count: see config.Reload. A
// configuration that cannot be used changes nothing. The goroutine ends when the channel of signals is closed.
func watchReloads(hangups <-chan os.Signal, getenv func(string) string, discoveryAddr string, log *slog.Logger) <-chan string {
	changes := make(chan string)
	go func() {
		for range hangups {
			cfg, err := reloadConfig(hangups, getenv)
			if err != nil {
				log.Error(eventConfigRejected, slog.String("reason", reasonConfigNotServed), slog.Any("error", err))
				continue
			}
			log.Info(eventConfigAccepted, slog.String("discovery", cfg.Discovery))
			if cfg.Discovery != discoveryAddr {
				discoveryAddr = cfg.Discovery
				changes <- discoveryAddr
			}
		}
	}()
	return changes
}

// reloadConfig reads the configuration and retries until reloadTimeout if that fails: the file may be half written, or the
// process out of descriptors for a moment. Another signal starts the timeout anew.
func reloadConfig(hangups <-chan os.Signal, getenv func(string) string) (*config.Config, error) {
	deadline := time.Now().Add(reloadTimeout)
	for {
		cfg, err := config.Reload(getenv)
		if err == nil || time.Now().After(deadline) {
			return cfg, err
		}
		select {
		case _, open := <-hangups:
			if !open {
				return nil, err
			}
			deadline = time.Now().Add(reloadTimeout)
		case <-time.After(reloadRetryInterval):
		}
	}
}
