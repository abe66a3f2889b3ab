package nvme

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"dapplegate/scheduler"
)

// Namespace maps the reads and writes of one namespace to requests: the volume and plan that they count for, the shard that
// holds their blocks, and their class. Its fields must be valid: config checks them.
type Namespace struct {
	ID         uint32
	Volume     string // 16 hexadecimal digits; also the namespace's EUI-64
	Plan       string
	Initiators int // that carry the volume
	BlockBytes int // logical block size, a power of two
	Blocks     uint64

	StripeBlocks uint64 // size of an extent; extents lie on the shards in turn
	Shards       []int
	UnitBlocks   uint32 // blocks that count as one unit

	ReadClass  string
	WriteClass string
	BulkClass  string // of reads of BulkBlocks or more; empty: ReadClass
	BulkBlocks uint32
}

// request returns the scheduler's request for a command. A command that spans extents is not split: all of it goes to the
// shard of its first extent, and counts for that extent.
func (n *Namespace) request(io *IORequest) scheduler.Request {
	extent := io.StartLBA / n.StripeBlocks
	return scheduler.Request{
		Class:      n.class(io),
		Plan:       n.Plan,
		Volume:     n.Volume,
		Initiators: n.Initiators,
		Extent:     fmt.Sprintf("%s/%x", n.Volume, extent),
		Shard:      n.Shards[extent%uint64(len(n.Shards))],
		Units:      float64((io.Blocks + n.UnitBlocks - 1) / n.UnitBlocks),
	}
}

func (n *Namespace) class(io *IORequest) string {
	switch {
	case io.Write:
		return n.WriteClass
	case n.BulkClass != "" && io.Blocks >= n.BulkBlocks:
		return n.BulkClass
	}
	return n.ReadClass
}

// eui64 returns the namespace's EUI-64, most significant byte first.
func (n *Namespace) eui64() []byte {
	id, _ := strconv.ParseUint(n.Volume, 16, 64)
	return binary.BigEndian.AppendUint64(nil, id)
}
