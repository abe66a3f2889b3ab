package configstore

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// ifVersionHeader makes a write conditional on the version of the present entry; 0: there is none.
	ifVersionHeader = "If-Version"

	// enqueueTimeout bounds the wait until Raft takes a change for its log. The wait for the majority has no bound of its own.
	enqueueTimeout  = 5 * time.Second
	maxConfigBytes  = 4 << 20
	maxWatchTimeout = time.Minute
)

// routes returns the HTTP API: reads and writes go to the leader, reads with the parameter "stale" to any server.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	mux.HandleFunc("GET /v1/instances", s.handleList)
	mux.HandleFunc("GET /v1/instances/{name}", s.handleGet)
	mux.HandleFunc("PUT /v1/instances/{name}", s.handlePut)
	mux.HandleFunc("DELETE /v1/instances/{name}", s.handleDelete)
	return mux
}

// Status is a server's view of the Raft group.
type Status struct {
	ID      string `json:"id"`      // of the server; from Client.Status its address if it did not answer
	State   string `json:"state"`   // Leader, Follower, Candidate or Shutdown; from Client.Status the error of a failed call
	Leader  string `json:"leader"`  // ID; empty: none is known
	Applied uint64 `json:"applied"` // index of the last log entry applied
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	_, leader := s.raft.LeaderWithID()
	writeJSON(w, Status{
		ID:      s.options.ID,
		State:   s.raft.State().String(),
		Leader:  string(leader),
		Applied: s.raft.AppliedIndex(),
	})
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	if !acceptsStale(r) && s.redirectToLeader(w, r) {
		return
	}
	writeJSON(w, s.store.versions())
}

// handleGet returns an entry. With the parameters "after" and "wait_ms" it waits until the entry has another version than
// after, and answers 204 if it keeps that version for so long.
func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if !acceptsStale(r) && s.redirectToLeader(w, r) {
		return
	}
	known, timeout := watchParameters(r.URL.Query())
	entry, err := s.store.wait(r.Context(), r.PathValue("name"), known, timeout)
	switch {
	case err == nil:
		writeJSON(w, entry)
	case errors.Is(err, errNotModified):
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		// The client has gone; nobody reads a response.
	}
}

// watchParameters returns the version that the caller knows, and how long to wait for another; 0 where they are absent or
// are no numbers.
func watchParameters(query url.Values) (known uint64, timeout time.Duration) {
	known, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout = time.Duration(max(milliseconds, 0)) * time.Millisecond
	return known, min(timeout, maxWatchTimeout)
}

// handlePut writes an entry. A configuration that an initiator could not start from is rejected before it reaches the log.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	if s.redirectToLeader(w, r) {
		return
	}
	condition, ok := parseCondition(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	config, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		http.Error(w, "configuration: incomplete or too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err := s.options.Validate(name, config); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	s.apply(w, change{Name: name, Config: config, If: condition})
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	if s.redirectToLeader(w, r) {
		return
	}
	if condition, ok := parseCondition(w, r); ok {
		s.apply(w, change{Name: r.PathValue("name"), If: condition})
	}
}

// parseCondition returns the version that If-Version requires, nil without the header. It rejects one that is no number.
func parseCondition(w http.ResponseWriter, r *http.Request) (condition *uint64, ok bool) {
	text := r.Header.Get(ifVersionHeader)
	if text == "" {
		return nil, true
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, ifVersionHeader+": not a version", http.StatusBadRequest)
		return nil, false
	}
	return &version, true
}

// apply replicates a change and answers with the new entry, without its configuration.
func (s *Server) apply(w http.ResponseWriter, c change) {
	command, err := json.Marshal(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	future := s.raft.Apply(command, enqueueTimeout)
	if err := future.Error(); err != nil {
		// The change may or may not be in the log: the caller reads the entry, or writes again under If-Version.
		http.Error(w, "not confirmed: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeApplied(w, future)
}

// writeApplied answers with the result of store.Apply.
func writeApplied(w http.ResponseWriter, future raft.ApplyFuture) {
	var conflict *conflictError
	switch result := future.Response().(type) {
	case Entry:
		result.Config = nil
		writeJSON(w, result)
	case error:
		status := http.StatusInternalServerError
		if errors.As(result, &conflict) {
			status = http.StatusConflict
		}
		http.Error(w, result.Error(), status)
	}
}

// redirectToLeader redirects the client to the leader, or answers 503 if none is known. It returns false, with nothing
// answered, where this server leads, which a majority has confirmed just now: no other server can have confirmed a write that
// is not in this one's log. It does not wait until the log is applied, see the package comment.
func (s *Server) redirectToLeader(w http.ResponseWriter, r *http.Request) bool {
	if s.raft.isLeader() {
		return false
	}
	_, leader := s.raft.LeaderWithID()
	for _, peer := range s.options.Peers {
		if peer.ID == string(leader) && peer.ID != s.options.ID {
			http.Redirect(w, r, "http://"+peer.API+r.URL.RequestURI(), http.StatusTemporaryRedirect)
			return true
		}
	}
	http.Error(w, "no leader at the moment", http.StatusServiceUnavailable)
	return true
}

// acceptsStale reports whether the caller accepts what this server has, which may lag behind the leader.
func acceptsStale(r *http.Request) bool { return r.URL.Query().Has("stale") }

// writeJSON answers 200 with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(v) // fails only where the client has gone
}
