package main

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"time"
)

const (
	// memoryCheckInterval is how often the memory use is checked, and the minimum time between two log lines about it.
	memoryCheckInterval = time.Second
	// highMemoryPercent is the memory use, as a percentage of the memory granted to the process, from which it is logged.
	highMemoryPercent = 50
)

// The metrics of the Go runtime that are logged. Memory that has been returned to the operating system counts in the total
// as well.
const (
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricObjects    = "/memory/classes/heap/objects:bytes"
	metricLive       = "/gc/heap/live:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// memoryUse is the memory use of the Go runtime, in bytes.
type memoryUse struct {
	Used       uint64 // taken from the operating system and not returned
	Objects    uint64 // heap objects, including those that are no longer reachable
	Live       uint64 // heap objects that the last garbage collection found reachable
	Stacks     uint64
	Goroutines uint64
}

func readMemoryUse() memoryUse {
	samples := []metrics.Sample{{Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}, {Name: metricLive},
		{Name: metricStacks}, {Name: metricGoroutines}}
	metrics.Read(samples)
	value := func(i int) uint64 { return samples[i].Value.Uint64() }
	return memoryUse{Used: value(0) - value(1), Objects: value(2), Live: value(3), Stacks: value(4), Goroutines: value(5)}
}

// watchMemory logs the memory use, and the sizes of the tables that may cause it, as long as the use is high. It returns when
// ctx is done.
func (in *initiator) watchMemory(ctx context.Context) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	limit := uint64(in.config.Limits.MemoryMiB) << 20
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if use := readMemoryUse(); use.Used*100 >= limit*highMemoryPercent {
			in.logHighMemory(use, limit)
		}
	}
}

func (in *initiator) logHighMemory(use memoryUse, limit uint64) {
	in.log.Info("memory use is high",
		slog.Uint64("used", use.Used),
		slog.Uint64("limit", limit),
		slog.Uint64("heap_objects", use.Objects),
		slog.Uint64("heap_live", use.Live),
		slog.Uint64("stacks", use.Stacks),
		slog.Uint64("goroutines", use.Goroutines))
	in.dispatcher.LogTableSizes()
}
