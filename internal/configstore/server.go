package configstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// shutdownTimeout is how long Shutdown waits for open requests. Requests that are still open then, such as watches, are
	// cut off.
	shutdownTimeout = time.Second
)

// Peer is one of the servers of the configuration store, with its addresses.
type Peer struct {
	ID   string // unique among the peers
	Raft string // host:port of the Raft transport
	API  string // host:port of the HTTP API
}

// Options configures one server.
type Options struct {
	// ID is the ID of this server among Peers.
	ID string
	// Dir is the directory of the log, the votes and the snapshots; it is created if it does not exist.
	Dir string
	// Peers are all servers, including this one.
	Peers []Peer
	// Validate returns an error if the named initiator could not start with the configuration. A write of such a
	// configuration is rejected.
	Validate func(name string, config []byte) error
	Logger   *slog.Logger
	// ElectionTimeout is Raft's heartbeat timeout and election timeout; 0: one second. Tests shorten it.
	ElectionTimeout time.Duration
}

// Server is one of the servers that replicate the configurations.
type Server struct {
	options Options
	store   *store
	raft    *raftNode
	http    http.Server
}

// Start opens the durable data and starts this server's node of the Raft group. A server without data bootstraps the group
// from Options.Peers; a server with data continues from its log. An error that is caused by a field of the operator's file
// names that field first.
func Start(opts Options) (*Server, error) {
	self, err := opts.self()
	if err != nil {
		return nil, err
	}
	s := &Server{options: opts, store: newStore()}
	if s.raft, err = openRaft(opts, self, s.store); err != nil {
		return nil, err
	}
	s.http = http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout}
	return s, nil
}

// self returns this server's entry in Peers.
func (o *Options) self() (Peer, error) {
	for _, peer := range o.Peers {
		if peer.ID == o.ID {
			return peer, nil
		}
	}
	return Peer{}, fmt.Errorf("agent.id: %q is not the ID of a peer", o.ID)
}

// Serve serves the HTTP API on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops the HTTP API and this server's node of the Raft group, and closes the durable data. The server remains a
// voter of the group.
func (s *Server) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // the server stops either way
	}
	return s.raft.close()
}
