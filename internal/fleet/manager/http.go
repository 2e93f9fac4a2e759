package manager

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
)

// maxBody bounds a call: a fleet of 100,000 instances fits.
const maxBody = 256 << 20

// route serves one call.
func route[In any](mux *http.ServeMux, path string, f func(context.Context, *In) (any, error)) {
	mux.HandleFunc("POST /v1/"+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		d.DisallowUnknownFields()
		out, err := any(nil), error(nil)
		if err = d.Decode(&in); err != nil {
			err = fmt.Errorf("%w: %v", api.ErrRequest, err)
		} else {
			out, err = f(r.Context(), &in)
		}
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			response, status := api.NewErrorResponse(err)
			w.WriteHeader(status)
			out = response
		}
		json.NewEncoder(w).Encode(out)
	})
}

// Handler serves agents and the command line.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	type none struct{}
	route(mux, "agents/register", func(_ context.Context, in *struct {
		Agent string `json:"agent"`
		Seen  uint64 `json:"seen"`
	}) (any, error) {
		return m.Register(in.Agent, in.Seen)
	})
	route(mux, "agents/report", func(_ context.Context, in *api.ReportRequest) (any, error) { return none{}, m.Report(in) })
	route(mux, "agents/assignments", func(ctx context.Context, in *api.AssignmentsRequest) (any, error) { return m.Assignments(ctx, in) })
	route(mux, "configs", func(_ context.Context, in *struct {
		Digest string `json:"digest"`
	}) (any, error) {
		text, err := m.Config(in.Digest)
		return struct {
			Text string `json:"text"`
		}{text}, err
	})
	route(mux, "apply", func(_ context.Context, in *api.ApplyRequest) (any, error) { return m.Apply(in) })
	route(mux, "rollback", func(_ context.Context, in *api.RollbackRequest) (any, error) { return m.Rollback(in) })
	route(mux, "nodes", func(_ context.Context, in *api.NodesRequest) (any, error) { return m.ChangeNodes(in) })
	route(mux, "agents/retire", func(_ context.Context, in *api.RetireRequest) (any, error) { return m.Retire(in) })
	route(mux, "steer", func(_ context.Context, in *api.SetPhaseRequest) (any, error) { return m.SetRolloutPhase(in) })
	route(mux, "overview", func(_ context.Context, in *struct {
		Names []string `json:"names"`
		Terms []string `json:"terms"`
	}) (any, error) {
		return m.Overview(spec.Selector{Names: in.Names, Terms: in.Terms})
	})
	route(mux, "history", func(_ context.Context, in *struct {
		Most int `json:"most"`
	}) (any, error) {
		return m.History(in.Most), nil
	})
	route(mux, "wait", func(ctx context.Context, in *struct {
		Rev    uint64 `json:"rev"`
		WaitMS int64  `json:"wait_ms"`
	}) (any, error) {
		list, settled, err := m.Wait(ctx, in.Rev, time.Duration(in.WaitMS)*time.Millisecond)
		return struct {
			Settled  bool                  `json:"settled"`
			Rollouts []state.RolloutStatus `json:"rollouts"`
		}{settled, list}, err
	})
	return mux
}

// Serve answers on ln until ctx is done, and carries out what is due meanwhile. It returns early where the journal
// cannot be written any more.
func (m *Manager) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: m.Handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(m.log.Handler(), slog.LevelWarn)}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	run, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- m.Run(run) }()
	select {
	case err := <-failed:
		stop()
		<-ended
		return fmt.Errorf("manager: %w", err)
	case err := <-ended:
		srv.Close()
		if serr := <-failed; !errors.Is(serr, http.ErrServerClosed) && err == nil {
			err = serr
		}
		return err
	}
}
