package object

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

// immediateBroker answers each request at once.
type immediateBroker struct{}

func (immediateBroker) Handle(context.Context, core.Request[*objectstore.Request]) core.Response[*objectstore.Response] {
	return core.Response[*objectstore.Response]{Value: &objectstore.Response{Status: http.StatusOK, Body: []byte("value")}}
}

// BenchmarkRequest measures the frontend's part of a GET request on a connection that is kept.
func BenchmarkRequest(b *testing.B) {
	cfg, err := config.Parse([]byte(testConfig+"}"), func(string) string { return "" })
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New(immediateBroker{}, cfg, testOptions(cfg, 8), clock.New(), slog.New(slog.DiscardHandler))
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	in := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, "GET /art/x HTTP/1.1\r\nHost: b\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
	}
	_ = c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Drain(ctx) // closes the connections that are left
	if err := <-served; err != nil {
		b.Error(err)
	}
}
