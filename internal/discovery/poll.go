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
	// watchWait is how long discovery may hold a poll that waits for a change.
	watchWait = 20 * time.Second
	// responseGrace is how long a response may be overdue before its poll is given up. Discovery keeps connections open and is
	// silent while it is down. By the platform's rules an initiator must act on a change 2 s after the wait of its poll: the
	// next poll must have been made by then.
	responseGrace = 1500 * time.Millisecond
	// queueTimeout is the shortest timeout of a poll where one discovery serves all initiators in turn: polls may wait in its
	// queue for 2 s, and one that is given up earlier is still served, at the cost of the others.
	queueTimeout = 2500 * time.Millisecond
	// dialTimeout bounds the time for a connection to discovery.
	dialTimeout = time.Second
	// maxConns bounds the connections to discovery.
	maxConns = 2
	// maxListBytes bounds the memory that a response may take.
	maxListBytes = 4 << 20
)

// errUnusableList marks a list that cannot be decoded or does not follow the one held.
var errUnusableList = errors.New("endpoint list is not usable")

// pollRequest is one poll of discovery.
type pollRequest struct {
	after int64         // the version held; noVersion asks for the complete list
	wait  time.Duration // how long discovery may wait for a change
}

// asksForChanges reports whether the request asks for changes, not for the complete list.
func (p pollRequest) asksForChanges() bool { return p.after >= 0 }

// path is the request's URI.
func (p pollRequest) path() string {
	if !p.asksForChanges() {
		return "/api/targets"
	}
	return fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", p.after, p.wait.Milliseconds())
}

// timeout is how long the poll may last; shared says that one discovery serves all initiators in turn.
func (p pollRequest) timeout(shared bool) time.Duration {
	timeout := p.wait + responseGrace
	if shared {
		timeout = max(timeout, queueTimeout)
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

// fetch gets a list from a URL within the timeout. A list that cannot be decoded is an errUnusableList.
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
	defer func() { _ = response.Body.Close() }() // the body has been read, or the error of that is returned
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
