package agent

import (
	"context"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"

	"poppyarch/internal/host/inventory"
	"poppyarch/internal/testkit/fake"
)

// Guards against calls that get no answer because the agent ends while it reads them.
func TestAgentAnswersCallThatArrivesWhileItEnds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.sock")
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	load := func() ([]inventory.Instance, error) { return nil, nil }
	a := New(load, newFakeLauncher(), DefaultTiming(), slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, ln, a) }()
	resp, body, err := fake.CallAcrossStop("unix", path, "GET /v1/status HTTP/1.1\r\nHost: agent\r\n\r\n", stop)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %v, body %q, error %v", resp, body, err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	a.Close()
}
