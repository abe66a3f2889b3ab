package main

import (
	"log/slog"

	"dapplegate/internal/config"
	"dapplegate/internal/nvme"
)

// nvmeHostOptions returns the options for connections to targets, on which this initiator is the NVMe host.
func nvmeHostOptions(settings *config.NVMe) nvme.HostOptions {
	return nvme.HostOptions{
		Subsystem:        settings.TargetSubsystem,
		HostNQN:          settings.HostNQN,
		HostID:           settings.HostIdentifier(),
		KeepAliveTimeout: settings.KeepAliveTimeout(),
		Digests:          settings.Digests,
	}
}

// nvmeServerOptions returns the options for connections from the clients' hosts, to which this initiator is the NVMe
// controller.
func nvmeServerOptions(cfg *config.Config, settings *config.NVMe, log *slog.Logger) nvme.ServerOptions {
	namespaces := make([]nvme.Namespace, 0, len(settings.Namespaces))
	for i := range settings.Namespaces {
		namespaces = append(namespaces, nvmeNamespace(&settings.Namespaces[i]))
	}
	return nvme.ServerOptions{
		Subsystem:        settings.Subsystem,
		Namespaces:       namespaces,
		QueueDepth:       settings.QueueDepth,
		MaxConns:         cfg.MaxClientConns(),
		MaxBufferedBytes: cfg.MaxBufferedBytes(),
		ClassDeadlines:   cfg.ClassDeadlines(),
		Logger:           log,
	}
}

// nvmeNamespace converts a namespace of the operator's file to one of the NVMe server.
func nvmeNamespace(namespace *config.Namespace) nvme.Namespace {
	return nvme.Namespace{
		ID:           namespace.ID,
		Volume:       namespace.Volume,
		Plan:         namespace.Plan,
		Initiators:   namespace.Hosts,
		BlockBytes:   namespace.BlockBytes,
		Blocks:       namespace.Blocks,
		StripeBlocks: namespace.StripeBlocks,
		Shards:       namespace.Shards,
		UnitBlocks:   namespace.UnitBlocks,
		ReadClass:    namespace.Read,
		WriteClass:   namespace.Write,
		BulkClass:    namespace.Bulk,
		BulkBlocks:   namespace.BulkBlocks,
	}
}
