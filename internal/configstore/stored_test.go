package configstore

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// storedPeer is the one agent whose folder testdata/stored holds. Commit 634ce93 wrote it: three changes, a snapshot of the
// store, and two changes behind it.
func storedPeer(t *testing.T) Peer {
	addrs := freeAddrs(t, 2)
	return Peer{ID: "agent-1", Raft: addrs[0], API: addrs[1]}
}

// TestReadsStoredData starts an agent on a folder that an earlier version wrote: its snapshot and the log behind it must
// give the same entries, since an update of the agents must not lose the instances' configurations.
func TestReadsStoredData(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "stored")
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	peer := storedPeer(t)
	a, err := Start(Options{ID: peer.ID, Dir: dir, Peers: []Peer{peer}, Validate: check, Logger: quiet, ElectionTimeout: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Shutdown()
	for end := time.Now().Add(time.Minute); a.raft.State() != raft.Leader || a.raft.VerifyLeader().Error() != nil; {
		if time.Now().After(end) {
			t.Fatal("no leader within a minute")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := a.raft.Barrier(10 * time.Second).Error(); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"n1": `{"name":"n1","generation":2}`, "n2": `{"name":"n2"}`} {
		if e, found, _ := a.store.get(name); !found || string(e.Config) != want || e.Version == 0 {
			t.Errorf("%s: %+v, found %v, want %s", name, e, found, want)
		}
	}
	if e, found, _ := a.store.get("n3"); found {
		t.Errorf("n3 was taken away, yet there is %+v", e)
	}
}
