package config

import (
	"encoding/hex"
	"fmt"
	"math/bits"
	"strconv"
	"time"
)

// NVMe configures NVMe over TCP, which replaces the platform's HTTP towards both hosts and targets.
type NVMe struct {
	// Listen is the host:port where hosts connect; required, and different from Listen in the platform's configuration.
	Listen string `toml:"listen"`
	// Subsystem is the NQN of the subsystem that hosts connect to, 1 to 223 bytes.
	Subsystem string `toml:"subsystem"`
	// TargetSubsystem is the NQN of the targets' subsystem, 1 to 223 bytes.
	TargetSubsystem string `toml:"target_subsystem"`
	// HostNQN is the NQN of this initiator as a host of the targets, 1 to 223 bytes.
	HostNQN string `toml:"host_nqn"`
	// HostID is the host identifier of this initiator as a host of the targets, 32 hexadecimal digits.
	HostID string `toml:"host_id"`
	// QueueDepth is the number of entries in a host's I/O queue, 2 to 1024; default 64.
	QueueDepth int `toml:"queue_depth"`
	// KeepAliveMs is the keep-alive timeout of associations with targets in milliseconds, at least 200; default 5000.
	KeepAliveMs int `toml:"keep_alive_ms"`
	// Digests requests header and data digests from targets; default off. Each host decides about digests on its own
	// connections.
	Digests bool `toml:"digests"`
	// Namespaces are the namespaces served to hosts; at least one.
	Namespaces []Namespace `toml:"namespace"`
}

// Namespace configures one namespace and how its commands are mapped to requests.
type Namespace struct {
	// ID is the namespace identifier, other than 0 and the broadcast value 0xFFFFFFFF; unique.
	ID uint32 `toml:"id"`
	// Volume is the volume of all requests of the namespace, 16 hexadecimal digits. It is also the namespace's EUI-64.
	Volume string `toml:"volume"`
	// Plan is the plan of the volume, one of the contracts in the platform's settings.
	Plan string `toml:"plan"`
	// Hosts is the number of initiators that carry requests of the volume, at least 1.
	Hosts int `toml:"hosts"`
	// BlockBytes is the logical block size, a power of two from 512 to 4096.
	BlockBytes int `toml:"block_bytes"`
	// Blocks is the size in logical blocks, 1 to 2^48.
	Blocks uint64 `toml:"blocks"`
	// StripeBlocks is the size of an extent in blocks, at least 1. Extents are assigned to the shards round-robin.
	StripeBlocks uint64 `toml:"stripe_blocks"`
	// Shards are the shards that hold the extents; at least one.
	Shards []int `toml:"shards"`
	// UnitBlocks is the number of blocks that count as one unit, at least 1.
	UnitBlocks uint32 `toml:"unit_blocks"`
	// Read is the class of reads, and Write the class of writes.
	Read  string `toml:"read"`
	Write string `toml:"write"`
	// Bulk is the class of bulk reads, which have BulkBlocks blocks or more; empty: bulk reads have the class Read.
	Bulk string `toml:"bulk"`
	// BulkBlocks is the minimum size of a bulk read in blocks, at least 1 if Bulk is set.
	BulkBlocks uint32 `toml:"bulk_blocks"`
}

const (
	maxNQNBytes          = 223 // limit of the NVMe base specification
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
	raw, _ := hex.DecodeString(n.HostID) // validate has checked that it can be decoded
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

// validate checks the section. The listen address must differ from the one in the platform's configuration, and the classes
// and plans must exist in its settings.
func (n *NVMe) validate(platform *Config) *FieldError {
	if err := checkHostPort(n.Listen); err != nil {
		return &FieldError{Field: "listen", Err: err}
	}
	if n.Listen == platform.Listen {
		return fieldError("listen", "%s is already the address of health checks over HTTP", n.Listen)
	}
	if err := n.validateIdentifiers(); err != nil {
		return err
	}
	switch {
	case n.QueueDepth < minQueueDepth || n.QueueDepth > maxQueueDepth:
		return fieldError("queue_depth", "must be from %d to %d", minQueueDepth, maxQueueDepth)
	case n.KeepAliveMs < minKeepAliveMs:
		return fieldError("keep_alive_ms", "must be at least %d", minKeepAliveMs)
	case len(n.Namespaces) == 0:
		return fieldError("namespace", "at least one is required")
	}
	return n.validateNamespaces(platform)
}

// validateIdentifiers checks the NQNs and the host identifier.
func (n *NVMe) validateIdentifiers() *FieldError {
	for _, name := range []struct{ field, nqn string }{
		{"subsystem", n.Subsystem},
		{"target_subsystem", n.TargetSubsystem},
		{"host_nqn", n.HostNQN},
	} {
		if name.nqn == "" || len(name.nqn) > maxNQNBytes {
			return fieldError(name.field, "must have 1 to %d bytes", maxNQNBytes)
		}
	}
	if id, err := hex.DecodeString(n.HostID); err != nil || len(id) != hostIDBytes {
		return fieldError("host_id", "must be %d hexadecimal digits", 2*hostIDBytes)
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
			return fieldError(path+".id", "namespace %d is configured twice", namespace.ID)
		}
		ids[namespace.ID] = true
	}
	return nil
}

func (n *Namespace) validate(classes, plans map[string]bool) *FieldError {
	if n.ID == 0 || n.ID == broadcastNamespaceID {
		return fieldError("id", "must not be 0 or the broadcast value 0xFFFFFFFF")
	}
	if err := checkVolume(n.Volume); err != nil {
		return err
	}
	switch {
	case !plans[n.Plan]:
		return fieldError("plan", "plan %q is not in the settings", n.Plan)
	case n.Hosts < 1:
		return fieldError("hosts", "must be at least 1")
	}
	if err := n.validateLayout(); err != nil {
		return err
	}
	return n.validateClasses(classes)
}

func checkVolume(volume string) *FieldError {
	if _, err := strconv.ParseUint(volume, 16, 64); err != nil || len(volume) != volumeDigits {
		return fieldError("volume", "must be %d hexadecimal digits", volumeDigits)
	}
	return nil
}

// validateLayout checks the sizes and the shards that hold the blocks.
func (n *Namespace) validateLayout() *FieldError {
	isPowerOfTwo := bits.OnesCount(uint(n.BlockBytes)) == 1
	switch {
	case n.BlockBytes < minBlockBytes || n.BlockBytes > maxBlockBytes || !isPowerOfTwo:
		return fieldError("block_bytes", "must be a power of two from %d to %d", minBlockBytes, maxBlockBytes)
	case n.Blocks == 0 || n.Blocks > maxBlocks:
		return fieldError("blocks", "must be from 1 to 2^48")
	case n.StripeBlocks == 0:
		return fieldError("stripe_blocks", "must be at least 1")
	case n.UnitBlocks == 0:
		return fieldError("unit_blocks", "must be at least 1")
	case len(n.Shards) == 0:
		return fieldError("shards", "at least one is required")
	}
	for i, shard := range n.Shards {
		if shard < 0 {
			return fieldError(fmt.Sprintf("shards[%d]", i), "must not be negative")
		}
	}
	return nil
}

func (n *Namespace) validateClasses(classes map[string]bool) *FieldError {
	names := []struct{ field, class string }{{"read", n.Read}, {"write", n.Write}}
	if n.Bulk != "" {
		if n.BulkBlocks == 0 {
			return fieldError("bulk_blocks", "must be at least 1 if bulk is set")
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
