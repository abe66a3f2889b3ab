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
	// shutdownTimeout is how long Shutdown waits for open requests; watches that still wait are then cut off.
	shutdownTimeout = time.Second
)

// Peer is a server as all servers know it.
type Peer struct {
	ID   string // unique among the peers
	Raft string // host:port of the Raft transport
	API  string // host:port of the HTTP API
}

// Options set up one server.
type Options struct {
	// ID is the ID of this server among Peers.
	ID string
	// Dir is the folder of the log, the votes and the snapshots; it is made if it does not exist.
	Dir string
	// Peers are all servers, this one included.
	Peers []Peer
	// Validate returns an error if an initiator of that name could not start from the configuration; such a one is rejected.
	Validate func(name string, config []byte) error
	Logger   *slog.Logger
	// ElectionTimeout is Raft's heartbeat and election timeout; 0: one second. Tests shorten it.
	ElectionTimeout time.Duration
}

// Server is one of the servers that replicate the configurations.
type Server struct {
	options Options
	store   *store
	raft    *raftNode
	http    http.Server
}

// Start opens the durable data and starts this server's member of the Raft group. A server without data bootstraps the group
// from Options.Peers; one with data continues from its log. Errors start with the operator's field that they come from.
func Start(opt Options) (*Server, error) {
	self, err := opt.self()
	if err != nil {
		return nil, err
	}
	s := &Server{options: opt, store: newStore()}
	if s.raft, err = openRaft(opt, self, s.store); err != nil {
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
	return Peer{}, fmt.Errorf("agent.id: %q is none of the peers", o.ID)
}

// Serve answers the HTTP API on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown ends the HTTP API, stops this server's part in the Raft group, where it stays a voter, and closes the durable data.
func (s *Server) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // the server ends either way
	}
	return s.raft.close()
}
