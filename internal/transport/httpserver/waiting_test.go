package httpserver

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

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
