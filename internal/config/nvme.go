package config

import (
	"encoding/hex"
	"fmt"
	"math/bits"
	"strconv"
	"time"
)

// NVMe sets up NVMe over TCP instead of the platform's HTTP, towards hosts and targets alike.
type NVMe struct {
	// Listen is the host:port where hosts connect; required, and another than that of the platform's configuration.
	Listen string `toml:"listen"`
	// Subsystem is the NQN under which hosts connect, 1 to 223 bytes.
	Subsystem string `toml:"subsystem"`
	// TargetSubsystem is the NQN of the targets' subsystem, 1 to 223 bytes.
	TargetSubsystem string `toml:"target_subsystem"`
	// HostNQN is this initiator's NQN towards targets, 1 to 223 bytes.
	HostNQN string `toml:"host_nqn"`
	// HostID is the host identifier towards targets, 32 hexadecimal digits.
	HostID string `toml:"host_id"`
	// QueueDepth is the number of entries of a host's I/O queue, 2 to 1024; default 64.
	QueueDepth int `toml:"queue_depth"`
	// KeepAliveMs is the keep-alive timeout towards targets in milliseconds, at least 200; default 5000.
	KeepAliveMs int `toml:"keep_alive_ms"`
	// Digests asks targets for header and data digests; default off. Hosts choose for themselves.
	Digests bool `toml:"digests"`
	// Namespaces are the namespaces served to hosts; at least one.
	Namespaces []Namespace `toml:"namespace"`
}

// Namespace maps the commands of one namespace to requests.
type Namespace struct {
	// ID is the namespace identifier, other than 0 and the broadcast value 0xFFFFFFFF; unique.
	ID uint32 `toml:"id"`
	// Volume is the volume of all its requests, 16 hexadecimal digits; also the namespace's EUI-64.
	Volume string `toml:"volume"`
	// Plan is the plan of the volume, one of the settings' contracts.
	Plan string `toml:"plan"`
	// Hosts is the number of initiators that carry the volume, at least 1.
	Hosts int `toml:"hosts"`
	// BlockBytes is the logical block size, a power of two from 512 to 4096.
	BlockBytes int `toml:"block_bytes"`
	// Blocks is the size in logical blocks, 1 to 2^48.
	Blocks uint64 `toml:"blocks"`
	// StripeBlocks is the size of an extent in blocks, at least 1. Extents lie on the shards in turn.
	StripeBlocks uint64 `toml:"stripe_blocks"`
	// Shards are the shards that hold the extents; at least one.
	Shards []int `toml:"shards"`
	// UnitBlocks is how many blocks count as one unit of work, at least 1.
	UnitBlocks uint32 `toml:"unit_blocks"`
	// Read is the class of reads, Write that of writes.
	Read  string `toml:"read"`
	Write string `toml:"write"`
	// Bulk is the class of reads of BulkBlocks or more; empty: Read.
	Bulk string `toml:"bulk"`
	// BulkBlocks is the size from which on a read is a bulk read, at least 1 where Bulk is set.
	BulkBlocks uint32 `toml:"bulk_blocks"`
}

const (
	maxNQNBytes          = 223 // of the NVMe base specification
	hostIDBytes          = 16
	volumeDigits         = 16
	minQueueDepth        = 2
	maxQueueDepth        = 1024
	defaultQueueDepth    = 64
	minKeepAliveMs       = 200
	defaultKeepAliveMs   = 5000
	minBlockBytes        = 512
	maxBlockBytes        = 4096
	maxBlocks            = 1 << 48
	broadcastNamespaceID = 0xFFFFFFFF
)

// HostIdentifier returns the bytes of HostID.
func (n *NVMe) HostIdentifier() [hostIDBytes]byte {
	var id [hostIDBytes]byte
	raw, _ := hex.DecodeString(n.HostID) // validate has checked it
	copy(id[:], raw)
	return id
}

// KeepAliveTimeout returns KeepAliveMs as a duration.
func (n *NVMe) KeepAliveTimeout() time.Duration {
	return time.Duration(n.KeepAliveMs) * time.Millisecond
}

func (n *NVMe) applyDefaults() {
	if n.QueueDepth == 0 {
		n.QueueDepth = defaultQueueDepth
	}
	if n.KeepAliveMs == 0 {
		n.KeepAliveMs = defaultKeepAliveMs
	}
}

