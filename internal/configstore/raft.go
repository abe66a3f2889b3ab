package configstore

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	logFile           = "raft.db"
	retainedSnapshots = 2
	transportConns    = 3 // kept open to each peer
	transportTimeout  = 5 * time.Second
)

// raftNode is this server's member of the Raft group, with its durable log and its transport.
type raftNode struct {
	*raft.Raft
	log       *raftboltdb.BoltStore
	transport *raft.NetworkTransport
}

// openRaft opens the durable data in opt.Dir and starts this server's member of the Raft group. It bootstraps the group if
// there is no data yet.
func openRaft(opt Options, self Peer, fsm raft.FSM) (_ *raftNode, err error) {
	n := &raftNode{}
	defer func() {
		if err != nil {
			n.release()
		}
	}()
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{opt.Logger}})
	snapshots, err := n.openStorage(opt.Dir, logger)
	if err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	if err := n.openTransport(self.Raft, logger); err != nil {
		return nil, fmt.Errorf("agent.peers raft: %w", err)
	}
	config := raftConfig(opt, logger)
	if err := n.bootstrap(config, snapshots, opt.Peers); err != nil {
		return nil, err
	}
	if n.Raft, err = raft.NewRaft(config, fsm, n.log, n.log, snapshots, n.transport); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *raftNode) openStorage(dir string, logger hclog.Logger) (raft.SnapshotStore, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if n.log, err = raftboltdb.NewBoltStore(filepath.Join(dir, logFile)); err != nil {
		return nil, err
	}
	return raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, logger)
}

func (n *raftNode) openTransport(address string, logger hclog.Logger) error {
	advertised, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	n.transport, err = raft.NewTCPTransportWithLogger(address, advertised, transportConns, transportTimeout, logger)
	return err
}

func raftConfig(opt Options, logger hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(opt.ID)
	config.Logger = logger
	if opt.ElectionTimeout > 0 {
		config.HeartbeatTimeout = opt.ElectionTimeout
		config.ElectionTimeout = opt.ElectionTimeout
		config.LeaderLeaseTimeout = opt.ElectionTimeout / 2 // Raft wants it below the heartbeat timeout
	}
	return config
}

// bootstrap writes the peers as the group's first configuration, unless this server has Raft state already: a second bootstrap
// would forget what the group has confirmed since.
func (n *raftNode) bootstrap(config *raft.Config, snapshots raft.SnapshotStore, peers []Peer) error {
	exists, err := raft.HasExistingState(n.log, n.log, snapshots)
	if err != nil || exists {
		return err
	}
	var members raft.Configuration
	for _, peer := range peers {
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(peer.ID), Address: raft.ServerAddress(peer.Raft)})
	}
	return raft.BootstrapCluster(config, n.log, n.log, snapshots, n.transport, members)
}

// isLeader reports whether this server leads, confirmed by a majority just now. It does not say that this server has applied
// all that is committed.
func (n *raftNode) isLeader() bool {
	return n.State() == raft.Leader && n.VerifyLeader().Error() == nil
}

// close stops this server, which stays a voter of the group, and closes the durable data.
func (n *raftNode) close() error {
	err := n.Shutdown().Error()
	n.release()
	return err
}

// release closes what is open. Nothing is written to it any more, so its errors say nothing.
func (n *raftNode) release() {
	if n.transport != nil {
		_ = n.transport.Close()
	}
	if n.log != nil {
		_ = n.log.Close()
	}
}

// logWriter passes the lines of the Raft library to a structured logger.
type logWriter struct{ log *slog.Logger }

// Write implements io.Writer for one line.
func (w logWriter) Write(line []byte) (int, error) {
	w.log.Warn("raft", slog.String("line", string(line[:max(0, len(line)-1)])))
	return len(line), nil
}
