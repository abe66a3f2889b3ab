package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dapplegate/internal/endpoints"
)

const (
	// longPollWait is how long discovery may hold a poll while it waits for a change.
	longPollWait = 20 * time.Second
	// responseGrace is how long after the wait of a poll the response may arrive before the poll times out. While discovery
	// is down, it keeps connections open and sends nothing. By the platform's rules, an initiator must act on a change
	// within 2 s after the wait of its poll, so the next poll must have been made by then.
	responseGrace = 1500 * time.Millisecond
	// minSharedPollTimeout is the shortest timeout of a poll if one discovery service serves all initiators in turn. Polls
	// may wait in its queue for 2 s, and a poll that times out earlier is still served, which delays the others.
	minSharedPollTimeout = 2500 * time.Millisecond
	// dialTimeout limits the time to establish a connection to discovery.
	dialTimeout = time.Second
	// maxConns limits the number of connections to discovery.
	maxConns = 2
	// maxListBytes limits the size of a response, and so the memory for it.
	maxListBytes = 4 << 20
)

// errUnusableList marks a list that cannot be decoded, or that cannot be applied to the current version.
var errUnusableList = errors.New("unusable endpoint list")

// pollRequest is one poll of discovery.
type pollRequest struct {
	after int64         // the current version; noVersion requests the complete list
	wait  time.Duration // how long discovery may wait for a change
}

// asksForChanges reports whether the poll requests the changes since a version. Otherwise it requests the complete list.
func (p pollRequest) asksForChanges() bool { return p.after >= 0 }

// uri returns the path and the query of the poll.
func (p pollRequest) uri() string {
	if !p.asksForChanges() {
		return "/api/targets"
	}
	return fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", p.after, p.wait.Milliseconds())
}

// timeout returns the timeout of the poll. shared is whether one discovery service serves all initiators in turn.
func (p pollRequest) timeout(shared bool) time.Duration {
	timeout := p.wait + responseGrace
	if shared {
		timeout = max(timeout, minSharedPollTimeout)
	}
	return timeout
}

func newClient() http.Client {
	return http.Client{Transport: &http.Transport{
		MaxConnsPerHost:    maxConns,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
}

// fetch requests a list from a URL, with a timeout. It returns errUnusableList if the list cannot be decoded.
func (w *Watcher) fetch(ctx context.Context, url string, timeout time.Duration) (*endpoints.List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or reading it failed with an error that is returned
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("response has status %d", response.StatusCode)
	}
	list, err := endpoints.Decode(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnusableList, err)
	}
	return list, nil
}
