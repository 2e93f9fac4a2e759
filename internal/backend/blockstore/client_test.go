package blockstore

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 30 * time.Second

// Replies with the values v and w.
const (
	servedV = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
	servedW = "*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n"
)

func testLimits() *limits.Limits {
	return &limits.Limits{
		ConnectTimeout:            5_000_000,
		NodeIdleTimeout:           3_600_000_000,
		NodeReuseWindow:           3_600_000_000,
		MaxIdleConnsPerNode:       4,
		NodeConns:                 8,
		MaxValueBytes:             1 << 16,
		ResponseCompletionTimeout: clock.FromDuration(testTimeout),
	}
}

// startNode starts a node and returns its address. It calls serve for each connection; n counts connections from 0.
func startNode(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var (
		serving sync.WaitGroup
		mu      sync.Mutex
		conns   []net.Conn
	)
	serving.Go(func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			serving.Go(func() {
				defer closeConn(c)
				serve(n, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		closeConn(ln)
		mu.Lock()
		for _, c := range conns {
			closeConn(c)
		}
		mu.Unlock()
		serving.Wait()
	})
	return ln.Addr().String()
}

// closeConn closes a connection or listener. It ignores errors, since it may be closed already.
func closeConn(c io.Closer) { _ = c.Close() }

// send writes a node's reply. It ignores errors: a failed write changes the attempt's outcome.
func send(c io.Writer, reply string) { _, _ = io.WriteString(c, reply) }

// awaitByteOrEnd waits until the client sends a byte or closes the connection.
func awaitByteOrEnd(r io.ByteReader) { _, _ = r.ReadByte() }

// awaitCommand reads one command and discards it.
func awaitCommand(r *bufio.Reader) { _, _ = readCommand(r) }

// readCommand reads one complete command and returns its arguments, each followed by a space.
func readCommand(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	var all strings.Builder
	for n := int(line[1] - '0'); n > 0; n-- {
		if line, err = r.ReadString('\n'); err != nil {
			return "", err
		}
		size := 0
		for _, d := range strings.TrimSpace(line[1:]) {
			size = 10*size + int(d-'0')
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return "", err
		}
		all.Write(b[:size])
		all.WriteByte(' ')
	}
	return all.String(), nil
}

func testCommand() *Command {
	return &Command{
		Name:      []byte("BLK.WRITE"),
		BlockID:   []byte("7f3a9c21e0b4d655"),
		RequestID: []byte("id1"),
		Params:    []Param{{"c", "w"}, {"d", "480"}, {"k", "z"}, {"volume", "00"}},
		Body:      []byte("a\r\nb"),
		HasBody:   true,
	}
}

// fixture is a client with its own pool.
type fixture struct {
	pool   *pool.Pool
	client *Client
	clock  *clock.Clock
}

func newFixture(lim *limits.Limits) *fixture {
	c := clock.New()
	p := pool.New(lim, lim.NodeConns, c)
	return &fixture{pool: p, client: New(p, c, lim), clock: c}
}

// attempt returns an attempt at a node, of a command that is not idempotent.
func (f *fixture) attempt(addr string, timeout time.Duration) core.Attempt[*Command] {
	return core.Attempt[*Command]{
		Node:          core.Node{ID: "a", Addr: addr},
		Work:          testCommand(),
		NotIdempotent: true,
		Deadline:      f.clock.Now() + clock.FromDuration(timeout),
		MayStart:      func() bool { return true },
	}
}

func TestOutcomeAndValueOfReplies(t *testing.T) {
	for _, x := range []struct {
		name, reply string
		value       string
		want        core.Outcome
	}{
		{"served", "*3\r\n$4\r\nv\r\nw\r\n$-1\r\n$-1\r\n", "v\r\nw", core.Served},
		{"served with usage figures", "*3\r\n$1\r\nv\r\n*2\r\n:3\r\n$2\r\nxx\r\n$5\r\na:1.5\r\n", "v", core.Served},
		{"served empty", "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", "", core.Served},
		{"failed", "-ERR failed\r\n", "", core.NodeError},
		{"rejected", "-BUSY\r\n", "", core.Rejected},
		{"no value", "*1\r\n$-1\r\n", "", core.MalformedResponse},
		{"unexpected type", "+OK\r\n", "", core.MalformedResponse},
		{"unknown error", "-\x01\x02\r\n", "", core.MalformedResponse},
		{"null array", "*-1\r\n", "", core.MalformedResponse},
		{"value longer than its length", "*3\r\n$2\r\nvalue\r\n$-1\r\n$-1\r\n", "", core.MalformedResponse},
		{"value shorter than its length", "*3\r\n$7\r\nvalue\r\n$-1\r\n$-1\r\n", "", core.MalformedResponse},
		{"unterminated line", strings.Repeat("x", 8192), "", core.MalformedResponse},
		{"connection lost", "", "", core.ConnectionLost},
		{"connection lost within the reply", "*3\r\n$4\r\nv", "", core.ConnectionLost},
		{"not RESP2", "hello\r\n", "", core.MalformedResponse},
		{"value over the limit", "*3\r\n$3221225472\r\n" + strings.Repeat("y", 100000), "", core.MalformedResponse},
		{"malformed load report", "*3\r\n$1\r\nv\r\n$-1\r\n%%;\r\n", "v", core.Served},
		{"malformed usage figure", "*3\r\n$1\r\nv\r\n:12x\r\n$-1\r\n", "v", core.Served},
	} {
		t.Run(x.name, func(t *testing.T) {
			got := make(chan string, 1)
			addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
				cmd, _ := readCommand(r) // an incomplete command fails the comparison below
				got <- cmd
				send(c, x.reply)
			})
			f := newFixture(testLimits())
			v, out := f.client.Attempt(t.Context(), f.attempt(addr, testTimeout))
			if out != x.want || string(v) != x.value {
				t.Errorf("outcome %d, value %q, want %d, %q", out, v, x.want, x.value)
			}
			// All parameters are forwarded unchanged and in order, except d, which is the time left.
			if cmd := <-got; !strings.HasPrefix(cmd, "BLK.WRITE 7f3a9c21e0b4d655 id1 c=w,d=") ||
				!strings.HasSuffix(cmd, ",k=z,volume=00 a\r\nb ") || strings.Contains(cmd, "d=480,") {
				t.Errorf("the node received %q", cmd)
			}
		})
	}
}

