package block

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/broker/memory"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 30 * time.Second

const (
	millisecond clock.Micros = 1000
	hour        clock.Micros = 3_600_000_000
)

func testLimits() *limits.Limits {
	return &limits.Limits{
		Clients: limits.ClientLimits{
			MaxPendingReplies:    64,
			FreeAnswersPerSecond: 1000,
			FreeAnswerBurst:      1000,
			MaxRecentIDs:         100,
			RequestIDRetention:   hour,
			MaxParamCount:        64,
		},
		MaxMessageBytes:                4096,
		MaxArgs:                        8,
		MaxValueBytes:                  2048,
		MaxPipeline:                    8,
		MaxTotalBodyBytes:              1 << 20,
		MaxID:                          16,
		MaxParams:                      200,
		ClientWriteTimeout:             clock.FromDuration(testTimeout),
		ClientFirstByteTimeout:         hour,
		ClientStallTimeout:             hour,
		ClientRequestTimeout:           hour,
		ClientIdleTimeoutUnderPressure: hour,
		ClientIdleTimeout:              hour,
		ClientLingerTimeout:            200 * millisecond,
		BusyRetryAfter:                 150 * millisecond,
		DrainResponseTime:              hour,
	}
}

func testOptions(lim *limits.Limits, maxConns int) Options {
	return Options{
		MaxConns: maxConns,
		Memory:   memory.NewBudget(lim.MaxTotalBodyBytes),
		Pacing:   pacing.NewLimiter(lim.Clients.FreeAnswersPerSecond, lim.Clients.FreeAnswerBurst),
	}
}

func testSchema(lim *limits.Limits) *Schema {
	cfg := &decision.Config{
		Classes:  []decision.Class{{Name: "read"}, {Name: "new", Idempotency: decision.NotIdempotent}},
		Plans:    []decision.Plan{{Name: "gold"}},
		MaxUnits: 8,
	}
	return NewSchema(cfg, 10, lim)
}

// fakeBroker responds to each request with the response that the test sends on a channel.
type fakeBroker struct {
	requests  chan core.Request[*blockstore.Command]
	cancelled chan string // ids of requests whose context ended first

	mu        sync.Mutex
	responses map[string]chan core.Response[[]byte] // by request id
}

// response returns the channel on which the test sends the response to a request.
func (b *fakeBroker) response(id string) chan core.Response[[]byte] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.responses[id] == nil {
		b.responses[id] = make(chan core.Response[[]byte], 1)
	}
	return b.responses[id]
}

func (b *fakeBroker) Submit(r core.Request[*blockstore.Command]) core.Pending[[]byte] {
	b.requests <- r
	return &fakePending{broker: b, id: string(r.Work.RequestID)}
}

// fakePending is a request that waits for the test's response.
type fakePending struct {
	broker *fakeBroker
	id     string
}

func (p *fakePending) Wait(ctx context.Context) core.Response[[]byte] {
	select {
	case resp := <-p.broker.response(p.id):
		return resp
	case <-ctx.Done():
		p.broker.cancelled <- p.id
		return core.Response[[]byte]{Status: core.Failure}
	}
}

// harness is a server on a loopback listener that passes requests to a fake broker.
type harness struct {
	t          *testing.T
	server     *Server
	broker     *fakeBroker
	listener   net.Listener
	roundTrips int // number of calls of roundTrip
}

func newHarness(t *testing.T, lim *limits.Limits, maxConns int) *harness {
	t.Helper()
	return newInterceptedHarness(t, lim, maxConns, nil)
}

// newInterceptedHarness returns a harness whose server uses the result of intercept for each accepted connection. A nil
// intercept changes nothing.
func newInterceptedHarness(t *testing.T, lim *limits.Limits, maxConns int, intercept func(*net.TCPConn) net.Conn) *harness {
	t.Helper()
	b := &fakeBroker{
		requests:  make(chan core.Request[*blockstore.Command], 64),
		cancelled: make(chan string, 64),
		responses: map[string]chan core.Response[[]byte]{},
	}
	s := New(b, testSchema(lim), testOptions(lim, maxConns), clock.New(), lim, slog.New(slog.DiscardHandler))
	ln := listen(t)
	serveOn := ln
	if intercept != nil {
		serveOn = &interceptingListener{ln, intercept}
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.Serve(serveOn) // returns an error when the listener is closed
	}()
	t.Cleanup(func() {
		disconnect(ln)
		<-stopped
	})
	return &harness{t: t, server: s, broker: b, listener: ln}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { disconnect(ln) })
	return ln
}

