package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

const (
	// maxBodyBytes bounds the body of a response. Responses may be much larger than requests.
	maxBodyBytes = 1 << 20
	// maxHeadBytes bounds the head of a response, and the framing of a chunked body.
	maxHeadBytes = 16 << 10
	// maxInformational is how many 1xx responses may precede the final one.
	maxInformational = 8
	// maxVolumeUsage bounds a usage report, in percent: a report of this much or more is ignored.
	maxVolumeUsage = 1e6
	// readBufferBytes is the size of the buffer that a response is read through.
	readBufferBytes = 4096
	// stallTimeout is the longest pause between two reads of a response that has begun. It ends the wait for a response that
	// stops midway long before the attempt's deadline, and is far above the delays of a busy initiator.
	stallTimeout = 250 * time.Millisecond
)

var (
	errBodyTooLarge         = errors.New("response body is too large")
	errMemoryBudget         = errors.New("response bodies exceed the memory budget")
	errTooManyInformational = errors.New("too many 1xx responses")
)

// response is a complete response of a target.
type response struct {
	statusCode  int
	notStarted  bool                  // the target says that it never started the attempt
	loadReport  *scheduler.LoadReport // nil: none
	volumeUsage int                   // as in dispatcher.AttemptResult
	body        []byte
	closeAfter  bool // the connection must not be used again
}

// attemptResult is the response as the outcome of its attempt.
func (r *response) attemptResult() dispatcher.AttemptResult {
	return dispatcher.AttemptResult{
		Status:      r.status(),
		LoadReport:  r.loadReport,
		VolumeUsage: r.volumeUsage,
		Payload:     r.body,
	}
}

// status is the outcome of the attempt. The header Not-Started counts only with the two status codes that the protocol
// defines it for: with any other, the attempt may have executed.
func (r *response) status() scheduler.AttemptStatus {
	switch r.statusCode {
	case http.StatusOK:
		return scheduler.Succeeded
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if r.notStarted {
			return scheduler.Rejected
		}
	}
	return scheduler.Errored
}

// responseReader reads one response, within the attempt's deadline and the bounds on size and memory.
type responseReader struct {
	stream *stallReader
	limit  *io.LimitedReader // the bytes that may still be read from the connection for the head or the body
	buffer *bufio.Reader
	budget *memoryBudget
}

func newResponseReader(conn deadlineReader, deadline time.Time, budget *memoryBudget) *responseReader {
	stream := &stallReader{deadlineReader: conn, deadline: deadline}
	limit := &io.LimitedReader{R: stream}
	return &responseReader{
		stream: stream,
		limit:  limit,
		buffer: bufio.NewReaderSize(limit, readBufferBytes),
		budget: budget,
	}
}

// read reads the complete response to a request with the method. Pass its error to failure, which makes it a RoundTripResult.
func (r *responseReader) read(method string) (*response, error) {
	head, err := r.readFinalHead(method)
	if err != nil {
		return nil, err
	}
	body, err := r.readBody(head)
	if err != nil {
		return nil, err
	}
	return &response{
		statusCode:  head.StatusCode,
		notStarted:  head.Header.Get("Not-Started") == "1",
		loadReport:  parseLoadReport(head.Header.Get("Server-Load")),
		volumeUsage: parseVolumeUsage(head.Header.Get("Volume-Load")),
		body:        body,
		closeAfter:  head.Close,
	}, nil
}

// readFinalHead reads heads up to the first that is not informational.
func (r *responseReader) readFinalHead(method string) (*http.Response, error) {
	for informational := 0; informational <= maxInformational; informational++ {
		if err := r.awaitHead(); err != nil {
			return nil, err
		}
		head, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode/100 != 1 || head.StatusCode == http.StatusSwitchingProtocols {
			return head, nil
		}
	}
	return nil, errTooManyInformational
}

// awaitHead waits until the deadline for a head to begin. From then on the stall timeout holds, and the head
// must end within its bound: a head without end would take memory without end.
func (r *responseReader) awaitHead() error {
	r.limit.N = maxHeadBytes
	r.stream.started = false
	if err := r.stream.SetReadDeadline(r.stream.deadline); err != nil {
		return err
	}
	_, err := r.buffer.Peek(1)
	r.stream.started = err == nil
	return err
}

// readBody reads the body. Its memory is taken from the budget while it is read; one whose length is not
// known in advance takes as much as the largest. A body without a length ends with its connection: a reset
// fails the read.
func (r *responseReader) readBody(head *http.Response) ([]byte, error) {
	if head.ContentLength > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	r.limit.N = maxBodyBytes + maxHeadBytes
	reserved := head.ContentLength
	if reserved < 0 {
		reserved = maxBodyBytes
	}
	if !r.budget.acquire(reserved) {
		return nil, errMemoryBudget
	}
	defer r.budget.release(reserved)

	var body bytes.Buffer
	if head.ContentLength > 0 {
		body.Grow(int(head.ContentLength) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(head.Body, maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if n > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	return body.Bytes(), nil
}

// hasExcess reports whether more has arrived than the response.
func (r *responseReader) hasExcess() bool { return r.buffer.Buffered() > 0 }

// failure is the outcome of an attempt whose response could not be read; the attempt may have executed. DeadlineExceeded
// stands for the attempt's deadline alone, Cancelled for an exhausted memory budget, which says nothing about the target.
// ConnectionReset stands for all other causes: besides a connection that was reset or ended early, a stalled, malformed or too
// large response. The CloseReason tells them apart.
func (r *responseReader) failure(err error) RoundTripResult {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && r.stream.started && time.Now().Before(r.stream.deadline):
		return NoResponse(scheduler.ConnectionReset, ReasonReadStalled)
	case timedOut:
		return NoResponse(scheduler.DeadlineExceeded, ReadErrorReason(err))
	case errors.Is(err, errMemoryBudget):
		return NoResponse(scheduler.Cancelled, ReadErrorReason(err))
	case errors.Is(err, errBodyTooLarge), r.limit.N <= 0:
		return NoResponse(scheduler.ConnectionReset, ReasonResponseTooLarge)
	}
	return NoResponse(scheduler.ConnectionReset, ReadErrorReason(err))
}

// deadlineReader is the part of a net.Conn that a response is read from.
type deadlineReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// stallReader bounds each read of a response that has started by the stall timeout, and by the deadline.
type stallReader struct {
	deadlineReader
	deadline time.Time // of the attempt
	started  bool
}

func (s *stallReader) Read(buffer []byte) (int, error) {
	if s.started {
		readBy := time.Now().Add(stallTimeout)
		if s.deadline.Before(readBy) {
			readBy = s.deadline
		}
		if err := s.SetReadDeadline(readBy); err != nil {
			return 0, err
		}
	}
	return s.deadlineReader.Read(buffer)
}

// parseVolumeUsage reads a usage report in percent. The result is a percentage plus one; 0 if there is none
// that can be used.
func parseVolumeUsage(header string) int {
	percent, err := strconv.Atoi(header)
	if err != nil || percent < 0 || percent >= maxVolumeUsage {
		return 0
	}
	return percent + 1
}
