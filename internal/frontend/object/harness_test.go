package object

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/memory"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 30 * time.Second

const (
	firstRequest  = "GET /art/first HTTP/1.1\r\nHost: b\r\n\r\n"
	secondRequest = "GET /art/second HTTP/1.1\r\nHost: b\r\n\r\n"
)

// writeBufferBytes holds the longest response, so that the server never waits for a client.
const writeBufferBytes = 1 << 20

// minIdleTimeout is longer than all time limits of reads but the one for the next request of a connection.
const minIdleTimeout = 30 * time.Second

// testConfig lacks its closing brace, so that a test can add keys.
const testConfig = `{"name":"t","discovery":"127.0.0.1:1",
 "settings":{"balancers":1,"discovery":"ask","zones":["room"],
  "classes":[{"name":"any","aim_ns":20000000000,"give_up_ns":25000000000,"importance":1,"repeat":"retryable"},
   {"name":"once","aim_ns":20000000000,"give_up_ns":25000000000,"importance":1,"repeat":"fragile"}],
  "policies":[{"name":"basis","shares":1,"value_factor":1,"usual_rate":1000,"floor_rate":1000}],
  "contract":{"ask_within_ns":10000000000,"cold_from":0.5,"tip_after_ns":50000000,"warm_after_ns":100000000},
  "limits":{"send_cap":3,"connect_timeout_ns":2000000000},
  "specifics":{"mean_units":1,"max_units":8,"n_shards":2,"cold_bears":1000,"fair_worth":0.3}},
 "object":{"listen":"127.0.0.1:0","read_class":"any","write_class":"any","complete_class":"once","default_plan":"basis"}`

// drainTuning has a short time to the end of idle connections, and a deadline that no test reaches by chance.
const drainTuning = `,"tuning":{"drain_accept":1000,"drain_answer":60000000,"client_stall":1000,"client_linger":5000000}`

func testOptions(cfg *config.Config, maxConns int) Options {
	return Options{
		MaxConns: maxConns,
		Memory:   memory.NewBudget(cfg.Limits.MaxTotalBodyBytes),
		Pacing:   pacing.NewLimiter(1000, 1000),
	}
}

// fakeBroker answers each request with its target. Requests of held targets wait until they are released.
type fakeBroker struct {
	received chan string // targets
	padding  string      // appended to each response

	mu        sync.Mutex
	held      map[string]chan struct{}
	deadlines map[string]clock.Micros // by target
}

func newFakeBroker() *fakeBroker {
	return &fakeBroker{
		received:  make(chan string, 16),
		held:      map[string]chan struct{}{},
		deadlines: map[string]clock.Micros{},
	}
}

// hold makes requests of a target wait until the channel is closed.
func (b *fakeBroker) hold(target string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[target] = make(chan struct{})
	return b.held[target]
}

// deadline returns the deadline of the request of a target.
func (b *fakeBroker) deadline(target string) clock.Micros {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deadlines[target]
}

// Handle implements Broker.
func (b *fakeBroker) Handle(ctx context.Context, r core.Request[*objectstore.Request]) core.Response[*objectstore.Response] {
	b.received <- r.Work.Target
	b.mu.Lock()
	b.deadlines[r.Work.Target] = r.Deadline
	released := b.held[r.Work.Target]
	b.mu.Unlock()
	if released != nil {
		select {
		case <-released:
		case <-ctx.Done():
			return core.Response[*objectstore.Response]{Status: core.Failure}
		}
	}
	return core.Response[*objectstore.Response]{Value: &objectstore.Response{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   []byte(r.Work.Target + b.padding),
	}}
}

// closeHook is called with the server's side of a connection before the server closes it or its sending side.
type closeHook func(*net.TCPConn)

// heldListener wraps the connections that it accepts, and reports what the server does with them.
type heldListener struct {
	net.Listener
	beforeClose atomic.Pointer[closeHook] // nil by default
	accepted    chan struct{}             // receives a value for each connection
	hold        chan *readHold            // each holds the next read that returns bytes, when it returns
	holdTimeout chan *readHold            // each holds the next read that follows one that has timed out, before it reads
	idle        chan struct{}             // receives a value when the server waits for the next request of a connection
	interrupted chan struct{}             // receives a value when the server closes a connection or ends a read of it
}

func newHeldListener(ln net.Listener) *heldListener {
	const events = 64 // more than a test causes
	return &heldListener{
		Listener:    ln,
		accepted:    make(chan struct{}, events),
		hold:        make(chan *readHold, 1),
		holdTimeout: make(chan *readHold, 1),
		idle:        make(chan struct{}, events),
		interrupted: make(chan struct{}, events),
	}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	signal(l.accepted)
	tcp := c.(*net.TCPConn)
	if err := tcp.SetWriteBuffer(writeBufferBytes); err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: tcp, listener: l}, nil
}

// signal sends to a channel that no test lets fill up, except while it waits for the end of a listener.
func signal(events chan struct{}) {
	select {
	case events <- struct{}{}:
	default:
	}
}

// readHold holds a read of the server.
type readHold struct {
	holding  chan struct{} // closed when the read is held
	released chan struct{} // closed by the test
	conn     *net.TCPConn  // the server's side; set when the read is held
}

func newReadHold() *readHold {
	return &readHold{holding: make(chan struct{}), released: make(chan struct{})}
}

// wait holds the current read of conn.
func (h *readHold) wait(conn *net.TCPConn) {
	h.conn = conn
	close(h.holding)
	<-h.released
}

// heldConn delays the return of reads, so that a test can act after bytes were read and before the server uses them.
type heldConn struct {
	*net.TCPConn
	listener *heldListener
	closing  sync.Once
	timedOut bool // the last read has timed out
}

