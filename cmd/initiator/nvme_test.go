package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// nvmeAddr is the listen address in deploy/nvme.toml.
const nvmeAddr = "127.0.0.1:4420"

// nvmeOperatorText returns the text of deploy/nvme.toml with its plan and classes replaced by those of the testbed.
func nvmeOperatorText(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/nvme.toml")
	if err != nil {
		t.Fatal(err)
	}
	replacer := strings.NewReplacer("standard", "base", "event-write", "position-read", "history-export", "position-read")
	return replacer.Replace(string(raw))
}

// TestNVMeOptions converts the operator's file deploy/nvme.toml to the options of both sides of NVMe over TCP. Every field
// of the file must reach the option that it sets.
func TestNVMeOptions(t *testing.T) {
	cfg, operator := newTestbed(t).mustLoad(t, nvmeOperatorText(t))
	server := nvmeServerOptions(cfg, operator.NVMe, discardLog)
	if len(server.Namespaces) != 1 || server.ClassDeadlines["position-read"] != 20*time.Second ||
		server.QueueDepth != 64 || server.MaxConns != cfg.MaxClientConns() || server.MaxBufferedBytes != 48<<20 {
		t.Errorf("options of the controller side: %+v", server)
	}
	namespace := server.Namespaces[0]
	if namespace.ID != 1 || namespace.Volume != "00000003b4d60021" || namespace.Plan != "base" || namespace.Initiators != 1 ||
		namespace.BlockBytes != 512 || namespace.Blocks != 2097152 || namespace.StripeBlocks != 2048 ||
		len(namespace.Shards) != 4 || namespace.UnitBlocks != 16 || namespace.ReadClass != "position-read" ||
		namespace.WriteClass != "position-read" || namespace.BulkClass != "position-read" || namespace.BulkBlocks != 64 {
		t.Errorf("options of the namespace: %+v", namespace)
	}

	host := nvmeHostOptions(operator.NVMe)
	if host.HostID[0] != 0x5f || host.KeepAliveTimeout != 5*time.Second || host.Digests ||
		!strings.HasSuffix(host.Subsystem, ":target") || !strings.HasSuffix(host.HostNQN, ":initiator") {
		t.Errorf("options of the host side: %+v", host)
	}
}

// waitUntilReady waits until the readiness check succeeds.
func (b *testbed) waitUntilReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + b.listen + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("not ready within %v: %+v, %v", waitTimeout, response, err)
		}
	}
}

// TestServeNVMe runs an initiator with an operator's file. At the address in that file, NVMe over TCP answers a host's
// connection request. At the platform's address, HTTP answers only readiness checks.
func TestServeNVMe(t *testing.T) {
	const (
		icReq      = 0 // PDU types: Initialize Connection Request and Response
		icResp     = 1
		icPDUBytes = 128
	)
	b := newTestbed(t)
	addr := freeAddr(t)
	cfg, operator := b.mustLoad(t, strings.ReplaceAll(nvmeOperatorText(t), nvmeAddr, addr))
	ctx, stop := context.WithCancel(context.Background())
	listening := make(chan struct{})
	ended := make(chan error, 1)
	options := runOptions{shareAddresses: true, onListening: func() { close(listening) }}
	go func() { ended <- serve(ctx, cfg, operator, discardLog, options) }()
	<-listening
	if status, _ := b.request(); status != http.StatusNotFound {
		t.Errorf("a request over HTTP: status %d, want 404", status)
	}
	b.waitUntilReady(t)

	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := make([]byte, icPDUBytes)
	copy(request, []byte{icReq, 0, icPDUBytes, 0, icPDUBytes}) // type, flags, header length, data offset, total length
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	response := make([]byte, icPDUBytes)
	if _, err := io.ReadFull(conn, response); err != nil || response[0] != icResp {
		t.Errorf("the response to the connection request: %x, %v, want an Initialize Connection Response", response[:8], err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
