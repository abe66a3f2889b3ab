package configstore

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// storedPeer returns the only server of the group whose data is in testdata/stored. The data was written by the code of
// commit 634ce93: three changes, a snapshot of the store, and two more changes.
func storedPeer(t *testing.T) Peer {
	t.Helper()
	addrs := freeAddrs(t, 2)
	return Peer{ID: "agent-1", Raft: addrs[0], API: addrs[1]}
}

// TestReadsStoredData starts a server on data that an earlier version wrote. The server must restore the same entries from
// the snapshot and the log after it, because an update of the servers must not lose the initiators' configurations.
func TestReadsStoredData(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "stored")
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	peer := storedPeer(t)
	server, err := Start(Options{ID: peer.ID, Dir: dir, Peers: []Peer{peer}, Validate: validateJSON, Logger: discardLog,
		ElectionTimeout: electionTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
	}()
	for end := time.Now().Add(eventTimeout); server.raft.State() != raft.Leader || server.raft.VerifyLeader().Error() != nil; {
		if time.Now().After(end) {
			t.Fatalf("no leader within %v", eventTimeout)
		}
		time.Sleep(eventPollInterval)
	}
	if err := server.raft.Barrier(10 * time.Second).Error(); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"n1": `{"name":"n1","generation":2}`, "n2": `{"name":"n2"}`} {
		if e, found, _ := server.store.get(name); !found || string(e.Config) != want || e.Version == 0 {
			t.Errorf("%s: entry %+v, found %v, want configuration %s", name, e, found, want)
		}
	}
	if e, found, _ := server.store.get("n3"); found {
		t.Errorf("n3 was deleted, but the store has entry %+v", e)
	}
}
