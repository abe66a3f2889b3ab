package faulttest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// hugeBodyBytes is the declared and the sent length of a body that no initiator accepts.
	hugeBodyBytes = 60_000_000
	// writeBytes is the size of one write of a bad client that sends at full speed.
	writeBytes = 256 << 10
	// badClientPatience is how long a bad client keeps a connection at most.
	badClientPatience = 6 * time.Second
	// manyFields is how many short fields fit into a head.
	manyFields = 1900
	// longFieldCount and longFieldBytes are the number and the length of fields that fill a head and are all accepted.
	longFieldCount = 90
	longFieldBytes = 165
	// maxShard is the number of shards that an initiator accepts.
	maxShard = 1_000_000
	// slowInterval is the time between two writes of a client that writes slowly, and slowBytes the size of each.
	slowInterval = 20 * time.Millisecond
	slowBytes    = 400
	// pipelineBatch is the number of requests that a pipelining bad client encodes at a time.
	pipelineBatch = 200
	// burstLength is the number of requests that a client sends at once before it leaves.
	burstLength = 400
)

// badClients describes bad clients that a process of their own plays, so that they do not delay the clients and targets of the
// test process.
type badClients struct {
	Kind     string // a key of badClientKinds
	Clients  int    // number of clients, each with one connection at a time
	Addr     string // of the initiator
	Duration time.Duration
}

// badClientsVariable makes the test binary play the bad clients that it describes in JSON.
const badClientsVariable = "FAULTTEST_BAD_CLIENTS"

// badClientKinds are the kinds of bad clients. Each function plays one connection of a client.
var badClientKinds = map[string]func(c *badClient, conn net.Conn){
	"huge bodies":               (*badClient).sendHugeBody,
	"slow heads":                (*badClient).sendSlowHead,
	"slow bodies":               (*badClient).sendSlowBody,
	"half bodies":               (*badClient).sendHalfBody,
	"many fields":               (*badClient).sendManyFields,
	"many fields, half":         (*badClient).sendManyFieldsWithoutEnd,
	"many fields, malformed":    (*badClient).sendManyFieldsMalformed,
	"long fields, half":         (*badClient).sendLongFieldsWithoutEnd,
	"long fields, in flight":    (*badClient).sendLongFields,
	"pipelined":                 (*badClient).pipelineHopeless,
	"pipelined, new shards":     (*badClient).pipelineNewShards,
	"pipelined, new volumes":    (*badClient).pipelineNewVolumes,
	"pipelined, new objects":    (*badClient).pipelineNewObjects,
	"pipelined, patient":        (*badClient).pipelinePatient,
	"pipelined readiness":       (*badClient).pipelineReadiness,
	"malformed, reconnecting":   (*badClient).sendMalformedHead,
	"burst and close":           (*badClient).sendBurstAndClose,
	"half requests and close":   (*badClient).sendHalfAndClose,
	"new names, reconnecting":   (*badClient).sendNewName,
	"connections without bytes": (*badClient).sendNothing,
}

// badClient is one bad client.
type badClient struct {
	number int
	end    time.Time     // when it stops
	sent   *atomic.Int64 // requests of all bad clients
}

// start starts the process that plays the bad clients. The returned function waits for its end and returns its report.
func (b badClients) start(t *testing.T) (wait func() string) {
	t.Helper()
	parameters, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	var output strings.Builder
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), badClientsVariable+"="+string(parameters))
	cmd.Stdout = &output
	cmd.Stderr = &output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() string {
		if err := cmd.Wait(); err != nil {
			t.Errorf("the bad clients failed: %v: %s", err, output.String())
		}
		return strings.TrimSpace(output.String())
	}
}

