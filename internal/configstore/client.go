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
	// callTimeout bounds Get, List and Put, including all their attempts. It is shorter than attemptTimeout, so if a server
	// accepts the request and does not respond, no time is left to try another.
	callTimeout = 8 * time.Second
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 30 * time.Second
	// attemptTimeout bounds one HTTP request including its redirects. Only a watch can take this long.
	attemptTimeout = callTimeout + watchTimeout
	statusTimeout  = 2 * time.Second
	// retryInterval is the pause after all servers have failed, and in Watch after one server has failed or lags behind.
	retryInterval = 250 * time.Millisecond

	instancesPath = "/v1/instances"
)

// Client reads and writes configurations. Get, List and Put try the servers in turn and follow their redirects to the
// leader.
type Client struct {
	// Addrs are the host:port addresses of the servers' HTTP APIs; at least one.
	Addrs []string
	http  http.Client
}

// StatusError is the HTTP response of a server that reports a failure other than 404 Not Found.
type StatusError struct {
	Status  int    // HTTP status code
	Message string // the server's reason
}

// Error returns the server's reason.
func (e *StatusError) Error() string { return e.Message }

// request is an HTTP request that a call sends to one server after the other.
type request struct {
	method    string
	path      string // including the query
	ifVersion string // value of If-Version; empty: none
	body      []byte
}

// response is a successful HTTP response.
type response struct {
	status int
	body   []byte
}

// Get returns the configuration of an initiator as the leader has it, or ErrNotFound. The package comment says which writes
// it may miss.
func (c *Client) Get(ctx context.Context, name string) (Entry, error) {
	return call[Entry](ctx, c, request{method: http.MethodGet, path: instancePath(name)})
}

// List returns the version of each configuration by the name of its initiator, as the leader has it.
func (c *Client) List(ctx context.Context) (map[string]uint64, error) {
	return call[map[string]uint64](ctx, c, request{method: http.MethodGet, path: instancesPath})
}

// Put writes a configuration; a nil configuration deletes the entry. If ifVersion is not empty, the write is accepted only
// if ifVersion is the current version of the entry; "0" requires that there is no entry. The returned entry has no
// configuration.
//
// If the write is rejected, the error is a *StatusError with a status of 4xx. The status 409 Conflict may also mean that an
// earlier attempt of this call has taken effect and its response was lost; Get shows whether it has. After a *StatusError
// with 503 Service Unavailable, and after any other error, the write may still take effect.
func (c *Client) Put(ctx context.Context, name string, config []byte, ifVersion string) (Entry, error) {
	method := http.MethodPut
	if config == nil {
		method = http.MethodDelete
	}
	return call[Entry](ctx, c, request{method: method, path: instancePath(name), ifVersion: ifVersion, body: config})
}

// Status queries the status of each server. For a server that does not respond, ID is its address and State is the error.
func (c *Client) Status(ctx context.Context) []Status {
	statuses := make([]Status, 0, len(c.Addrs))
	for _, addr := range c.Addrs {
		status, err := c.queryStatus(ctx, addr)
		if err != nil {
			status = Status{ID: addr, State: err.Error()}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (c *Client) queryStatus(ctx context.Context, addr string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := c.attempt(ctx, addr, request{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return Status{}, err
	}
	return decode[Status](resp.body)
}

// call sends a request, with retries until callTimeout, and decodes the response.
func call[T any](ctx context.Context, c *Client, req request) (result T, _ error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.tryServers(ctx, req)
	if err != nil {
		return result, err
	}
	return decode[T](resp.body)
}

// tryServers tries the servers in turn, repeatedly, until one gives a final response or ctx ends. A failure to reach a
// server is not final, nor is a response that no leader is known: during an election, all servers fail for a while.
func (c *Client) tryServers(ctx context.Context, req request) (response, error) {
	if len(c.Addrs) == 0 {
		return response{}, errors.New("no agent addresses are configured")
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

// isFinal reports whether an error ends the call, because every other server would give the same response.
func isFinal(err error) bool {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Status != http.StatusServiceUnavailable
	}
	return errors.Is(err, ErrNotFound)
}

// attempt sends a request to one server and follows its redirect to the leader.
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

// readResponse reads an HTTP response and closes its body. It converts statuses other than success to errors.
func readResponse(resp *http.Response) (response, error) {
	defer func() { _ = resp.Body.Close() }() // the body is only read, so the error is irrelevant
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
		return result, fmt.Errorf("decoding the agent's response: %w", err)
	}
	return result, nil
}

func instancePath(name string) string { return instancesPath + "/" + url.PathEscape(name) }
