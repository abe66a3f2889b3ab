package config

import "math"

// Limits are the resources available to the process.
type Limits struct {
	// Cores is the number of processor cores, which may be fractional; default 1.
	Cores float64 `json:"cores"`
	// MemoryMiB is the memory in MiB; default 192. The platform's name is memory_mb, but the unit is MiB.
	MemoryMiB int `json:"memory_mb"`
	// Sockets is the maximum number of file descriptors; at least 64, default 1024.
	Sockets int `json:"sockets"`
}

const (
	defaultCores     = 1
	defaultMemoryMiB = 192
	defaultSockets   = 1024
	minSockets       = 64
)

// Division of the resources. Four tenths of the descriptors are for connections to targets, reservedDescriptors are for the
// process itself, and client connections get the rest.
const (
	bytesPerMiB = 1 << 20

	// reservedDescriptors are for discovery, the listeners, logs and the runtime, and for the connections above
	// MaxClientConns that clienthttp accepts only to reject one request on each (its maxConnsOverLimit, 24).
	reservedDescriptors = 56

	// clientConnBytes is the memory that a client connection may take, apart from the body of its request: buffers, a head of
	// the largest size, and the stacks of the goroutines that serve the connection and carry out its attempt.
	clientConnBytes = 48 << 10
	// clientConnMemoryDivisor divides the memory; client connections may take the quotient.
	clientConnMemoryDivisor = 2

	// minClientConns is the lower bound of MaxClientConns, even if the limits leave room for fewer connections or for none.
	minClientConns = 8

	// maxConnsPerTarget exceeds the number of attempts that the scheduler ever has in flight to one target, including those
	// that no longer count against the target's concurrency limit, because they have had no response for too long.
	maxConnsPerTarget = 40
)

// validate checks the configured values. A field may be 0, which stands for its default.
func (l *Limits) validate() *FieldError {
	switch {
	case l.Cores < 0 || math.IsNaN(l.Cores):
		return fieldError("cores", "%v is not a number of cores", l.Cores)
	case l.MemoryMiB < 0:
		return fieldError("memory_mb", "%d is negative", l.MemoryMiB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return fieldError("sockets", "%d is too few, at least %d", l.Sockets, minSockets)
	}
	return nil
}

// applyDefaults replaces fields that are 0 with their defaults.
func (l *Limits) applyDefaults() {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMiB == 0 {
		l.MemoryMiB = defaultMemoryMiB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
}

// MaxClientConns is the maximum number of concurrent client connections: one for each descriptor that connections to targets
// and the process itself leave, but no more than fit into half of the memory, and at least minClientConns.
func (c *Config) MaxClientConns() int {
	byDescriptors := c.Limits.Sockets - c.MaxTargetConns() - reservedDescriptors
	byMemory := c.Limits.MemoryMiB * bytesPerMiB / clientConnMemoryDivisor / clientConnBytes
	return max(min(byDescriptors, byMemory), minClientConns)
}

// EvictIdleAbove is the number of open client connections, busy or idle, above which each new connection evicts one that has
// been idle long enough. It is a sixth of the descriptors, so that idle clients leave room for busy ones.
func (c *Config) EvictIdleAbove() int { return c.Limits.Sockets / 6 }

// MaxTargetConns is the maximum number of connections to all targets together: four tenths of the descriptors.
func (c *Config) MaxTargetConns() int { return c.Limits.Sockets * 4 / 10 }

// MaxConnsPerTarget is the maximum number of connections to one target.
func (c *Config) MaxConnsPerTarget() int { return min(maxConnsPerTarget, c.MaxTargetConns()) }

// MaxBufferedBytes is a quarter of the memory. Over HTTP it bounds the total size of the response bodies that are being read
// at one time; over NVMe it bounds the data of the commands in flight.
func (c *Config) MaxBufferedBytes() int64 { return int64(c.Limits.MemoryMiB) * bytesPerMiB / 4 }

// MaxRequestBytes is an eighth of the memory. It bounds the heads and bodies of all client requests in flight over HTTP. While an
// attempt is being written, its request is in memory twice.
func (c *Config) MaxRequestBytes() int64 { return int64(c.Limits.MemoryMiB) * bytesPerMiB / 8 }
