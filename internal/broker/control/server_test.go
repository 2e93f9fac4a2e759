package control

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/testkit/fake"
)

// fakeBroker counts the changes applied.
type fakeBroker struct{ applied int }

func (f *fakeBroker) Check(v spec.LiveSettings, _ []spec.NodeOverride) error {
	if v.MaxInFlight < 0 {
		return errors.New("live.max_open: negative")
	}
	return nil
}

func (f *fakeBroker) Apply(spec.LiveSettings, []spec.NodeOverride) []Effect {
	f.applied++
	return []Effect{{Setting: "x", OldValue: "1", NewValue: "2"}}
}

func (f *fakeBroker) FillState(st *State) { st.NodeCount = 7 }

// startServer runs a server of incarnation b1 on a Unix socket and returns a client. stop waits until the server has
// ended and fails the test if it returned an error.
func startServer(t *testing.T, b Broker) (s *Server, c *Client, stop func()) {
	t.Helper()
	s = NewServer("n1", "b1", "d1", b, slog.New(slog.DiscardHandler))
	addr := "unix:" + filepath.Join(t.TempDir(), "c")
	ln, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	if c, err = Dial(addr); err != nil {
		t.Fatal(err)
	}
	return s, c, func() {
		t.Helper()
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// The connection breaks after a change was applied and before its response is sent. The retry with the same idempotency
// key gets the recorded outcome, and the change is not applied again.
func TestRetryAfterLostResponseGetsRecordedOutcome(t *testing.T) {
	b := &fakeBroker{}
	s, c, stop := startServer(t, b)
	responseLost := false
	s.SetHook(func(point string) {
		if point == PointRecorded && !responseLost {
			responseLost = true
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
	})
	change := &Change{ID: "c1", FencingToken: 1, Incarnation: "b1", Revision: 5}
	if _, err := c.Change(t.Context(), change); err == nil {
		t.Fatal("got an outcome although the connection was closed before the response")
	}
	o, err := c.Change(t.Context(), change)
	if err != nil || o.Code != CodeApplied || !o.Repeated || o.AppliedRevision != 5 || b.applied != 1 {
		t.Fatalf("retry: error %v, outcome %+v, applied %d times", err, o, b.applied)
	}
	o, err = c.Change(t.Context(), &Change{ID: "c2", FencingToken: 1, Incarnation: "b1", BaseRevision: 5, Revision: 6, Live: spec.LiveSettings{MaxInFlight: -1}})
	if err != nil || o.Code != CodeRejected || o.AppliedRevision != 5 {
		t.Fatalf("invalid change: error %v, outcome %+v", err, o)
	}
	s.Drain()
	o, err = c.Change(t.Context(), &Change{ID: "c3", FencingToken: 1, Incarnation: "b1", BaseRevision: 5, Revision: 6})
	if err != nil || o.Code != CodeDraining {
		t.Fatalf("change while draining: error %v, outcome %+v", err, o)
	}
	st, err := c.State(t.Context())
	if err != nil || st.AppliedRevision != 5 || st.NodeCount != 7 || !st.Draining || st.StartDigest != "d1" {
		t.Fatalf("error %v, state %+v", err, st)
	}
	stop()
}

func TestRecordsWithoutRecorderIsErrNoRecords(t *testing.T) {
	_, c, stop := startServer(t, &fakeBroker{})
	if _, err := c.Records(t.Context(), 10); !errors.Is(err, ErrNoRecords) {
		t.Errorf("got error %v, want %v", err, ErrNoRecords)
	}
	stop()
}

func TestListenOnSocketInUseIsErrSocketInUse(t *testing.T) {
	addr := "unix:" + filepath.Join(t.TempDir(), "c")
	ln, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(addr); !errors.Is(err, ErrSocketInUse) {
		t.Errorf("got error %v, want %v", err, ErrSocketInUse)
	}
	if err := ln.Close(); err != nil {
		t.Error(err)
	}
}

func TestDialRejectsUnsafeAddresses(t *testing.T) {
	for addr, reason := range map[string]error{
		"unix:":        ErrSocketPath,
		"10.0.0.1:80":  ErrNotLoopback,
		"x":            ErrAddressForm,
		"localhost:80": ErrNotLoopback,
	} {
		_, err := Dial(addr)
		var addrErr *AddressError
		if !errors.As(err, &addrErr) || addrErr.Addr != addr || !errors.Is(err, reason) {
			t.Errorf("address %q: got error %v, want %v", addr, err, reason)
		}
	}
}

// Guards against calls that get no answer because the endpoint ends while it reads them.
func TestEndpointAnswersCallThatArrivesWhileItEnds(t *testing.T) {
	s := NewServer("n1", "b1", "d1", &fakeBroker{}, slog.New(slog.DiscardHandler))
	path := filepath.Join(t.TempDir(), "c")
	ln, err := Listen("unix:" + path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	resp, body, err := fake.CallAcrossStop("unix", path, "GET /v1/state HTTP/1.1\r\nHost: b\r\n\r\n", stop)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %v, body %q, error %v", resp, body, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
