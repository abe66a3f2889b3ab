package config

import (
	"fmt"
	"slices"
)

// Agent sets up one server of the configuration store.
type Agent struct {
	// ID names this server; it must be the id of one of the peers.
	ID string `toml:"id"`
	// Dir is the folder of the durable data; required.
	Dir string `toml:"dir"`
	// Peers are all servers of the store, this one included; at least one.
	Peers []Peer `toml:"peer"`
}

// Peer is a server of the configuration store, as each server lists it.
type Peer struct {
	// ID names the server; unique among the peers.
	ID string `toml:"id"`
	// Raft is the host:port of the Raft transport.
	Raft string `toml:"raft"`
	// API is the host:port of the HTTP API for commands and initiators.
	API string `toml:"api"`
}

// API returns the host:port of this server's HTTP API.
func (a *Agent) API() string { return a.Peers[a.peerIndex()].API }

// APIAddrError returns an error about the address that API returns, with the path of its field.
func (a *Agent) APIAddrError(err error) *FieldError {
	return &FieldError{Field: fmt.Sprintf("agent.peer[%d].api", a.peerIndex()), Err: err}
}

// peerIndex returns the index of this server among the peers. A validated Agent has it.
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
			return fieldError(fmt.Sprintf("peer[%d].id", i), "missing or there twice")
		}
		ids[peer.ID] = true
		if err := peer.validateAddresses(); err != nil {
			return PrefixField(fmt.Sprintf("peer[%d]", i), err)
		}
	}
	if !ids[a.ID] {
		return fieldError("id", "%q is none of the peers", a.ID)
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
