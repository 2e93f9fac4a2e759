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
	"poppyarch/internal/timing/clock"
)

// testTimeout is how long a test waits for what must happen.
const testTimeout = 30 * time.Second

const (
	millisecond clock.Micros = 1000
	hour        clock.Micros = 3_600_000_000
)

func testLimits() *limits.Limits {
	return &limits.Limits{
		MaxMessageBytes:                4096,
		MaxArgs:                        8,
		MaxValueBytes:                  2048,
		MaxPipeline:                    8,
		MaxBodyBytes:                   1 << 20,
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
		DrainAnswerTime:                hour,
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

// fakeBroker responds to each request when the test says so.
type fakeBroker struct {
	requests  chan core.Request[*blockstore.Command]
	cancelled chan string // ids of requests whose context ended first

	mu        sync.Mutex
	responses map[string]chan core.Response[[]byte] // by request id
}

// response is the channel on which the test sends the response to a request.
func (b *fakeBroker) response(id string) chan core.Response[[]byte] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.responses[id] == nil {
		b.responses[id] = make(chan core.Response[[]byte], 1)
	}
	return b.responses[id]
}

func (b *fakeBroker) Handle(ctx context.Context, r core.Request[*blockstore.Command]) core.Response[[]byte] {
	id := string(r.Work.RequestID)
	b.requests <- r
	select {
	case resp := <-b.response(id):
		return resp
	case <-ctx.Done():
		b.cancelled <- id
		return core.Response[[]byte]{Status: core.Failure}
	}
}

// rig is a server on a loopback listener, with a fake broker behind it.
type rig struct {
	t        *testing.T
	server   *Server
	broker   *fakeBroker
	listener net.Listener
	served   int // requests by roundTrip
}

func newRig(t *testing.T, lim *limits.Limits, maxConns int) *rig {
	t.Helper()
	return newInterceptedRig(t, lim, maxConns, nil)
}

// newInterceptedRig returns a rig whose server gets what intercept makes of each accepted connection, unless it is nil.
func newInterceptedRig(t *testing.T, lim *limits.Limits, maxConns int, intercept func(*net.TCPConn) net.Conn) *rig {
	t.Helper()
	b := &fakeBroker{
		requests:  make(chan core.Request[*blockstore.Command], 64),
		cancelled: make(chan string, 64),
		responses: map[string]chan core.Response[[]byte]{},
	}
	s := New(b, testSchema(lim), maxConns, clock.New(), lim, slog.New(slog.DiscardHandler))
	ln := listen(t)
	serveOn := ln
	if intercept != nil {
		serveOn = &interceptingListener{ln, intercept}
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.Serve(serveOn) // returns the listener's end
	}()
	t.Cleanup(func() {
		disconnect(ln)
		<-stopped
	})
	return &rig{t: t, server: s, broker: b, listener: ln}
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

// disconnect closes a connection or listener, which may be closed already.
func disconnect(c io.Closer) { _ = c.Close() }

// send writes a client's input. A failed write shows as a missing reply.
func send(c io.Writer, input string) { _, _ = io.WriteString(c, input) }

// dial connects a client.
func (r *rig) dial() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { disconnect(c) })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		r.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// waitUntil waits for a condition on the server's connections, whose lock is held for it.
func (r *rig) waitUntil(what string, condition func() bool) {
	r.t.Helper()
	check := func() bool {
		r.server.conns.mu.Lock()
		defer r.server.conns.mu.Unlock()
		return condition()
	}
	for end := time.Now().Add(testTimeout); !check(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// waitUntilIdle waits until the server has no reply pending for a client. The server counts the client as idle only
// after the reply was written, which the client may see first; a client that connects in between would find another
// one the longest idle, or none.
func (r *rig) waitUntilIdle(c net.Conn) {
	r.t.Helper()
	r.waitUntil("the client has no reply pending", func() bool {
		for served := range r.server.conns.conns {
			if served.RemoteAddr().String() == c.LocalAddr().String() {
				return served.pending.Load() == 0
			}
		}
		return true
	})
}

// ping has a client send PING and be idle then.
func (r *rig) ping(c net.Conn, in *bufio.Reader) {
	r.t.Helper()
	send(c, encodeCommand("PING"))
	expectText(r.t, in, "+PONG\r\n")
	r.waitUntilIdle(c)
}

// serving reports whether Serve has been called.
func (r *rig) serving() bool {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return r.server.listener != nil
}

// roundTrip has a client send one request and get its response.
func (r *rig) roundTrip(c net.Conn, in *bufio.Reader) {
	r.t.Helper()
	r.served++ // an id is free only once its reply was written, which the client may see first
	id := fmt.Sprint("q", r.served)
	send(c, readCommand(id))
	<-r.broker.requests
	r.broker.response(id) <- success("v")
	expectText(r.t, in, "$1\r\nv\r\n")
	r.waitUntilIdle(c)
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

// expectText reads exactly what is expected.
func expectText(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	n, err := io.ReadFull(r, b)
	if string(b[:n]) != want {
		t.Fatalf("got %q (%v), want %q", b[:n], err, want)
	}
}

// expectEnd wants the connection closed with nothing more on it.
func expectEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Fatalf("got %q (%v), want the end", rest, err)
	}
}

// interceptingListener lets a test come between the server and the connections that it accepts.
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

// await waits for a state of a connection that its peer brings about. It may be called from any goroutine.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("timed out waiting for %s", what)
			return
		}
	}
}