// An attempt whose connection breaks before the last byte is written, or is refused, has an outcome that tells that
// nothing was executed.
func TestAttemptThatWasNotSentCompletely(t *testing.T) {
	addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
		awaitByteOrEnd(r) // the client would not use a connection that is reset earlier
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
		closeConn(c)
	})
	f := newFixture(testLimits())
	a := f.attempt(addr, testTimeout)
	a.Work.Body = make([]byte, 64<<20) // larger than any socket buffer
	if _, out := f.client.Attempt(t.Context(), a); out != core.SendIncomplete {
		t.Errorf("outcome %d, want %d", out, core.SendIncomplete)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeConn(ln)
	if _, out := f.client.Attempt(t.Context(), f.attempt(ln.Addr().String(), testTimeout)); out != core.ConnectFailed {
		t.Errorf("connection refused: outcome %d, want %d", out, core.ConnectFailed)
	}
}

// An attempt that times out or is cancelled closes its connection, and the command is not sent again.
func TestAbortedAttemptClosesItsConnection(t *testing.T) {
	for _, disconnect := range []bool{false, true} {
		var conns atomic.Int32
		received := make(chan struct{}, 2)
		closed := make(chan struct{}, 2)
		addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			awaitCommand(r)
			received <- struct{}{}
			awaitByteOrEnd(r)
			closed <- struct{}{}
		})
		f := newFixture(testLimits())
		ctx, cancel := context.WithCancel(t.Context())
		timeout := 50 * time.Millisecond
		want := core.TimedOut
		if disconnect {
			timeout = testTimeout
			want = core.Cancelled
			go func() {
				<-received
				cancel()
			}()
		}
		if _, out := f.client.Attempt(ctx, f.attempt(addr, timeout)); out != want && out != core.NotAttempted {
			t.Errorf("outcome %d, want %d", out, want)
		}
		<-closed
		cancel()
		if n := conns.Load(); n != 1 {
			t.Errorf("%d connections, want 1", n)
		}
	}
}

