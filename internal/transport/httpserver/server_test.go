package httpserver

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"poppyarch/internal/timing/clock"
)

// A call that is not answered within the drain time-out does not keep the server from ending.
func TestServeUntilClosesCallsThatOutlastTheDrain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	begun := make(chan struct{})
	ended := make(chan struct{})
	s := New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done() // the connection is closed
		close(ended)
	})}, Options{}, clock.New())
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.ServeUntil(ctx, ln, 10*time.Millisecond) }()
	called := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + ln.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
		}
		called <- err
	}()
	<-begun
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	<-ended
	if err := <-called; err == nil {
		t.Error("the call was answered although its handler had not written anything")
	}
}

// A server that is told to end before it serves accepts nobody.
func TestServeAfterDrainReturnsAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(&http.Server{Handler: http.NotFoundHandler()}, Options{}, clock.New())
	if err := s.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	if err := s.Serve(ln); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is open")
	}
}
