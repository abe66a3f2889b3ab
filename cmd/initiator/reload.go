package main

import (
	"log/slog"
	"os"
	"time"

	"dapplegate/internal/config"
)

const (
	// reloadTimeout is how long a failed reload is retried: until the discovery service that the old configuration names
	// closes its connections, 1.5 s after the signal.
	reloadTimeout = 1500 * time.Millisecond
	// reloadRetryInterval is the pause between two reads of the configuration.
	reloadRetryInterval = 50 * time.Millisecond
)

// watchReloads starts a goroutine that reads the configuration again at each SIGHUP. If the address of discovery has
// changed, the new one is sent to the returned channel; all other settings take effect at the next start. PROXY_DISCOVERY is
// ignored: see config.Reload. A configuration that cannot be used changes nothing. The goroutine ends once hangups is
// closed and the last change has been received.
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

// reloadConfig reads the configuration. It retries a failed read for reloadTimeout, because the file may be half written or
// the process may be out of descriptors for a moment. Another signal restarts the timeout.
func reloadConfig(hangups <-chan os.Signal, getenv func(string) string) (*config.Config, error) {
	deadline := time.Now().Add(reloadTimeout)
	for {
		cfg, err := config.Reload(getenv)
		if err == nil || time.Now().After(deadline) {
			return cfg, err
		}
		select {
		case _, ok := <-hangups:
			if !ok {
				return nil, err
			}
			deadline = time.Now().Add(reloadTimeout)
		case <-time.After(reloadRetryInterval):
		}
	}
}
