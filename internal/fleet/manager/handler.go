package manager

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
)

// maxRequestBytes limits the size of a request. The desired state of 100,000 instances fits.
const maxRequestBytes = 256 << 20

// Handler returns the HTTP handler for agents and the command line.
func (m *Manager) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, api.PathRegister, func(_ context.Context, in *api.RegisterRequest) (api.Registration, error) {
		return m.Register(in.Agent, in.SeenEdition)
	})
	handle(mux, api.PathReport, func(_ context.Context, in *api.ReportRequest) (api.ReportResponse, error) {
		return api.ReportResponse{}, m.Report(in)
	})
	handle(mux, api.PathAssignments, m.Assignments)
	handle(mux, api.PathConfig, func(_ context.Context, in *api.ConfigRequest) (api.ConfigResponse, error) {
		text, err := m.Config(in.Digest)
		return api.ConfigResponse{Text: text}, err
	})
	handle(mux, api.PathApply, withoutContext(m.Apply))
	handle(mux, api.PathRollback, withoutContext(m.Rollback))
	handle(mux, api.PathChangeNodes, withoutContext(m.ChangeNodes))
	handle(mux, api.PathRetire, withoutContext(m.Retire))
	handle(mux, api.PathSetRolloutPhase, withoutContext(m.SetRolloutPhase))
	handle(mux, api.PathOverview, func(_ context.Context, in *api.OverviewRequest) (api.Overview, error) {
		return m.Overview(spec.Selector{Names: in.Names, Terms: in.Terms})
	})
	handle(mux, api.PathHistory, func(_ context.Context, in *api.HistoryRequest) (api.History, error) {
		return m.History(in.Limit), nil
	})
	handle(mux, api.PathWait, func(ctx context.Context, in *api.WaitRequest) (api.WaitResponse, error) {
		return m.Wait(ctx, in.Revision, time.Duration(in.WaitMS)*time.Millisecond)
	})
	return mux
}

func withoutContext[In, Out any](call func(*In) (Out, error)) func(context.Context, *In) (Out, error) {
	return func(_ context.Context, in *In) (Out, error) { return call(in) }
}

// handle registers the handler of one call, which decodes the request and encodes the response or the error.
func handle[In, Out any](mux *http.ServeMux, path string, call func(context.Context, *In) (Out, error)) {
	mux.HandleFunc("POST "+api.PathPrefix+path, func(w http.ResponseWriter, r *http.Request) {
		in, err := decodeRequest[In](w, r)
		if err != nil {
			writeError(w, err)
			return
		}
		out, err := call(r.Context(), in)
		if errors.Is(err, context.Canceled) {
			writeUnavailable(w)
			return
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeResponse(w, http.StatusOK, out)
	})
}

func decodeRequest[In any](w http.ResponseWriter, r *http.Request) (*In, error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	in := new(In)
	if err := decoder.Decode(in); err != nil {
		return nil, fmt.Errorf("%w: %w", api.ErrInvalidRequest, err)
	}
	return in, nil
}

func writeError(w http.ResponseWriter, err error) {
	response, status := api.NewErrorResponse(err)
	writeResponse(w, status, response)
}

// writeUnavailable answers a call that was waiting when the manager stopped. The response has no code, so that the
// caller's client treats it as api.ErrUnavailable and calls again.
func writeUnavailable(w http.ResponseWriter) {
	http.Error(w, "the manager is stopping", http.StatusServiceUnavailable)
}

func writeResponse(w http.ResponseWriter, status int, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response) // fails only if the client has disconnected
}
