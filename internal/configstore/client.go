package configstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// callTimeout bounds Get, List and Put with all their attempts. It is shorter than attemptTimeout: a server that accepts
	// the request and does not answer takes all of it.
	callTimeout = 8 * time.Second
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 30 * time.Second
	// attemptTimeout bounds one HTTP request with its redirects. Only a watch can take so long.
	attemptTimeout = callTimeout + watchTimeout
	statusTimeout  = 2 * time.Second
	// retryInterval is the pause after all servers have failed.
	retryInterval = 250 * time.Millisecond

	instancesPath = "/v1/instances"
)

// Client reads and writes configurations. Each call tries the servers in turn, and is redirected to the leader.
type Client struct {
	// Addrs are the host:port addresses of the servers' HTTP APIs; at least one.
	Addrs []string
	http  http.Client
}

// StatusError is a server's HTTP answer other than success and not found.
type StatusError struct {
	Status  int    // HTTP status code
	Message string // the server's reason
}

// Error returns the server's reason.
func (e *StatusError) Error() string { return e.Message }

// request is what a call sends to one server after the other.
type request struct {
	method    string
	path      string // with the query
	ifVersion string // value of If-Version; empty: none
	body      []byte
}

// response is a successful answer.
type response struct {
	status int
	body   []byte
}

// Get returns the latest configuration of an initiator, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (Entry, error) {
	return call[Entry](ctx, c, request{method: http.MethodGet, path: instancePath(name)})
}

// List returns the names of all initiators that have a configuration, with its version.
func (c *Client) List(ctx context.Context) (map[string]uint64, error) {
	return call[map[string]uint64](ctx, c, request{method: http.MethodGet, path: instancesPath})
}

// Put writes a configuration; a nil one deletes the entry. A non-empty ifVersion makes the write conditional on the present
// version, "0" on there being no entry. The returned entry holds no configuration.
//
// A rejected write is a *StatusError with a status of 4xx. Its 409 Conflict may also mean that an earlier attempt of this call,
// whose answer was lost, has taken effect: Get tells. After a *StatusError with 503 Service Unavailable, and after any other
// error, the write may still take effect.
func (c *Client) Put(ctx context.Context, name string, config []byte, ifVersion string) (Entry, error) {
	method := http.MethodPut
	if config == nil {
		method = http.MethodDelete
	}
	return call[Entry](ctx, c, request{method: method, path: instancePath(name), ifVersion: ifVersion, body: config})
}

// Status asks each server for its state. One that does not answer has its address as ID and the error as State.
func (c *Client) Status(ctx context.Context) []Status {
	states := make([]Status, 0, len(c.Addrs))
	for _, addr := range c.Addrs {
		state, err := c.status(ctx, addr)
		if err != nil {
			state = Status{ID: addr, State: err.Error()}
		}
		states = append(states, state)
	}
	return states
}

func (c *Client) status(ctx context.Context, addr string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := c.attempt(ctx, addr, request{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return Status{}, err
	}
	return decode[Status](resp.body)
}

// call sends a request, with retries for callTimeout, and decodes the answer.
func call[T any](ctx context.Context, c *Client, req request) (result T, _ error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.tryServers(ctx, req)
	if err != nil {
		return result, err
	}
	return decode[T](resp.body)
}

// tryServers tries the servers in turn, again and again, until one gives a final answer or ctx ends. A server that cannot be
// reached or knows no leader gives none: during an election all of them fail for a while.
func (c *Client) tryServers(ctx context.Context, req request) (response, error) {
	if len(c.Addrs) == 0 {
		return response{}, errors.New("no agents are named")
	}
	for {
		var lastErr error
		for _, addr := range c.Addrs {
			resp, err := c.attempt(ctx, addr, req)
			if err == nil || isFinal(err) {
				return resp, err
			}
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return response{}, lastErr
		case <-time.After(retryInterval):
		}
	}
}

// isFinal reports whether an error ends the call: any other server would give the same answer.
func isFinal(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status != http.StatusServiceUnavailable
	}
	return errors.Is(err, ErrNotFound)
}

// attempt sends a request to one server, and on to the leader where that one redirects.
func (c *Client) attempt(ctx context.Context, addr string, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+addr+req.path, bytes.NewReader(req.body))
	if err != nil {
		return response{}, err
	}
	if req.ifVersion != "" {
		httpReq.Header.Set(ifVersionHeader, req.ifVersion)
	}
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return response{}, err
	}
	return readResponse(httpResp)
}

// readResponse reads and closes an answer. Its status decides on the error.
func readResponse(resp *http.Response) (response, error) {
	defer func() { _ = resp.Body.Close() }() // only read from
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxConfigBytes))
	switch {
	case err != nil:
		return response{}, err
	case resp.StatusCode == http.StatusNotFound:
		return response{}, ErrNotFound
	case resp.StatusCode >= http.StatusMultipleChoices:
		return response{}, &StatusError{Status: resp.StatusCode, Message: strings.TrimSpace(string(body))}
	}
	return response{status: resp.StatusCode, body: body}, nil
}

func decode[T any](body []byte) (result T, _ error) {
	if err := json.Unmarshal(body, &result); err != nil {
		return result, fmt.Errorf("agent's answer: %w", err)
	}
	return result, nil
}

func instancePath(name string) string { return instancesPath + "/" + url.PathEscape(name) }
