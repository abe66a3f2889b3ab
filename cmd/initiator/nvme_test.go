package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dapplegate/internal/config"
)

// TestNVMeOptions converts the operator's file under deploy/ to the options of both sides of NVMe over TCP: every field of
// the file must arrive where it takes effect.
func TestNVMeOptions(t *testing.T) {
	cfg, err := config.Parse([]byte(newWorld(t).config()), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile("../../deploy/nvme.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The configuration of this test has one plan and one class.
	names := strings.NewReplacer("standard", "base", "event-write", "position-read", "history-export", "position-read")
	text := names.Replace(string(raw))
	path := filepath.Join(t.TempDir(), "nvme.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	operator, err := config.ReadOperator(path, cfg)
	if err != nil {
		t.Fatal(err)
	}

	server := nvmeServerOptions(cfg, operator.NVMe, quiet)
	if len(server.Namespaces) != 1 || server.ClassDeadlines["position-read"] != 20*time.Second ||
		server.QueueDepth != 64 || server.MaxConns != cfg.MaxClientConns() || server.MaxHeldBytes != 48<<20 {
		t.Errorf("controller side: %+v", server)
	}
	namespace := server.Namespaces[0]
	if namespace.ID != 1 || namespace.Volume != "00000003b4d60021" || namespace.Plan != "base" || namespace.Initiators != 1 ||
		namespace.BlockBytes != 512 || namespace.Blocks != 2097152 || namespace.StripeBlocks != 2048 ||
		len(namespace.Shards) != 4 || namespace.UnitBlocks != 16 || namespace.ReadClass != "position-read" ||
		namespace.WriteClass != "position-read" || namespace.BulkClass != "position-read" || namespace.BulkBlocks != 64 {
		t.Errorf("namespace: %+v", namespace)
	}

	host := nvmeHostOptions(operator.NVMe)
	if host.HostID[0] != 0x5f || host.KeepAliveTimeout != 5*time.Second || host.Digests ||
		!strings.HasSuffix(host.Subsystem, ":target") || !strings.HasSuffix(host.HostNQN, ":initiator") {
		t.Errorf("host side: %+v", host)
	}
}
