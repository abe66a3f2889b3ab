package faulttest

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a target as discovery lists it.
type Entry struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Cell    int    `json:"cell"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

// The states of an entry.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Discovery is a stand-in for the service that lists targets. It can be asked at several addresses, and falls silent.
type Discovery struct {
	ledger  *Ledger
	mu      sync.Mutex
	version int
	list    []Entry // in order of the versions that changed them
	changed chan struct{}
	silent  chan struct{} // closed when a silence ends; nil: it speaks
	servers map[string]*http.Server
}

// NewDiscovery returns a discovery with no target and no address.
func NewDiscovery(ledger *Ledger) *Discovery {
	return &Discovery{ledger: ledger, version: 1, changed: make(chan struct{}), servers: map[string]*http.Server{}}
}

// Listen opens an address at which the list can be asked for.
func (d *Discovery) Listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: d}
	d.mu.Lock()
	d.servers[l.Addr().String()] = s
	d.mu.Unlock()
	go s.Serve(l)
	return l.Addr().String(), nil
}

// Leave closes an address and its open connections.
func (d *Discovery) Leave(addr string) {
	d.mu.Lock()
	s := d.servers[addr]
	delete(d.servers, addr)
	d.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

// Stop closes all addresses.
func (d *Discovery) Stop() {
	d.Speak()
	d.mu.Lock()
	servers := d.servers
	d.servers = map[string]*http.Server{}
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// Set puts an entry into the list, in place of an older one of its id.
func (d *Discovery) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.list[:0:0]
	for _, x := range d.list {
		if x.ID != e.ID {
			kept = append(kept, x)
		}
	}
	if e.State != Deleted {
		kept = append(kept, e)
	}
	d.list = kept
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// FallSilent leaves all calls without an answer until Speak.
func (d *Discovery) FallSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent == nil {
		d.silent = make(chan struct{})
	}
}

// Speak ends a silence.
func (d *Discovery) Speak() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent != nil {
		close(d.silent)
		d.silent = nil
	}
}

// ServeHTTP answers with the whole list, for a watch once it is newer than what the caller has.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	waiting := true
	for waiting {
		d.mu.Lock()
		version, changed, silent := d.version, d.changed, d.silent
		d.mu.Unlock()
		switch {
		case silent != nil:
			select {
			case <-silent:
			case <-r.Context().Done():
				return
			}
		case version > after:
			waiting = false
		default:
			select {
			case <-changed:
			case <-over:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	}
	d.write(w)
}

func (d *Discovery) write(w http.ResponseWriter) {
	d.mu.Lock()
	version, list := d.version, d.list
	d.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"version": version, "full": true, "servers": list})
	now := time.Now()
	for _, e := range list {
		if e.State == Draining {
			d.ledger.Drained(e.ID, now)
		}
	}
}