func (c *heldConn) Read(b []byte) (int, error) {
	if c.timedOut {
		c.waitIfArmed(c.listener.holdTimeout)
	}
	n, err := c.TCPConn.Read(b)
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	if n > 0 {
		c.waitIfArmed(c.listener.hold)
	}
	return n, err
}

func (c *heldConn) waitIfArmed(holds chan *readHold) {
	select {
	case h := <-holds:
		h.wait(c.TCPConn)
	default:
	}
}

func (c *heldConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	switch left := time.Until(t); {
	case t.IsZero():
	case left < 0:
		signal(c.listener.interrupted)
	case left > minIdleTimeout:
		signal(c.listener.idle)
	}
	return err
}

// CloseWrite closes the sending side.
func (c *heldConn) CloseWrite() error {
	c.closing.Do(c.callBeforeClose)
	return c.TCPConn.CloseWrite()
}

func (c *heldConn) callBeforeClose() {
	if hook := c.listener.beforeClose.Load(); hook != nil {
		(*hook)(c.TCPConn)
	}
}

func (c *heldConn) Close() error {
	c.closing.Do(c.callBeforeClose)
	err := c.TCPConn.Close()
	signal(c.listener.interrupted)
	return err
}

// drainHarness is a server on a loopback listener that passes requests to a fake broker.
type drainHarness struct {
	t        *testing.T
	server   *Server
	broker   *fakeBroker
	listener *heldListener
	drained  chan error
}

func newDrainHarness(t *testing.T, maxConns int) *drainHarness {
	t.Helper()
	return newPacedHarness(t, maxConns, pacing.NewLimiter(1000, 1000))
}

// newPacedHarness returns a harness whose clients are slowed down by pacer.
func newPacedHarness(t *testing.T, maxConns int, pacer *pacing.Limiter) *drainHarness {
	t.Helper()
	cfg, err := config.Parse([]byte(testConfig+drainTuning+"}"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &drainHarness{
		t:        t,
		broker:   newFakeBroker(),
		listener: newHeldListener(ln),
		drained:  make(chan error, 1),
	}
	options := testOptions(cfg, maxConns)
	options.Pacing = pacer
	h.server = New(h.broker, cfg, options, clock.New(), slog.New(slog.DiscardHandler))
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := h.server.Serve(h.listener); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = h.server.Drain(ctx) // returns the error of ctx if the test has left connections open
		<-served
	})
	return h
}

// client is a client connection.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// dial returns a client whose connection the server has accepted.
func (h *drainHarness) dial() *client {
	h.t.Helper()
	return h.dialWith(&net.Dialer{})
}

// dialWithSmallBuffer returns a client that receives little of a response before it reads.
func (h *drainHarness) dialWithSmallBuffer() *client {
	h.t.Helper()
	const bufferBytes = 4096
	return h.dialWith(&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
		return errors.Join(err, setErr)
	}})
}

func (h *drainHarness) dialWith(dialer *net.Dialer) *client {
	h.t.Helper()
	nc, err := dialer.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = nc.Close() })
	<-h.listener.accepted
	if err := nc.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		h.t.Fatal(err)
	}
	return &client{nc, h.t, bufio.NewReader(nc)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// expectResponse reads a response, fails the test unless it answers the target, and returns whether it announces the
// end of the connection.
func (c *client) expectResponse(target string) (lastOne bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("%.40s: no response: %v", target, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != target || resp.StatusCode != http.StatusOK {
		c.t.Fatalf("%.40s: status %d, %d bytes that begin with %.40q, error %v", target, resp.StatusCode, len(body), body, err)
	}
	return resp.Close
}

// expectEnd fails the test unless the server has ended the connection in order.
func (c *client) expectEnd() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Fatalf("got %.40q (%v), want the end of the connection", rest, err)
	}
}

// expectNoAnswer fails the test if anything comes before the server ends or resets the connection.
func (c *client) expectNoAnswer() {
	c.t.Helper()
	if rest, _ := io.ReadAll(c.in); len(rest) > 0 { // a reset is an end, too
		c.t.Errorf("got %.60q, want nothing", rest)
	}
}

// roundTrip sends a request and receives its response.
func (c *client) roundTrip() {
	c.t.Helper()
	c.send(firstRequest)
	c.expectResponse("/art/first")
}

// holdRequest makes a client send a request on a connection that waits for one, and holds it when it has been read.
func (h *drainHarness) holdRequest(c *client, request string) *readHold {
	h.t.Helper()
	hold := newReadHold()
	h.listener.hold <- hold
	c.send(request)
	<-hold.holding
	return hold
}

// idleClient returns a client whose first request has been answered and whose connection waits for the next one.
func (h *drainHarness) idleClient() *client {
	h.t.Helper()
	c := h.dial()
	c.roundTrip()
	<-h.broker.received
	<-h.listener.idle
	for len(h.listener.interrupted) > 0 {
		<-h.listener.interrupted // net/http ends its own read that watches for a disconnect
	}
	return c
}

// startDrain starts the drain and returns once the server accepts no more clients.
func (h *drainHarness) startDrain() {
	h.t.Helper()
	go func() { h.drained <- h.server.Drain(context.Background()) }()
	eventually(h.t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", h.listener.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

// expectDrained fails the test unless Drain returns nil.
func (h *drainHarness) expectDrained() {
	h.t.Helper()
	select {
	case err := <-h.drained:
		if err != nil {
			h.t.Error(err)
		}
	case <-time.After(testTimeout):
		h.t.Fatal("Drain has not returned")
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
