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

// testTimeout is how long a test waits for what must happen.
const testTimeout = 30 * time.Second

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

// startNode accepts connections and calls serve for each with its number. It returns its address.
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

// closeConn closes what may be closed already.
func closeConn(c io.Closer) { _ = c.Close() }

// send writes a node's reply. A failed write shows in the attempt's outcome.
func send(c io.Writer, reply string) { _, _ = io.WriteString(c, reply) }

// awaitByteOrEnd waits until the client sends something or closes the connection.
func awaitByteOrEnd(r io.ByteReader) { _, _ = r.ReadByte() }

// awaitCommand reads one command, of which the test needs nothing.
func awaitCommand(r *bufio.Reader) { _, _ = readCommand(r) }

// readCommand reads one whole command.
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

// rig is a client on a pool of its own.
type rig struct {
	pool   *pool.Pool
	client *Client
	clock  *clock.Clock
}

func newRig(lim *limits.Limits) *rig {
	c := clock.New()
	p := pool.New(lim, lim.NodeConns, c)
	return &rig{pool: p, client: New(p, c, lim), clock: c}
}

// attempt returns an attempt of a command that is not idempotent.
func (r *rig) attempt(addr string, timeout time.Duration) core.Attempt[*Command] {
	return core.Attempt[*Command]{
		Node:          core.Node{ID: "a", Addr: addr},
		Work:          testCommand(),
		NotIdempotent: true,
		Deadline:      r.clock.Now() + clock.FromDuration(timeout),
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
		{"value longer than it says", "*3\r\n$2\r\nvalue\r\n$-1\r\n$-1\r\n", "", core.MalformedResponse},
		{"value shorter than it says", "*3\r\n$7\r\nvalue\r\n$-1\r\n$-1\r\n", "", core.MalformedResponse},
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
				cmd, _ := readCommand(r) // an incomplete one shows as a wrong command
				got <- cmd
				send(c, x.reply)
			})
			r := newRig(testLimits())
			v, out := r.client.Attempt(t.Context(), r.attempt(addr, testTimeout))
			if out != x.want || string(v) != x.value {
				t.Errorf("%d %q, want %d %q", out, v, x.want, x.value)
			}
			// All parameters are passed on unchanged and in order, except d, which is the time left.
			if cmd := <-got; !strings.HasPrefix(cmd, "BLK.WRITE 7f3a9c21e0b4d655 id1 c=w,d=") ||
				!strings.HasSuffix(cmd, ",k=z,volume=00 a\r\nb ") || strings.Contains(cmd, "d=480,") {
				t.Errorf("the node got %q", cmd)
			}
		})
	}
}

// If the connection breaks before the last byte is written, or is refused, nothing was executed.
func TestAttemptThatWasNotSentCompletely(t *testing.T) {
	addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
		awaitByteOrEnd(r) // a connection reset earlier would not be used
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
		closeConn(c)
	})
	r := newRig(testLimits())
	a := r.attempt(addr, testTimeout)
	a.Work.Body = make([]byte, 64<<20) // more than any socket buffer takes
	if _, out := r.client.Attempt(t.Context(), a); out != core.SendIncomplete {
		t.Errorf("outcome %d", out)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeConn(ln)
	if _, out := r.client.Attempt(t.Context(), r.attempt(ln.Addr().String(), testTimeout)); out != core.ConnectFailed {
		t.Errorf("connection refused: outcome %d", out)
	}
}

// An attempt that times out or is cancelled closes its connection, and nothing is written again.
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
		r := newRig(testLimits())
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
		if _, out := r.client.Attempt(ctx, r.attempt(addr, timeout)); out != want && out != core.NotAttempted {
			t.Errorf("outcome %d, want %d", out, want)
		}
		<-closed
		cancel()
		if n := conns.Load(); n != 1 {
			t.Errorf("%d connections", n)
		}
	}
}

// A node that has begun to drain while the connection was established gets nothing, nor does one after the deadline.
func TestAttemptThatMayNotStartIsNotSent(t *testing.T) {
	got := make(chan string, 1)
	addr := startNode(t, func(_ int, c net.Conn, r *bufio.Reader) {
		cmd, _ := readCommand(r) // an incomplete one shows as a wrong command
		got <- cmd
	})
	r := newRig(testLimits())
	a := r.attempt(addr, testTimeout)
	a.MayStart = func() bool { return false }
	if _, out := r.client.Attempt(t.Context(), a); out != core.NotAttempted {
		t.Errorf("outcome %d", out)
	}
	r.pool.CloseExpired()
	a.MayStart = func() bool { return true }
	a.Deadline = r.clock.Now() - 1
	if _, out := r.client.Attempt(t.Context(), a); out != core.NotAttempted {
		t.Errorf("late: outcome %d", out)
	}
	select {
	case cmd := <-got:
		t.Errorf("the node got %q", cmd)
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
	r := newRig(testLimits())
	for range 5 {
		if _, out := r.client.Attempt(t.Context(), r.attempt(addr, testTimeout)); out != core.Served {
			t.Fatalf("outcome %d", out)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for attempts in a row", n)
	}
}

// A reply that begins and stalls is malformed well before the attempt's deadline; if it stalls after the value, only the
// connection is lost. A node that sends nothing has timed out.
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
		r := newRig(lim)
		if _, out := r.client.Attempt(t.Context(), r.attempt(addr, timeout)); out != x.want {
			t.Errorf("%q: outcome %d, want %d", x.reply, out, x.want)
		}
		<-closed
	}
}

// A connection on which more than a reply has come is not reused: the next attempt gets another one, and its own reply.
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
		r := newRig(testLimits())
		r.client.Attempt(t.Context(), r.attempt(addr, testTimeout))
		<-closed
		if v, out := r.client.Attempt(t.Context(), r.attempt(addr, testTimeout)); out != core.Served || string(v) != "w" {
			t.Errorf("after %q: %d %q", reply, out, v)
		}
		if n := conns.Load(); n != 2 {
			t.Errorf("after %q: %d connections, want 2", reply, n)
		}
	}
}
