package main

import (
	"log/slog"

	"dapplegate/internal/config"
	"dapplegate/internal/nvme"
)

// nvmeHostOptions returns the options of the host side: this initiator towards its targets.
func nvmeHostOptions(settings *config.NVMe) nvme.HostOptions {
	return nvme.HostOptions{
		Subsystem:        settings.TargetSubsystem,
		HostNQN:          settings.HostNQN,
		HostID:           settings.HostIdentifier(),
		KeepAliveTimeout: settings.KeepAliveTimeout(),
		Digests:          settings.Digests,
	}
}

// nvmeServerOptions returns the options of the controller side: this initiator towards its clients' hosts.
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

func nvmeNamespace(n *config.Namespace) nvme.Namespace {
	return nvme.Namespace{
		ID:           n.ID,
		Volume:       n.Volume,
		Plan:         n.Plan,
		Initiators:   n.Hosts,
		BlockBytes:   n.BlockBytes,
		Blocks:       n.Blocks,
		StripeBlocks: n.StripeBlocks,
		Shards:       n.Shards,
		UnitBlocks:   n.UnitBlocks,
		ReadClass:    n.Read,
		WriteClass:   n.Write,
		BulkClass:    n.Bulk,
		BulkBlocks:   n.BulkBlocks,
	}
}
