package config

import "testing"

// TestDerivedLimits compares the bounds that are derived from Limits with values computed by hand. In each case another rule
// determines the number of client connections: the descriptors, the memory, or minClientConns.
func TestDerivedLimits(t *testing.T) {
	for _, c := range []struct {
		name                                                     string
		limits                                                   Limits
		clientConns, evictIdleAbove, targetConns, connsPerTarget int
		bufferedBytes, requestBytes                              int64
	}{
		{"defaults", Limits{Cores: 1, MemoryMiB: 192, Sockets: 1024}, 559, 170, 409, 40, 48 << 20, 24 << 20},
		{"little memory", Limits{Cores: 1, MemoryMiB: 16, Sockets: 1024}, 170, 170, 409, 40, 4 << 20, 2 << 20},
		{"a third of many descriptors in the least memory", Limits{Cores: 1, MemoryMiB: 32, Sockets: 1024}, 341, 170, 409, 40, 8 << 20,
			4 << 20},
		{"few descriptors", Limits{Cores: 1, MemoryMiB: 192, Sockets: 64}, 8, 10, 25, 25, 48 << 20, 24 << 20},
	} {
		cfg := &Config{Limits: c.limits}
		if cfg.MaxClientConns() != c.clientConns || cfg.EvictIdleAbove() != c.evictIdleAbove ||
			cfg.MaxTargetConns() != c.targetConns || cfg.MaxConnsPerTarget() != c.connsPerTarget ||
			cfg.MaxBufferedBytes() != c.bufferedBytes || cfg.MaxRequestBytes() != c.requestBytes {
			t.Errorf("%s: %d client connections, eviction above %d, %d target connections, %d per target, %d and %d bytes",
				c.name, cfg.MaxClientConns(), cfg.EvictIdleAbove(), cfg.MaxTargetConns(), cfg.MaxConnsPerTarget(),
				cfg.MaxBufferedBytes(), cfg.MaxRequestBytes())
		}
	}
}