// playBadClients plays the bad clients that the parameters describe, and prints how many requests they sent.
func playBadClients(parameters string) error {
	var b badClients
	if err := json.Unmarshal([]byte(parameters), &b); err != nil {
		return err
	}
	play, known := badClientKinds[b.Kind]
	if !known {
		return fmt.Errorf("unknown kind of bad clients: %q", b.Kind)
	}
	var sent, connections atomic.Int64
	var running sync.WaitGroup
	end := time.Now().Add(b.Duration)
	for number := range b.Clients {
		running.Go(func() {
			c := &badClient{number: number, end: end, sent: &sent}
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", b.Addr, dialTimeout)
				if err != nil {
					time.Sleep(floodRedialDelay)
					continue
				}
				connections.Add(1)
				_ = conn.SetDeadline(earlier(end, time.Now().Add(badClientPatience)))
				play(c, conn)
				_ = conn.Close() // nothing that a bad client gets is checked
			}
		})
	}
	running.Wait()
	fmt.Printf("bad clients sent %d requests on %d connections", sent.Load(), connections.Load())
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextID returns an ID for a request that no other has.
func (c *badClient) nextID() string {
	return fmt.Sprintf("bad-%d-%d", c.number, c.sent.Add(1))
}

// head returns the head of a request without the empty line at its end. A length of 0 makes it a read.
func (c *badClient) head(timeout time.Duration, bodyLength int) string {
	method, length := "GET", ""
	if bodyLength > 0 {
		method, length = "PUT", fmt.Sprintf("Content-Length: %d\r\n", bodyLength)
	}
	return fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: std\r\n%s%s"+
		"IO-Info: volume=%016x,units=1,shard=0,hosts=1\r\n",
		method, longDeadlineClass.Name, c.number, c.nextID(), timeoutHeader(timeout), length, c.number)
}

// readOf returns a read of a volume and a shard, with little time left.
func (c *badClient) readOf(volume, shard int64) string {
	return fmt.Sprintf("GET /%s/%016x HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: std\r\n%s"+
		"IO-Info: volume=%016x,units=1,shard=%d,hosts=1\r\n\r\n",
		longDeadlineClass.Name, volume, c.nextID(), timeoutHeader(hopelessTimeout), volume, shard)
}

// longFields returns as many fields as an initiator accepts, which fill a head.
func longFields() string {
	var text strings.Builder
	for i := range longFieldCount {
		fmt.Fprintf(&text, "%x: %s\r\n", i, strings.Repeat("v", longFieldBytes))
	}
	return text.String()
}