// disconnect closes a connection or listener. It ignores errors, since it may be closed already.
func disconnect(c io.Closer) { _ = c.Close() }

// send writes a client's input. It ignores errors: after a failed write the reply is missing.
func send(c io.Writer, input string) { _, _ = io.WriteString(c, input) }

// dial connects a client.
func (h *harness) dial() (net.Conn, *bufio.Reader) {
	h.t.Helper()
	c, err := net.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { disconnect(c) })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		h.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// waitUntil waits until condition is true. The lock of the server's connection table is held during each check.
func (h *harness) waitUntil(what string, condition func() bool) {
	h.t.Helper()
	check := func() bool {
		h.server.conns.mu.Lock()
		defer h.server.conns.mu.Unlock()
		return condition()
	}
	for end := time.Now().Add(testTimeout); !check(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// waitUntilIdle waits until the server has no reply pending for a client. The server counts the client as idle shortly
// after writing the reply, so the client may receive the reply earlier. If another client connected in between, the
// server would evict a different connection, or none.
func (h *harness) waitUntilIdle(c net.Conn) {
	h.t.Helper()
	h.waitUntil("the client has no reply pending", func() bool {
		for serverConn := range h.server.conns.conns {
			if serverConn.RemoteAddr().String() == c.LocalAddr().String() {
				return serverConn.pending.Load() == 0
			}
		}
		return true
	})
}

// ping makes a client send PING, and waits until the client is idle.
func (h *harness) ping(c net.Conn, in *bufio.Reader) {
	h.t.Helper()
	send(c, encodeCommand("PING"))
	expectText(h.t, in, "+PONG\r\n")
	h.waitUntilIdle(c)
}

// serving reports whether Serve has been called.
func (h *harness) serving() bool {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	return h.server.listener != nil
}

// roundTrip makes a client send one request and receive its response.
func (h *harness) roundTrip(c net.Conn, in *bufio.Reader) {
	h.t.Helper()
	h.roundTrips++ // a new id: the previous one may be in use until shortly after the client received its reply
	id := fmt.Sprint("request", h.roundTrips)
	send(c, readCommand(id))
	<-h.broker.requests
	h.broker.response(id) <- success("v")
	expectText(h.t, in, "$1\r\nv\r\n")
	h.waitUntilIdle(c)
}

func encodeCommand(args ...string) string {
	out := fmt.Sprintf("*%d\r\n", len(args))
	for _, s := range args {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(s), s)
	}
	return out
}

const (
	testBlockID = "7f3a9c21e0b4d655"
	testParams  = "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3,k=x"
)

func readCommand(id string) string { return encodeCommand("BLK.READ", testBlockID, id, testParams) }

func success(value string) core.Response[[]byte] { return core.Response[[]byte]{Value: []byte(value)} }

// expectText reads as many bytes as want has, and fails the test if they differ from want.
func expectText(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	n, err := io.ReadFull(r, b)
	if string(b[:n]) != want {
		t.Fatalf("got %q (%v), want %q", b[:n], err, want)
	}
}

// expectClosed fails the test unless the connection is closed without further input.
func expectClosed(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Fatalf("got %q (%v), want the end of the stream", rest, err)
	}
}

// interceptingListener replaces each accepted connection with the result of intercept.
type interceptingListener struct {
	net.Listener
	intercept func(*net.TCPConn) net.Conn
}

func (l *interceptingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.intercept(c.(*net.TCPConn)), nil
}

// await waits until condition is true. Unlike waitUntil it may be called from any goroutine.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("timed out waiting for %s", what)
			return
		}
	}
}