// validate checks the section against the classes and plans of the platform's configuration.
func (n *NVMe) validate(platform *Config) *FieldError {
	if err := checkHostPort(n.Listen); err != nil {
		return &FieldError{Field: "listen", Err: err}
	}
	if n.Listen == platform.Listen {
		return fieldError("listen", "%s is where health checks are answered over HTTP", n.Listen)
	}
	if err := n.validateNames(); err != nil {
		return err
	}
	switch {
	case n.QueueDepth < minQueueDepth || n.QueueDepth > maxQueueDepth:
		return fieldError("queue_depth", "wanted %d to %d", minQueueDepth, maxQueueDepth)
	case n.KeepAliveMs < minKeepAliveMs:
		return fieldError("keep_alive_ms", "at least %d", minKeepAliveMs)
	case len(n.Namespaces) == 0:
		return fieldError("namespace", "at least one")
	}
	return n.validateNamespaces(platform)
}

func (n *NVMe) validateNames() *FieldError {
	for _, name := range []struct{ field, nqn string }{
		{"subsystem", n.Subsystem},
		{"target_subsystem", n.TargetSubsystem},
		{"host_nqn", n.HostNQN},
	} {
		if name.nqn == "" || len(name.nqn) > maxNQNBytes {
			return fieldError(name.field, "wanted 1 to %d bytes", maxNQNBytes)
		}
	}
	if id, err := hex.DecodeString(n.HostID); err != nil || len(id) != hostIDBytes {
		return fieldError("host_id", "wanted %d hex digits", 2*hostIDBytes)
	}
	return nil
}

func (n *NVMe) validateNamespaces(platform *Config) *FieldError {
	classes := platform.ClassNames()
	plans := platform.PlanNames()
	ids := map[uint32]bool{}
	for i := range n.Namespaces {
		namespace := &n.Namespaces[i]
		path := fmt.Sprintf("namespace[%d]", i)
		if err := namespace.validate(classes, plans); err != nil {
			return PrefixField(path, err)
		}
		if ids[namespace.ID] {
			return fieldError(path+".id", "%d is there twice", namespace.ID)
		}
		ids[namespace.ID] = true
	}
	return nil
}

func (n *Namespace) validate(classes, plans map[string]bool) *FieldError {
	if n.ID == 0 || n.ID == broadcastNamespaceID {
		return fieldError("id", "not a namespace id")
	}
	if err := checkVolume(n.Volume); err != nil {
		return err
	}
	switch {
	case !plans[n.Plan]:
		return fieldError("plan", "%q is not in the settings", n.Plan)
	case n.Hosts < 1:
		return fieldError("hosts", "at least 1")
	}
	if err := n.validateLayout(); err != nil {
		return err
	}
	return n.validateClasses(classes)
}

func checkVolume(volume string) *FieldError {
	if _, err := strconv.ParseUint(volume, 16, 64); err != nil || len(volume) != volumeDigits {
		return fieldError("volume", "wanted %d hex digits", volumeDigits)
	}
	return nil
}

// validateLayout checks the sizes, and the shards that the blocks lie on.
func (n *Namespace) validateLayout() *FieldError {
	isPowerOfTwo := bits.OnesCount(uint(n.BlockBytes)) == 1
	switch {
	case n.BlockBytes < minBlockBytes || n.BlockBytes > maxBlockBytes || !isPowerOfTwo:
		return fieldError("block_bytes", "wanted a power of two from %d to %d", minBlockBytes, maxBlockBytes)
	case n.Blocks == 0 || n.Blocks > maxBlocks:
		return fieldError("blocks", "out of range")
	case n.StripeBlocks == 0:
		return fieldError("stripe_blocks", "at least 1")
	case n.UnitBlocks == 0:
		return fieldError("unit_blocks", "at least 1")
	case len(n.Shards) == 0:
		return fieldError("shards", "at least one")
	}
	for i, shard := range n.Shards {
		if shard < 0 {
			return fieldError(fmt.Sprintf("shards[%d]", i), "negative")
		}
	}
	return nil
}

func (n *Namespace) validateClasses(classes map[string]bool) *FieldError {
	names := []struct{ field, class string }{{"read", n.Read}, {"write", n.Write}}
	if n.Bulk != "" {
		if n.BulkBlocks == 0 {
			return fieldError("bulk_blocks", "at least 1 where bulk is set")
		}
		names = append(names, struct{ field, class string }{"bulk", n.Bulk})
	}
	for _, name := range names {
		if !classes[name.class] {
			return fieldError(name.field, "class %q is not in the settings", name.class)
		}
	}
	return nil
}