// shortFields returns manyFields short fields with different names.
func shortFields() string {
	var text strings.Builder
	for i := range manyFields {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// discardResponses reads what the client is sent until the connection ends. done is closed then.
func discardResponses(conn net.Conn) (done <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	}()
	return ended
}

// sendAndWait sends text and waits until the initiator closes the connection.
func sendAndWait(conn net.Conn, text string) {
	ended := discardResponses(conn)
	_, _ = io.WriteString(conn, text) // the initiator may close the connection
	<-ended
}

// sendAndReadResponse sends a request and reads one response.
func sendAndReadResponse(conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// sendSlowly sends text in small parts with pauses.
func sendSlowly(conn net.Conn, text string) {
	_ = discardResponses(conn)
	for len(text) > 0 {
		part := text[:min(slowBytes, len(text))]
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		text = text[len(part):]
		time.Sleep(slowInterval)
	}
}

func (c *badClient) sendHugeBody(conn net.Conn) {
	ended := discardResponses(conn)
	if _, err := io.WriteString(conn, c.head(patientTimeout, hugeBodyBytes)+"\r\n"); err != nil {
		return
	}
	part := make([]byte, writeBytes)
	for sent := 0; sent < hugeBodyBytes; {
		n, err := conn.Write(part[:min(writeBytes, hugeBodyBytes-sent)])
		if err != nil {
			return
		}
		sent += n
	}
	<-ended
}

func (c *badClient) sendSlowHead(conn net.Conn) {
	sendSlowly(conn, c.head(patientTimeout, 0)+shortFields()+"\r\n")
}

func (c *badClient) sendSlowBody(conn net.Conn) {
	sendSlowly(conn, c.head(patientTimeout, maxBodyBytes)+"\r\n"+strings.Repeat("b", maxBodyBytes))
}

func (c *badClient) sendHalfBody(conn net.Conn) {
	sendAndWait(conn, c.head(patientTimeout, maxBodyBytes)+"\r\n"+strings.Repeat("b", maxBodyBytes/2))
}

func (c *badClient) sendManyFields(conn net.Conn) {
	sendAndReadResponse(conn, c.head(patientTimeout, 0)+shortFields()+"\r\n")
}

func (c *badClient) sendManyFieldsWithoutEnd(conn net.Conn) {
	sendAndWait(conn, c.head(patientTimeout, 0)+shortFields())
}

func (c *badClient) sendManyFieldsMalformed(conn net.Conn) {
	sendAndReadResponse(conn, c.head(patientTimeout, hugeBodyBytes)+shortFields()+"\r\n")
}

func (c *badClient) sendLongFieldsWithoutEnd(conn net.Conn) {
	sendAndWait(conn, c.head(patientTimeout, 0)+longFields())
}

func (c *badClient) sendLongFields(conn net.Conn) {
	sendAndReadResponse(conn, c.head(patientTimeout, 0)+longFields()+"\r\n")
}

func (c *badClient) pipelineNewShards(conn net.Conn) {
	c.sendAll(conn, func() string { return c.readOf(int64(c.number), c.sent.Load()%maxShard) })
}

func (c *badClient) pipelineNewVolumes(conn net.Conn) {
	c.sendAll(conn, func() string { return c.readOf(c.sent.Load(), 0) })
}

func (c *badClient) pipelineNewObjects(conn net.Conn) {
	c.sendAll(conn, func() string { return c.readOf(int64(c.number), -1) })
}

func (c *badClient) pipelineHopeless(conn net.Conn) { c.pipeline(conn, hopelessTimeout) }

func (c *badClient) pipelinePatient(conn net.Conn) { c.pipeline(conn, patientTimeout) }

// pipeline sends valid requests without a pause, and reads the responses.
func (c *badClient) pipeline(conn net.Conn, timeout time.Duration) {
	c.sendAll(conn, func() string { return c.head(timeout, 0) + "\r\n" })
}

func (c *badClient) pipelineReadiness(conn net.Conn) {
	c.sendAll(conn, func() string {
		c.sent.Add(1)
		return "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
	})
}

// sendAll sends requests without a pause until the connection ends, and reads the responses.
func (c *badClient) sendAll(conn net.Conn, next func() string) {
	_ = discardResponses(conn)
	for {
		var batch strings.Builder
		for range pipelineBatch {
			batch.WriteString(next())
		}
		if _, err := io.WriteString(conn, batch.String()); err != nil {
			return
		}
	}
}

func (c *badClient) sendMalformedHead(conn net.Conn) {
	c.sent.Add(1)
	sendAndReadResponse(conn, "GET /nothing/0000000000000007 HTTP/1.1\r\nHost: a\r\n\r\n")
}

// sendBurstAndClose sends many requests at once and closes the connection without reading.
func (c *badClient) sendBurstAndClose(conn net.Conn) {
	var burst strings.Builder
	for range burstLength {
		burst.WriteString(c.head(patientTimeout, 0) + "\r\n")
	}
	_ = conn.SetDeadline(time.Now().Add(slowInterval))
	_, _ = io.WriteString(conn, burst.String())
}

func (c *badClient) sendHalfAndClose(conn net.Conn) {
	_, _ = io.WriteString(conn, c.head(patientTimeout, maxBodyBytes)+"\r\n"+strings.Repeat("b", maxBodyBytes/2))
}

// sendNewName sends a request of a class that does not exist, with a name that never comes again.
func (c *badClient) sendNewName(conn net.Conn) {
	id := c.nextID()
	sendAndReadResponse(conn, fmt.Sprintf("GET /%s/%016x HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: %s\r\n%s"+
		"IO-Info: volume=%016x,units=1,shard=0,hosts=1\r\n\r\n", id, c.number, id, id, timeoutHeader(patientTimeout), c.sent.Load()))
}

func (c *badClient) sendNothing(conn net.Conn) { sendAndWait(conn, "") }
