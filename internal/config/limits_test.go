package config

import "testing"

// TestDerivedLimits compares the shares of the machine's limits with values that were worked out by hand: descriptors bound
// the clients' connections, or else memory does, or else the least number does.
func TestDerivedLimits(t *testing.T) {
	for _, c := range []struct {
		name                                        string
		limits                                      Limits
		clients, idleClients, targets, perOneTarget int
		buffered                                    int64
	}{
		{"defaults", Limits{Cores: 1, MemoryMiB: 192, Sockets: 1024}, 559, 170, 409, 40, 48 << 20},
		{"little memory", Limits{Cores: 1, MemoryMiB: 16, Sockets: 1024}, 227, 170, 409, 40, 4 << 20},
		{"few descriptors", Limits{Cores: 1, MemoryMiB: 192, Sockets: 64}, 8, 10, 25, 25, 48 << 20},
	} {
		cfg := &Config{Limits: c.limits}
		if cfg.MaxClientConns() != c.clients || cfg.EvictIdleAbove() != c.idleClients ||
			cfg.MaxTargetConns() != c.targets || cfg.MaxConnsPerTarget() != c.perOneTarget ||
			cfg.MaxBufferedBytes() != c.buffered {
			t.Errorf("%s: %d clients, %d idle, %d targets, %d for one target, %d bytes", c.name, cfg.MaxClientConns(),
				cfg.EvictIdleAbove(), cfg.MaxTargetConns(), cfg.MaxConnsPerTarget(), cfg.MaxBufferedBytes())
		}
	}
}
