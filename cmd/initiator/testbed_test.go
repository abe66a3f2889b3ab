package main

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dapplegate/internal/config"
)

const (
	// waitTimeout bounds each wait of a test. It is long enough for a busy machine.
	waitTimeout = time.Minute
	// initiatorName is the initiator's name in the testbed's configuration.
	initiatorName = "n1"
	// targetBody is the body of the responses of the testbed's target.
	targetBody = "from the target"

	testSettings = `{"peersTotal":1,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":5000000,"deadlineUs":20000000,
 "effect":"pure","worth":3}],"contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],
 "extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}`
)

var discardLog = slog.New(slog.DiscardHandler)

// testbed is the environment of an initiator under test: a target, a discovery service that lists the target, and a client.
type testbed struct {
	listen           string // the initiator's listen address
	discoveryAddr    string
	discoveryHandler http.Handler
	lastRequestID    atomic.Int64

	blocking atomic.Bool   // the target holds requests until released is closed
	received chan struct{} // gets a value for each request that the target holds
	released chan struct{}
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{listen: freeAddr(t), received: make(chan struct{}, 1), released: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(b.serveTarget))
	t.Cleanup(target.Close)
	b.discoveryHandler = discoveryHandler(strings.TrimPrefix(target.URL, "http://"))
	discovery := httptest.NewServer(b.discoveryHandler)
	t.Cleanup(discovery.Close)
	b.discoveryAddr = strings.TrimPrefix(discovery.URL, "http://")
	return b
}

func (b *testbed) serveTarget(w http.ResponseWriter, _ *http.Request) {
	if b.blocking.Load() {
		b.received <- struct{}{}
		<-b.released
	}
	_, _ = io.WriteString(w, targetBody)
}

// discoveryHandler responds with an endpoint list of one serving target. It does not answer a poll for changes.
func discoveryHandler(targetAddr string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`, targetAddr)
	})
}

// config returns the text of the testbed's configuration file.
func (b *testbed) config() string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"settings":%s}`, initiatorName, b.listen, b.discoveryAddr, testSettings)
}

// request sends one request on a new connection and returns the status and body of the response. If there was no response,
// it returns status 0 and the text of the error.
func (b *testbed) request() (status int, text string) {
	conn, err := net.Dial("tcp", b.listen)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = conn.Close() }()
	// A write error is not final, because the server may already have responded and closed the connection.
	_, _ = fmt.Fprintf(conn, "GET /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nRequest-Id: i%d\r\nTier: base\r\n"+
		"Request-Timeout-Ms: 20000\r\nIO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n", b.lastRequestID.Add(1))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// waitUntilServed sends requests until one is served.
func (b *testbed) waitUntilServed(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		status, body := b.request()
		if status == http.StatusOK && body == targetBody {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not served within %v: %d %q", waitTimeout, status, body)
		}
	}
}

// environment returns a getenv function for the given variables; all others are unset.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// freeAddr returns a loopback address that no socket listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// mustLoad writes and loads the testbed's configuration and, unless operatorText is empty, an operator's file with that
// text.
func (b *testbed) mustLoad(t *testing.T, operatorText string) (*config.Config, *config.OperatorFile) {
	t.Helper()
	dir := t.TempDir()
	configFile := filepath.Join(dir, "config.json")
	writeFile(t, configFile, b.config())
	operatorFile := ""
	if operatorText != "" {
		operatorFile = filepath.Join(dir, "operator.toml")
		writeFile(t, operatorFile, operatorText)
	}
	cfg, operator, err := loadConfig(environment(map[string]string{"PROXY_CONFIG": configFile}), operatorFile)
	if err != nil {
		t.Fatal(err)
	}
	return cfg, operator
}
