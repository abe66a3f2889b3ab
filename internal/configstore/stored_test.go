package configstore

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// storedPeer is the only server of the group whose folder is testdata/stored. The code of commit 634ce93 wrote it: three
// changes, a snapshot of the store, and two changes after it.
func storedPeer(t *testing.T) Peer {
	t.Helper()
	addrs := freeAddrs(t, 2)
	return Peer{ID: "agent-1", Raft: addrs[0], API: addrs[1]}
}

// TestReadsStoredData starts a server on a folder that an earlier version wrote: its snapshot and the log after it must give
// the same entries, since an update of the servers must not lose the initiators' configurations.
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
			t.Errorf("%s: %+v, found %v, want %s", name, e, found, want)
		}
	}
	if e, found, _ := server.store.get("n3"); found {
		t.Errorf("n3 was deleted, yet there is %+v", e)
	}
}
