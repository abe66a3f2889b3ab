package configstore

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

// Watch watches an initiator's configuration until ctx ends: it calls notify with the present one, and then with each newer
// version that it sees. Of several writes in short order it may see only the last; a deletion is not notified. It is no
// follower in the sense of Raft, and accepts what any server has, so that an initiator starts and keeps running also without a
// leader.
//
// Versions only grow: a server that lags behind the one asked before cannot bring an older configuration back. Servers that
// were rebuilt without their data begin with low versions again. Until these exceed the last version seen, nothing is
// notified, and nothing is logged; a new call of Watch begins anew.
func (c *Client) Watch(ctx context.Context, name string, log *slog.Logger, notify func(Entry)) {
	var version uint64
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addr := c.Addrs[attempt%len(c.Addrs)]
		var err error
		version, err = c.followServer(ctx, addr, name, version, notify)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errBehind) {
			log.Warn("agent call failed", slog.String("reason", "AGENT_FAILED"), slog.String("agent", addr), slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// errBehind says that a server has an older version than was seen elsewhere. It is not logged: it is usual for a short time.
var errBehind = errors.New("the server lags behind another")

// followServer watches one server until it fails, lags behind or ctx ends. It returns the latest version seen.
func (c *Client) followServer(ctx context.Context, addr, name string, version uint64, notify func(Entry)) (uint64, error) {
	for {
		entry, err := c.watch(ctx, addr, name, version)
		switch {
		case ctx.Err() != nil:
			return version, ctx.Err()
		case errors.Is(err, errNotModified):
			continue
		case err != nil:
			return version, err
		case entry.Version <= version:
			return version, errBehind
		}
		version = entry.Version
		notify(entry)
	}
}

// watch returns the entry as soon as a server has another version of it than known, or errNotModified.
func (c *Client) watch(ctx context.Context, addr, name string, known uint64) (Entry, error) {
	query := "?stale&wait_ms=" + strconv.FormatInt(watchTimeout.Milliseconds(), 10) + "&after=" + strconv.FormatUint(known, 10)
	resp, err := c.attempt(ctx, addr, request{method: http.MethodGet, path: instancePath(name) + query})
	if err != nil {
		return Entry{}, err
	}
	if resp.status == http.StatusNoContent {
		return Entry{}, errNotModified
	}
	return decode[Entry](resp.body)
}