// Nothing is sent to a node that has begun to drain while the connection was established, nor after the deadline.
func TestAttemptThatMayNotStartIsNotSent(t *testing.T) {
	got := make(chan string, 1)
	addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
		cmd, _ := readCommand(r) // an incomplete command is an error, too
		got <- cmd
	})
	f := newFixture(testLimits())
	a := f.attempt(addr, testTimeout)
	a.MayStart = func() bool { return false }
	if _, out := f.client.Attempt(t.Context(), a); out != core.NotAttempted {
		t.Errorf("may not start: outcome %d, want %d", out, core.NotAttempted)
	}
	f.pool.CloseExpired()
	a.MayStart = func() bool { return true }
	a.Deadline = f.clock.Now() - 1
	if _, out := f.client.Attempt(t.Context(), a); out != core.NotAttempted {
		t.Errorf("after the deadline: outcome %d, want %d", out, core.NotAttempted)
	}
	select {
	case cmd := <-got:
		t.Errorf("the node received %q", cmd)
	default:
	}
}

func TestConnectionIsReusedForLaterAttempts(t *testing.T) {
	var conns atomic.Int32
	addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			if _, err := readCommand(r); err != nil {
				return
			}
			send(c, servedV)
		}
	})
	f := newFixture(testLimits())
	for range 5 {
		if _, out := f.client.Attempt(t.Context(), f.attempt(addr, testTimeout)); out != core.Served {
			t.Fatalf("outcome %d, want %d", out, core.Served)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for consecutive attempts, want 1", n)
	}
}

// A reply that stalls before its value is complete is malformed, well before the attempt's deadline. If it stalls after
// the value, only the connection is lost. An attempt at a node that sends nothing times out.
func TestStalledReplies(t *testing.T) {
	for _, x := range []struct {
		reply string
		want  core.Outcome
	}{
		{"*3\r\n$100\r\nv\r\n$-1\r\n$-1\r\n", core.MalformedResponse},
		{"*", core.MalformedResponse},
		{"*3\r\n$1\r\nv\r\n$-1\r\n", core.Served},
		{"", core.TimedOut},
	} {
		closed := make(chan struct{})
		addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
			awaitCommand(r)
			send(c, x.reply)
			awaitByteOrEnd(r)
			close(closed)
		})
		lim := testLimits()
		lim.ResponseCompletionTimeout = 1000
		timeout := testTimeout
		if x.want == core.TimedOut {
			timeout = time.Second
		}
		f := newFixture(lim)
		if _, out := f.client.Attempt(t.Context(), f.attempt(addr, timeout)); out != x.want {
			t.Errorf("%q: outcome %d, want %d", x.reply, out, x.want)
		}
		<-closed
	}
}

// A connection with input after the reply is not reused: the next attempt gets another connection and its own reply.
func TestConnectionWithUnrequestedInputIsNotReused(t *testing.T) {
	for _, reply := range []string{servedV + servedV, servedV + "noise", "*3\r\n$1\r\nv\r\n$-1\r\n!\r\n", "hello\r\n", "*1\r\n$-1\r\n"} {
		var conns atomic.Int32
		closed := make(chan struct{}, 2)
		addr := startNode(t, func(n int, c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			awaitCommand(r)
			if n == 0 {
				send(c, reply)
			} else {
				send(c, servedW)
			}
			awaitByteOrEnd(r)
			closed <- struct{}{}
		})
		f := newFixture(testLimits())
		f.client.Attempt(t.Context(), f.attempt(addr, testTimeout))
		<-closed
		if v, out := f.client.Attempt(t.Context(), f.attempt(addr, testTimeout)); out != core.Served || string(v) != "w" {
			t.Errorf("after %q: outcome %d, value %q, want %d, \"w\"", reply, out, v, core.Served)
		}
		if n := conns.Load(); n != 2 {
			t.Errorf("after %q: %d connections, want 2", reply, n)
		}
	}
}
