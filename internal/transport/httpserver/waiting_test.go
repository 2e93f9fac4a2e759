package httpserver

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
)

const getRequest = "GET /a HTTP/1.1\r\nHost: b\r\n\r\n"

// countFree answers each request with a free answer.
func countFree(w http.ResponseWriter, r *http.Request) {
	CountFreeAnswer(r.Context(), pacing.NoRequest, 0)
	w.WriteHeader(http.StatusOK)
}

// expectAnswers fails the test unless a number of responses come.
func expectAnswers(t *testing.T, in *bufio.Reader, n int) {
	t.Helper()
	for range n {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want a response", resp, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against requests that wait for seconds before they are handled, as the client's share of the rate becomes as small as
// the number of waiting clients is large: here 0.1 answers a second.
func TestWaitBeforeARequestIsBounded(t *testing.T) {
	addr := startServer(t, countFree, Options{Pacing: pacing.NewLimiter(1, 1)})
	for range 10 {
		_, in := connect(t, addr, strings.Repeat(getRequest, 100))
		expectAnswers(t, in, 1)
	}
	const requests = 6
	_, in := connect(t, addr, strings.Repeat(getRequest, requests))
	expectAnswers(t, in, requests)
}

// Guards against a drain in which requests that were read wait for their clients' turn, so that they are not answered before
// the process is killed.
func TestNobodyWaitsInADrain(t *testing.T) {
	const (
		requests = 50
		atMost   = requests * pacing.MaxWait / 4 // pacing alone would take about four times that
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(&http.Server{Handler: http.HandlerFunc(countFree)}, Options{Pacing: pacing.NewLimiter(1, 1)}, clock.New())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	_, in := connect(t, ln.Addr().String(), strings.Repeat(getRequest, requests))
	expectAnswers(t, in, 1)
	begun := time.Now()
	if err := s.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	if took := time.Since(begun); took > atMost {
		t.Errorf("the drain took %v, want at most %v", took, atMost)
	}
	expectAnswers(t, in, requests-1)
	if err := <-served; err != nil {
		t.Error(err)
	}
}
