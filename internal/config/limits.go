package config

import "math"

// Limits are the resources that the machine grants the process.
type Limits struct {
	// Cores is the processor share; default 1.
	Cores float64 `json:"cores"`
	// MemoryMiB is the memory; default 192. The platform's memory_mb is in MiB.
	MemoryMiB int `json:"memory_mb"`
	// Sockets is the number of file descriptors; at least 64, default 1024.
	Sockets int `json:"sockets"`
}

const (
	defaultCores     = 1
	defaultMemoryMiB = 192
	defaultSockets   = 1024
	minSockets       = 64
)

// Shares of the resources. Descriptors: four tenths go to targets, reservedDescriptors to the process itself, clients get
// what is left.
const (
	bytesPerMiB = 1 << 20

	// reservedDescriptors are for discovery, the listeners, logs and the runtime, and for the connections above MaxClientConns
	// that clienthttp accepts to reject one request each (its maxOverLimit, 24).
	reservedDescriptors = 56

	// clientConnBytes is the approximate memory of a client connection: buffers, goroutine stack and one request.
	clientConnBytes = 24 << 10

	// minClientConns is the number of client connections with limits that would leave fewer, or none.
	minClientConns = 8

	// maxConnsPerTarget exceeds the attempts that the scheduler ever has in flight at one target, overdue ones included.
	maxConnsPerTarget = 40
)

// validate checks what was configured; a field of 0 takes its default.
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

// applyDefaults replaces fields of 0.
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

// MaxClientConns is the number of client connections at a time: the descriptors that targets and the process leave, as long
// as the connections fit into a third of the memory.
func (c *Config) MaxClientConns() int {
	byDescriptors := c.Limits.Sockets - c.MaxTargetConns() - reservedDescriptors
	byMemory := c.Limits.MemoryMiB * bytesPerMiB / 3 / clientConnBytes
	return max(min(byDescriptors, byMemory), minClientConns)
}

// EvictIdleAbove is the number of open client connections, with a request or without, above which each new one evicts one that
// has been idle long enough: a sixth of the descriptors, so that idle clients leave room for busy ones.
func (c *Config) EvictIdleAbove() int { return c.Limits.Sockets / 6 }

// MaxTargetConns is the number of connections to all targets together: four tenths of the descriptors.
func (c *Config) MaxTargetConns() int { return c.Limits.Sockets * 4 / 10 }

// MaxConnsPerTarget is the number of connections to one target.
func (c *Config) MaxConnsPerTarget() int { return min(maxConnsPerTarget, c.MaxTargetConns()) }

// MaxBufferedBytes bounds, over HTTP, the response bodies that are being read at one time and, over NVMe, the data of the
// commands in flight: a quarter of the memory.
func (c *Config) MaxBufferedBytes() int64 { return int64(c.Limits.MemoryMiB) * bytesPerMiB / 4 }
