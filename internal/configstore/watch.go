package configstore

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

// Watch watches an initiator's configuration until ctx ends. It calls notify with the current version, and then with each
// newer version that it sees. If several writes follow each other quickly, it may see only the last one. It does not notify
// of a deletion. It accepts stale reads from any server, so that an initiator can start and keep running without a leader.
//
// Versions only increase: a server that lags behind the one queried before cannot bring back an older configuration. Servers
// that were rebuilt without their data start with low versions again. Until these exceed the last version seen, Watch
// neither notifies of them nor logs anything. A new call of Watch accepts any version.
func (c *Client) Watch(ctx context.Context, name string, log *slog.Logger, notify func(Entry)) {
	var version uint64
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addr := c.Addrs[attempt%len(c.Addrs)]
		var err error
		version, err = c.watchServer(ctx, addr, name, version, notify)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errBehind) {
			log.Warn("configuration watch failed", slog.String("reason", "AGENT_FAILED"), slog.String("agent", addr),
				slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// errBehind reports that a server does not have the latest version that was seen at another. It is not logged, because this
// is normal for a short time.
var errBehind = errors.New("the server lags behind another server")

// watchServer watches the configuration at one server until the server fails or lags behind, or ctx ends. It returns the
// latest version seen.
func (c *Client) watchServer(ctx context.Context, addr, name string, version uint64, notify func(Entry)) (uint64, error) {
	for {
		entry, err := c.longPoll(ctx, addr, name, version)
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

// longPoll returns the named entry as soon as the server has a version of it other than known. If the version stays the same
// for watchTimeout, it returns errNotModified.
func (c *Client) longPoll(ctx context.Context, addr, name string, known uint64) (Entry, error) {
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
