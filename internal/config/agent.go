package config

import (
	"fmt"
	"slices"
)

// Agent configures one server of the configuration store.
type Agent struct {
	// ID identifies this server; it must be the ID of one of the peers.
	ID string `toml:"id"`
	// Dir is the directory of the durable data; required.
	Dir string `toml:"dir"`
	// Peers are all servers of the store, including this one; at least one.
	Peers []Peer `toml:"peer"`
}

// Peer is one of the servers of the configuration store, with its addresses.
type Peer struct {
	// ID identifies the server; it is unique among the peers.
	ID string `toml:"id"`
	// Raft is the host:port of the Raft transport.
	Raft string `toml:"raft"`
	// API is the host:port of the HTTP API for commands and initiators.
	API string `toml:"api"`
}

// API returns the host:port of this server's HTTP API.
func (a *Agent) API() string { return a.Peers[a.peerIndex()].API }

// APIAddrError returns a FieldError about the address that API returns.
func (a *Agent) APIAddrError(err error) *FieldError {
	return &FieldError{Field: fmt.Sprintf("agent.peer[%d].api", a.peerIndex()), Err: err}
}

// peerIndex returns the index of this server among the peers. In a validated Agent, the server is one of them.
func (a *Agent) peerIndex() int {
	return slices.IndexFunc(a.Peers, func(peer Peer) bool { return peer.ID == a.ID })
}

func (a *Agent) validate() *FieldError {
	switch {
	case a.Dir == "":
		return MissingField("dir")
	case len(a.Peers) == 0:
		return MissingField("peer")
	}
	ids := map[string]bool{}
	for i, peer := range a.Peers {
		if peer.ID == "" || ids[peer.ID] {
			return fieldError(fmt.Sprintf("peer[%d].id", i), "missing or already used by another peer")
		}
		ids[peer.ID] = true
		if err := peer.validateAddresses(); err != nil {
			return PrefixField(fmt.Sprintf("peer[%d]", i), err)
		}
	}
	if !ids[a.ID] {
		return fieldError("id", "%q is not the ID of a peer", a.ID)
	}
	return nil
}

func (p *Peer) validateAddresses() *FieldError {
	if err := checkHostPort(p.Raft); err != nil {
		return &FieldError{Field: "raft", Err: err}
	}
	if err := checkHostPort(p.API); err != nil {
		return &FieldError{Field: "api", Err: err}
	}
	return nil
}
