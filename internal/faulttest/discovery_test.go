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

// endpointList is the whole list in discovery's form.
type endpointList struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// The states of an entry.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Discovery is a stand-in for the service that lists targets. It answers at several addresses, and can be suspended.
type Discovery struct {
	ledger    *Ledger
	mu        sync.Mutex
	version   int
	entries   []Entry // in order of the versions that changed them
	changed   chan struct{}
	suspended chan struct{} // closed when a suspension ends; nil: it answers
	servers   map[string]*http.Server
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
	go func() { _ = s.Serve(l) }() // it ends with the address
	return l.Addr().String(), nil
}

// CloseAddress closes an address and its open connections.
func (d *Discovery) CloseAddress(addr string) {
	d.mu.Lock()
	s := d.servers[addr]
	delete(d.servers, addr)
	d.mu.Unlock()
	if s != nil {
		_ = s.Close() // the listener may be closed already
	}
}

// Stop closes all addresses.
func (d *Discovery) Stop() {
	d.Resume()
	d.mu.Lock()
	servers := d.servers
	d.servers = map[string]*http.Server{}
	d.mu.Unlock()
	for _, s := range servers {
		_ = s.Close() // the listener may be closed already
	}
}

// Set puts an entry into the list, in place of an older one of its id.
func (d *Discovery) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := d.entries[:0:0]
	for _, x := range d.entries {
		if x.ID != e.ID {
			entries = append(entries, x)
		}
	}
	if e.State != Deleted {
		entries = append(entries, e)
	}
	d.entries = entries
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Suspend leaves all calls without a response until Resume.
func (d *Discovery) Suspend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspended == nil {
		d.suspended = make(chan struct{})
	}
}

// Resume ends a suspension.
func (d *Discovery) Resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspended != nil {
		close(d.suspended)
		d.suspended = nil
	}
}

// ServeHTTP responds with the whole list, for a watch once it is newer than what the caller has.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))    // absent: 0, older than any list
	waitMs, _ := strconv.Atoi(query.Get("wait_ms")) // absent: no wait
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; waiting; {
		d.mu.Lock()
		version, changed, suspended := d.version, d.changed, d.suspended
		d.mu.Unlock()
		switch {
		case suspended != nil:
			select {
			case <-suspended:
			case <-r.Context().Done():
				return
			}
		case version > after:
			waiting = false
		default:
			select {
			case <-changed:
			case <-timeout:
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
	list := endpointList{Version: d.version, Full: true, Servers: d.entries}
	d.mu.Unlock()
	_ = json.NewEncoder(w).Encode(list) // an initiator that has ended reads nothing
	now := time.Now()
	for _, e := range list.Servers {
		if e.State == Draining {
			d.ledger.RecordDrain(e.ID, now)
		}
	}
}
