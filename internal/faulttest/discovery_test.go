package faulttest

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a target in discovery's endpoint list.
type Endpoint struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Cell      int    `json:"cell"`
	State     string `json:"state"`
	StartedMs int64  `json:"started_ms"`
}

// endpointList is discovery's response: the full endpoint list.
type endpointList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
}

// The states of an endpoint.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Discovery is a fake of the service that lists targets. It can listen at several addresses, and it can be suspended.
type Discovery struct {
	history   *History
	mu        sync.Mutex
	version   int
	endpoints []Endpoint              // in the order in which they were last set
	changed   chan struct{}           // closed and replaced when the list changes
	suspended chan struct{}           // closed when the suspension ends; nil while not suspended
	servers   map[string]*http.Server // by address
}

// NewDiscovery returns a fake discovery without targets that listens at no address yet.
func NewDiscovery(history *History) *Discovery {
	return &Discovery{history: history, version: 1, changed: make(chan struct{}), servers: map[string]*http.Server{}}
}

// Listen starts serving the endpoint list at a new address and returns the address.
func (d *Discovery) Listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: d}
	d.mu.Lock()
	d.servers[listener.Addr().String()] = server
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns an error when the address is closed
	return listener.Addr().String(), nil
}

// CloseAddress stops serving at an address and closes the connections there.
func (d *Discovery) CloseAddress(addr string) {
	d.mu.Lock()
	server := d.servers[addr]
	delete(d.servers, addr)
	d.mu.Unlock()
	if server != nil {
		_ = server.Close() // the listener may be closed already
	}
}

// Stop ends a suspension and closes all addresses.
func (d *Discovery) Stop() {
	d.Resume()
	d.mu.Lock()
	servers := d.servers
	d.servers = map[string]*http.Server{}
	d.mu.Unlock()
	for _, server := range servers {
		_ = server.Close() // the listener may be closed already
	}
}

// Set adds an endpoint to the list, and replaces the one with the same ID. An endpoint with the state Deleted is removed
// from the list.
func (d *Discovery) Set(endpoint Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	endpoints := d.endpoints[:0:0]
	for _, existing := range d.endpoints {
		if existing.ID != endpoint.ID {
			endpoints = append(endpoints, existing)
		}
	}
	if endpoint.State != Deleted {
		endpoints = append(endpoints, endpoint)
	}
	d.endpoints = endpoints
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Suspend leaves all requests without a response until Resume is called.
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

// ServeHTTP responds with the full endpoint list. It waits until the list is newer than the version in the query parameter
// after, for at most wait_ms milliseconds. While discovery is suspended, it does not respond.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))    // 0 if absent, which is older than any list
	waitMs, _ := strconv.Atoi(query.Get("wait_ms")) // 0 if absent: do not wait
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
	d.writeList(w)
}

func (d *Discovery) writeList(w http.ResponseWriter) {
	d.mu.Lock()
	list := endpointList{Version: d.version, Full: true, Servers: d.endpoints}
	d.mu.Unlock()
	_ = json.NewEncoder(w).Encode(list) // fails if the initiator has exited
	now := time.Now()
	for _, endpoint := range list.Servers {
		if endpoint.State == Draining {
			d.history.RecordDrain(endpoint.ID, now)
		}
	}
}
