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
	// ifVersionHeader is the header with the required version of the current entry; 0: no entry may exist.
	ifVersionHeader = "If-Version"

	// enqueueTimeout bounds the wait until Raft accepts a change for its log. The wait for a majority to confirm it has no
	// timeout of its own.
	enqueueTimeout  = 5 * time.Second
	maxConfigBytes  = 4 << 20
	maxWatchTimeout = time.Minute
)

// routes returns the HTTP API. Only the leader handles reads and writes, except that any server handles reads with the
// parameter "stale". Each server reports its own status.
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
	ID      string `json:"id"`      // ID of the server; in Client.Status its address if it did not respond
	State   string `json:"state"`   // Leader, Follower, Candidate or Shutdown; in Client.Status the error of a failed call
	Leader  string `json:"leader"`  // ID of the leader; empty: none is known
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

// handleGet responds with an entry. It waits for "wait_ms" milliseconds, at most maxWatchTimeout, for an entry whose version
// differs from the parameter "after". If the version stays the same, it responds with 204, and if there is no entry, with 404.
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
		// The client has disconnected, so nobody would read a response.
	}
}

// watchParameters returns the version that the client knows and how long to wait for another. A parameter that is absent or
// not a number counts as 0.
func watchParameters(query url.Values) (known uint64, timeout time.Duration) {
	known, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout = time.Duration(max(milliseconds, 0)) * time.Millisecond
	return known, min(timeout, maxWatchTimeout)
}

// handlePut writes an entry. A configuration with which the initiator could not start is rejected before it reaches the log.
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
	s.apply(w, change{Name: name, Config: config, IfVersion: condition})
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	if s.redirectToLeader(w, r) {
		return
	}
	if condition, ok := parseCondition(w, r); ok {
		s.apply(w, change{Name: r.PathValue("name"), IfVersion: condition})
	}
}

// parseCondition returns the version that If-Version requires, or nil without the header. If the value is not a number, it
// responds with an error and returns false.
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

// apply replicates a change and responds with the new entry, without its configuration.
func (s *Server) apply(w http.ResponseWriter, c change) {
	command, err := json.Marshal(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	future := s.raft.Apply(command, enqueueTimeout)
	if err := future.Error(); err != nil {
		// The change may or may not be in the log. The client has to read the entry, or write again with If-Version.
		http.Error(w, "not confirmed: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeApplied(w, future)
}

// writeApplied responds with the result of store.Apply.
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

// redirectToLeader redirects the client to the leader, or responds with 503 if no leader is known. If this server is the
// leader, it returns false without a response. In this case a majority has just confirmed the leadership, so no other server
// can have confirmed a write that is not in this server's log. redirectToLeader does not wait until the log is applied; see
// the package comment.
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

// acceptsStale reports whether the client accepts the entries of this server, which may lag behind those of the leader.
func acceptsStale(r *http.Request) bool { return r.URL.Query().Has("stale") }

// writeJSON responds with status 200 and v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
