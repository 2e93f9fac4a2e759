package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Request is what the command line asks of an agent.
type Request struct {
	Names []string `json:"names,omitempty"`
}

// Reply is what it answers.
type Reply struct {
	Instances []Status      `json:"instances,omitempty"`
	Changes   *ReloadResult `json:"changes,omitempty"`
	Error     string        `json:"error,omitempty"`
}

// ErrNoAgent says that nobody listens on the socket.
var ErrNoAgent = errors.New("no agent")

// Handler serves an agent's calls: GET /v1/status; POST /v1/start, /v1/stop, /v1/restart, /v1/reload.
func Handler(a *Agent) http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, c *ReloadResult, err error) {
		out, status := Reply{Instances: a.Status(), Changes: c}, http.StatusOK
		if err != nil {
			out.Error, status = err.Error(), http.StatusConflict
			if errors.Is(err, ErrUnknownInstance) {
				status = http.StatusNotFound
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(out)
	}
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { reply(w, nil, nil) })
	mux.HandleFunc("POST /v1/reload", func(w http.ResponseWriter, r *http.Request) {
		c, err := a.Reload(r.Context())
		reply(w, &c, err)
	})
	for path, call := range map[string]func(context.Context, []string) error{
		"start": a.Start, "stop": a.Stop, "restart": a.Restart,
	} {
		mux.HandleFunc("POST /v1/"+path, func(w http.ResponseWriter, r *http.Request) {
			var q Request
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&q); err != nil && err != io.EOF {
				reply(w, nil, fmt.Errorf("request: %w", err))
				return
			}
			reply(w, nil, call(r.Context(), q.Names))
		})
	}
	return mux
}

// Listen opens an agent's socket, in place of one that a killed agent left behind.
func Listen(path string) (net.Listener, error) {
	ln, err := net.Listen("unix", path)
	if err != nil {
		c, dialErr := net.DialTimeout("unix", path, time.Second)
		if dialErr == nil {
			c.Close()
			return nil, fmt.Errorf("%s: an agent runs already", path)
		}
		if info, statErr := os.Stat(path); statErr != nil || info.Mode()&os.ModeSocket == 0 {
			return nil, err
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
		if ln, err = net.Listen("unix", path); err != nil {
			return nil, err
		}
	}
	return ln, os.Chmod(path, 0o600)
}

// Call makes one call to the agent behind a socket.
func Call(ctx context.Context, socket, method, path string, q Request) (Reply, error) {
	var out Reply
	body, err := json.Marshal(q)
	if err != nil {
		return out, err
	}
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", socket)
	}}
	req, err := http.NewRequestWithContext(ctx, method, "http://agent/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return out, fmt.Errorf("%w at %s", ErrNoAgent, socket)
		}
		return out, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("agent: %w", err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return out, fmt.Errorf("%w: %s", ErrUnknownInstance, out.Error)
	}
	if out.Error != "" {
		return out, errors.New(out.Error)
	}
	return out, nil
}
