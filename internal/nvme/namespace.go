package nvme

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"dapplegate/scheduler"
)

// Namespace describes a namespace and how its reads and writes map to requests: to a volume with its plan, to the shard that
// holds the blocks, and to a class. The fields must be valid, which the package config checks.
type Namespace struct {
	ID         uint32
	Volume     string // 16 hexadecimal digits; also the namespace's EUI-64
	Plan       string // of the volume
	Initiators int    // number of initiators that carry requests of this volume
	BlockBytes int    // logical block size, a power of two
	Blocks     uint64 // size of the namespace in blocks

	StripeBlocks uint64 // size of an extent in blocks; extents are assigned to the shards round-robin
	Shards       []int
	UnitBlocks   uint32 // number of blocks that count as one unit

	ReadClass  string
	WriteClass string
	BulkClass  string // class of reads of BulkBlocks blocks or more; empty: ReadClass
	BulkBlocks uint32
}

// schedulerRequest returns the scheduler's request for a read or write. A command that spans several extents is not split: it
// goes to the shard of its first extent, and all of it counts for that extent.
func (n *Namespace) schedulerRequest(request *IORequest) scheduler.Request {
	extent := request.StartLBA / n.StripeBlocks
	return scheduler.Request{
		Class:      n.class(request),
		Plan:       n.Plan,
		Volume:     n.Volume,
		Initiators: n.Initiators,
		Extent:     fmt.Sprintf("%s/%x", n.Volume, extent),
		Shard:      n.Shards[extent%uint64(len(n.Shards))],
		Units:      float64((request.Blocks + n.UnitBlocks - 1) / n.UnitBlocks),
	}
}

func (n *Namespace) class(request *IORequest) string {
	switch {
	case request.Write:
		return n.WriteClass
	case n.BulkClass != "" && request.Blocks >= n.BulkBlocks:
		return n.BulkClass
	}
	return n.ReadClass
}

// eui64 returns the namespace's EUI-64, most significant byte first.
func (n *Namespace) eui64() []byte {
	id, _ := strconv.ParseUint(n.Volume, 16, 64)
	return binary.BigEndian.AppendUint64(nil, id)
}
