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
	"dapplegate/internal/memorybudget"
	"dapplegate/scheduler"
)

const (
	// maxBodyBytes limits the body of a response. Responses may be much larger than requests.
	maxBodyBytes = 1 << 20
	// maxHeadBytes limits the head of a response, and the framing of a chunked body.
	maxHeadBytes = 16 << 10
	// maxInformational is how many 1xx responses may precede the final response.
	maxInformational = 8
	// maxVolumeUsage limits a usage report, in percent. A report of this value or more is ignored.
	maxVolumeUsage = 1e6
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 4096
	// stallTimeout is how long a read may take once the response has begun. A response that stops midway thus fails long
	// before the attempt's deadline. The value is far above the delays of a busy initiator.
	stallTimeout = 250 * time.Millisecond
)

var (
	errBodyTooLarge         = errors.New("response body is too large")
	errMemoryBudget         = errors.New("response bodies exceed the memory budget")
	errTooManyInformational = errors.New("too many 1xx responses")
	errExceedsLength        = errors.New("response is longer than its Content-Length")
)

// response is a complete response of a target.
type response struct {
	statusCode  int
	statusLine  string                // without its line end
	hasLength   bool                  // Content-Length, and nothing else, tells where the body ends
	notStarted  bool                  // the target states that it never started the attempt
	loadReport  *scheduler.LoadReport // nil if the response has none
	volumeUsage int                   // see scheduler.AttemptEnded
	body        []byte
	closeAfter  bool // the target closes the connection after the response, so it must not be reused
}

// attemptResult converts the response to the result of its attempt.
func (r *response) attemptResult() dispatcher.AttemptResult {
	return dispatcher.AttemptResult{
		Status:      r.status(),
		LoadReport:  r.loadReport,
		VolumeUsage: r.volumeUsage,
		Payload:     r.body,
	}
}

// status returns the status of the attempt. The header Not-Started is honored only with the two status codes for which the
// protocol defines it: with any other code the attempt may have executed.
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

// responseReader reads one response. It enforces the attempt's deadline and the limits on size and memory.
type responseReader struct {
	stream *stallReader
	limit  *io.LimitedReader // limits how many bytes of the head or body may still be read from the connection
	buffer *bufio.Reader
	budget *memorybudget.Budget
}

func newResponseReader(conn deadlineReader, deadline time.Time, budget *memorybudget.Budget) *responseReader {
	stream := &stallReader{deadlineReader: conn, deadline: deadline}
	limit := &io.LimitedReader{R: stream}
	return &responseReader{
		stream: stream,
		limit:  limit,
		buffer: bufio.NewReaderSize(limit, readBufferBytes),
		budget: budget,
	}
}

// read reads the complete response to a request of the given method. failureResult converts its error to a RoundTripResult.
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
		statusLine:  head.Proto + " " + head.Status,
		hasLength:   head.ContentLength >= 0,
		notStarted:  head.Header.Get("Not-Started") == "1",
		loadReport:  parseLoadReport(head.Header.Get("Server-Load")),
		volumeUsage: parseVolumeUsage(head.Header.Get("Volume-Load")),
		body:        body,
		closeAfter:  head.Close,
	}, nil
}

// readFinalHead skips informational responses and returns the head of the final one.
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

// awaitHead waits for the first byte of a head, until the attempt's deadline. From then on the stall timeout applies, and
// the head is limited to maxHeadBytes, since an endless head would take unlimited memory.
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

// readBody reads the body. While it does, the size of the body is taken from the memory budget; a body of unknown length
// takes the largest size. A body that is neither chunked nor has a length ends when the target closes the connection; a
// reset instead of a close fails the read.
func (r *responseReader) readBody(head *http.Response) ([]byte, error) {
	if head.ContentLength > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	r.limit.N = maxBodyBytes + maxHeadBytes
	reserved := head.ContentLength
	if reserved < 0 {
		reserved = maxBodyBytes
	}
	if !r.budget.Acquire(reserved) {
		return nil, errMemoryBudget
	}
	defer r.budget.Release(reserved)

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

// checkExtraData checks the data that has been received behind a response. It returns errExceedsLength if that may be the rest
// of the body: a target that states too short a length would otherwise have its truncated response served as a whole one. A
// second copy of the response is the only data that proves the length to be right, and it is recognized by its status line.
// Data behind a response without a length says nothing about that response.
func (r *responseReader) checkExtraData(resp *response) error {
	if !resp.hasLength {
		return nil
	}
	r.limit.N = maxHeadBytes
	for length := 1; length <= len(resp.statusLine); length++ {
		received, err := r.buffer.Peek(length)
		if err != nil || received[length-1] != resp.statusLine[length-1] {
			return errExceedsLength
		}
	}
	return nil
}

// failureResult returns the result of an attempt whose response could not be read. The attempt may have executed. The status
// is DeadlineExceeded only if the attempt's deadline passed, and Cancelled if the memory budget was exhausted, which says
// nothing about the target. It is ConnectionReset for every other cause: the connection was reset or closed early, or the
// response stalled, was malformed or was too large. The CloseReason distinguishes these causes.
func (r *responseReader) failureResult(err error) RoundTripResult {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && r.stream.started && time.Now().Before(r.stream.deadline):
		return NoResponse(scheduler.ConnectionReset, ReasonReadStalled)
	case timedOut:
		return NoResponse(scheduler.DeadlineExceeded, ReadErrorReason(err))
	case errors.Is(err, errMemoryBudget):
		return NoResponse(scheduler.Cancelled, ReadErrorReason(err))
	case errors.Is(err, errExceedsLength):
		return NoResponse(scheduler.ConnectionReset, ReasonExceedsLength)
	case errors.Is(err, errBodyTooLarge), r.limit.N <= 0:
		return NoResponse(scheduler.ConnectionReset, ReasonResponseTooLarge)
	}
	return NoResponse(scheduler.ConnectionReset, ReadErrorReason(err))
}

// deadlineReader is the part of a net.Conn that is needed to read a response.
type deadlineReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// stallReader applies the stall timeout, and the attempt's deadline, to each read of a response that has begun.
type stallReader struct {
	deadlineReader
	deadline time.Time // the attempt's deadline
	started  bool      // the first byte of the response has arrived
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

// parseVolumeUsage parses a usage report in percent. It returns the percentage plus one, or 0 if there is no valid report.
func parseVolumeUsage(header string) int {
	percent, err := strconv.Atoi(header)
	if err != nil || percent < 0 || percent >= maxVolumeUsage {
		return 0
	}
	return percent + 1
}
