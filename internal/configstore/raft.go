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
	transportConns    = 3 // pooled connections to each peer
	transportTimeout  = 5 * time.Second
)

// raftNode is this server's node of the Raft group, with its durable log and its transport.
type raftNode struct {
	*raft.Raft
	log       *raftboltdb.BoltStore
	transport *raft.NetworkTransport
}

// openRaft opens the durable data in opts.Dir and starts this server's node of the Raft group. It bootstraps the group if
// there is no data yet.
func openRaft(opts Options, self Peer, fsm raft.FSM) (_ *raftNode, err error) {
	n := &raftNode{}
	defer func() {
		if err != nil {
			n.release()
		}
	}()
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{opts.Logger}})
	snapshots, err := n.openStorage(opts.Dir, logger)
	if err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	if err := n.openTransport(self.Raft, logger); err != nil {
		return nil, fmt.Errorf("agent.peers raft: %w", err)
	}
	config := raftConfig(opts, logger)
	if err := n.bootstrap(config, snapshots, opts.Peers); err != nil {
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

func raftConfig(opts Options, logger hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(opts.ID)
	config.Logger = logger
	if opts.ElectionTimeout > 0 {
		config.HeartbeatTimeout = opts.ElectionTimeout
		config.ElectionTimeout = opts.ElectionTimeout
		config.LeaderLeaseTimeout = opts.ElectionTimeout / 2 // Raft allows at most the heartbeat timeout
	}
	return config
}

// bootstrap writes the peers as the initial membership of the group, unless this server already has Raft state: a second
// bootstrap, which the Raft library rejects, would lose what the group has confirmed since the first.
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

// isLeader reports whether this server is the leader and a majority has just confirmed it. Even then, the server may not
// have applied all committed log entries yet.
func (n *raftNode) isLeader() bool {
	return n.State() == raft.Leader && n.VerifyLeader().Error() == nil
}

// close stops the node and closes the durable data. The server remains a voter of the group.
func (n *raftNode) close() error {
	err := n.Shutdown().Error()
	n.release()
	return err
}

// release closes the transport and the log if they are open. It ignores errors, because nothing is written to them anymore.
func (n *raftNode) release() {
	if n.transport != nil {
		_ = n.transport.Close()
	}
	if n.log != nil {
		_ = n.log.Close()
	}
}

// logWriter forwards the log lines of the Raft library to a structured logger.
type logWriter struct{ log *slog.Logger }

// Write implements io.Writer. It expects one line, and drops the newline at its end.
func (w logWriter) Write(line []byte) (int, error) {
	w.log.Warn("message from the Raft library", slog.String("line", string(line[:max(0, len(line)-1)])))
	return len(line), nil
}
