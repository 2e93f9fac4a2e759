package manager

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/testkit/fake"
	"poppyarch/internal/testkit/faultfs"
)

// serveManager serves a new manager on loopback until stop is called. stopped receives the error of Serve.
func serveManager(t *testing.T) (addr string, stop func(), stopped <-chan error) {
	t.Helper()
	m := openManager(t, faultfs.New(), Options{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx, ln) }()
	t.Cleanup(cancel)
	return ln.Addr().String(), cancel, done
}

// callText returns the text of an HTTP call of the API.
func callText(t *testing.T, path string, request any) string {
	t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: m\r\nContent-Length: %d\r\n\r\n%s", api.PathPrefix, path, len(body), body)
}

// Guards against commands that get no answer because the manager stops while it reads them.
func TestManagerAnswersCommandThatArrivesWhileItStops(t *testing.T) {
	addr, stop, stopped := serveManager(t)
	resp, body, err := fake.CallAcrossStop("tcp", addr, callText(t, api.PathChangeNodes, drainNode("c1", "s-1")), stop)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %v, body %q, error %v", resp, body, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// A long poll neither delays the end of the manager nor gets an answer that its client would take for final.
func TestManagerEndsLongPollsWhenItStops(t *testing.T) {
	addr, stop, stopped := serveManager(t)
	poll := callText(t, api.PathWait, &api.WaitRequest{Revision: 7, WaitMS: time.Hour.Milliseconds()})
	resp, body, err := fake.CallAcrossStop("tcp", addr, poll, stop)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, body %q, error %v", resp, body, err)
	}
	var response api.ErrorResponse
	if json.Unmarshal([]byte(body), &response) == nil {
		t.Errorf("the body %q is an error of the API, after which the client would not call again", body)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
