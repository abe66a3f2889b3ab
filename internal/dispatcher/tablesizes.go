package dispatcher

import (
	"context"
	"log/slog"
)

// eventTableSizes is the log event of LogTableSizes.
const eventTableSizes = "table sizes"

// LogTableSizes logs the number of entries in each table of the dispatcher and its scheduler, at info level. Together with
// the memory use of the process, they show which input makes it grow.
func (d *Dispatcher) LogTableSizes() { d.inbox.Put(tableSizesRequested{}) }

// logTableSizes carries out LogTableSizes, for a batch with the given number of messages.
func (d *Dispatcher) logTableSizes(messages int) {
	sizes := d.scheduler.TableSizes()
	d.options.Logger.LogAttrs(context.Background(), slog.LevelInfo, eventTableSizes,
		slog.Int("messages", messages),
		slog.Int64("open_calls", d.openCalls.Load()),
		slog.Int("reserved_ids", d.clientRequestIDs.len()),
		slog.Int("requests", sizes.Requests),
		slog.Int("given_up", sizes.GivenUp),
		slog.Int("volumes", sizes.Volumes),
		slog.Int("flows", sizes.Flows),
		slog.Int("serial_queues", sizes.SerialQueues))
}
