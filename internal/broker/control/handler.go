package control

import (
	"encoding/json"
	"net/http"
)

// maxChangeBytes bounds the body of a change and of a response; overrides for thousands of nodes fit.
const maxChangeBytes = 8 << 20

// Handler returns the HTTP handler of the endpoint: GET /v1/state, /v1/nodes and /v1/records, POST /v1/change and
// /v1/nodes/accept. A path whose callback is not set responds with 404.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.State())
	})
	mux.HandleFunc("GET /v1/nodes", s.serveNodes)
	mux.HandleFunc("POST /v1/nodes/accept", s.serveAccept)
	mux.HandleFunc("GET /v1/records", s.serveRecords)
	mux.HandleFunc("POST /v1/change", s.serveChange)
	return mux
}

func (s *Server) serveNodes(w http.ResponseWriter, r *http.Request) {
	if s.callbacks.explainNodes == nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, s.callbacks.explainNodes(r.URL.Query().Get("id")))
}

func (s *Server) serveAccept(w http.ResponseWriter, r *http.Request) {
	if s.callbacks.acceptRemovals == nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, acceptResult{Changed: s.callbacks.acceptRemovals()})
}

func (s *Server) serveRecords(w http.ResponseWriter, r *http.Request) {
	if s.callbacks.records == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(s.callbacks.records()) // a client that has disconnected sends the request again
}

func (s *Server) serveChange(w http.ResponseWriter, r *http.Request) {
	var c Change
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields() // an unknown field would be accepted and have no effect
	if err := d.Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, Outcome{Code: CodeRejected, Reason: err.Error()})
		return
	}
	o := s.Change(&c)
	writeJSON(w, o.Code.httpStatus(), o)
}

// httpStatus returns the HTTP status of a response with this code.
func (c ResultCode) httpStatus() int {
	switch c {
	case CodeApplied:
		return http.StatusOK
	case CodeRejected:
		return http.StatusUnprocessableEntity
	case CodeDraining:
		return http.StatusServiceUnavailable
	default:
		return http.StatusConflict
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has disconnected sends the request again
}
