package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Request is the body of a call to the agent.
type Request struct {
	Names []string `json:"names,omitempty"` // names of instances; empty for all
}

// Reply is the response to a call. It has the status of all instances.
type Reply struct {
	Instances []Status      `json:"instances,omitempty"`
	Changes   *ReloadResult `json:"changes,omitempty"`
	Error     string        `json:"error,omitempty"`
}

const maxRequestBytes = 1 << 20

// Handler serves an agent's calls: GET /v1/status; POST /v1/start, /v1/stop, /v1/restart, /v1/reload.
func Handler(a *Agent) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		a.reply(w, nil, nil)
	})
	mux.HandleFunc("POST /v1/reload", func(w http.ResponseWriter, r *http.Request) {
		result, err := a.Reload(r.Context())
		a.reply(w, &result, err)
	})
	mux.HandleFunc("POST /v1/start", a.serveOperation(a.Start))
	mux.HandleFunc("POST /v1/stop", a.serveOperation(a.Stop))
	mux.HandleFunc("POST /v1/restart", a.serveOperation(a.Restart))
	return mux
}

// serveOperation returns a handler for an operation on the instances that a request names. An empty body selects all.
func (a *Agent) serveOperation(operate func(ctx context.Context, names []string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
		if err := json.NewDecoder(body).Decode(&request); err != nil && !errors.Is(err, io.EOF) {
			a.reply(w, nil, fmt.Errorf("request: %w", err))
			return
		}
		a.reply(w, nil, operate(r.Context(), request.Names))
	}
}

// reply sends the status of all instances, with the result or error of a call.
func (a *Agent) reply(w http.ResponseWriter, changes *ReloadResult, err error) {
	out := Reply{Instances: a.Status(), Changes: changes}
	status := http.StatusOK
	if err != nil {
		out.Error = err.Error()
		status = http.StatusConflict
		if errors.Is(err, ErrUnknownInstance) {
			status = http.StatusNotFound
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // fails only if the client has disconnected; it can repeat its call
}
