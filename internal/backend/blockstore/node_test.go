package blockstore

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
)

const patience = 30 * time.Second

var lim = &limits.Limits{ConnectTimeout: 5_000_000, NodeIdleTimeout: 3_600_000_000, NodeReuseWindow: 3_600_000_000, MaxIdleConnsPerNode: 4,
	NodeConns: 8, MaxValueBytes: 1 << 16, ResponseCompletionTimeout: patience.Microseconds()}

// server accepts connections and hands each to serve with its number.
func server(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

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

func command() *Command {
	return &Command{Name: []byte("BLK.WRITE"), BlockID: []byte("7f3a9c21e0b4d655"), RequestID: []byte("id1"), HasBody: true,
		Body: []byte("a\r\nb"), Params: []Param{{"c", "w"}, {"d", "480"}, {"k", "z"}, {"volume", "00"}}}
}

type rig struct {
	pool   *pool.Pool
	client *Client
	clock  *clock.Clock
}

func newRig() *rig {
	c := clock.New()
	p := pool.New(lim, lim.NodeConns, c)
	return &rig{p, New(p, c, lim), c}
}

func (r *rig) attempt(addr string, wait time.Duration) core.Attempt[*Command] {
	return core.Attempt[*Command]{Node: core.Node{ID: "a", Addr: addr}, Work: command(), NotIdempotent: true,
		Deadline: r.clock.Now() + wait.Microseconds(), MayStart: func() bool { return true }}
}

func TestOutcomes(t *testing.T) {
	for _, x := range []struct {
		name, reply string
		value       string
		want        core.Outcome
	}{
		{"served", "*3\r\n$4\r\nv\r\nw\r\n$-1\r\n$-1\r\n", "v\r\nw", core.Served},
		{"served with figures", "*3\r\n$1\r\nv\r\n*2\r\n:3\r\n$2\r\nxx\r\n$5\r\na:1.5\r\n", "v", core.Served},
		{"served empty", "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", "", core.Served},
		{"failed", "-ERR failed\r\n", "", core.NodeError},
		{"turned away", "-BUSY\r\n", "", core.Rejected},
		{"no value", "*1\r\n$-1\r\n", "", core.MalformedResponse},
		{"odd kind", "+OK\r\n", "", core.MalformedResponse},
		{"odd error", "-\x01\x02\r\n", "", core.MalformedResponse},
		{"no array", "*-1\r\n", "", core.MalformedResponse},
		{"value longer than it says", "*3\r\n$2\r\nvalue\r\n$-1\r\n$-1\r\n", "", core.MalformedResponse},
		{"value shorter than it says", "*3\r\n$7\r\nvalue\r\n$-1\r\n$-1\r\n", "", core.MalformedResponse},
		{"line without end", strings.Repeat("x", 8192), "", core.MalformedResponse},
		{"lost", "", "", core.ConnectionLost},
		{"lost in the middle", "*3\r\n$4\r\nv", "", core.ConnectionLost},
		{"garbage", "hello\r\n", "", core.MalformedResponse},
		{"too long", "*3\r\n$3221225472\r\n" + strings.Repeat("y", 100000), "", core.MalformedResponse},
		{"report that cannot be read", "*3\r\n$1\r\nv\r\n$-1\r\n%%;\r\n", "v", core.Served},
		{"figure that cannot be read", "*3\r\n$1\r\nv\r\n:12x\r\n$-1\r\n", "v", core.Served},
	} {
		t.Run(x.name, func(t *testing.T) {
			got := make(chan string, 1)
			addr := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
				cmd, _ := readCommand(r)
				got <- cmd
				io.WriteString(c, x.reply)
			})
			r := newRig()
			v, out := r.client.Attempt(t.Context(), r.attempt(addr, patience))
			if out != x.want || string(v) != x.value {
				t.Errorf("%d %q, want %d %q", out, v, x.want, x.value)
			}
			// All passes on unchanged and in order but d, which is what is left.
			if cmd := <-got; !strings.HasPrefix(cmd, "BLK.WRITE 7f3a9c21e0b4d655 id1 c=w,d=") ||
				!strings.HasSuffix(cmd, ",k=z,volume=00 a\r\nb ") || strings.Contains(cmd, "d=480,") {
				t.Errorf("the node got %q", cmd)
			}
		})
	}
}

// A connection that breaks before the last byte is written proves that nothing ran.
func TestBreakBeforeTheLastByte(t *testing.T) {
	addr := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		r.ReadByte() // cut before this, it would be a connection that was never lent
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	r := newRig()
	a := r.attempt(addr, patience)
	a.Work.Body = make([]byte, 64<<20) // more than any socket buffer takes
	if _, out := r.client.Attempt(t.Context(), a); out != core.SendIncomplete {
		t.Errorf("outcome %d", out)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if _, out := r.client.Attempt(t.Context(), r.attempt(ln.Addr().String(), patience)); out != core.ConnectFailed {
		t.Errorf("refused: outcome %d", out)
	}
}

// Giving up closes the connection, whether time ran out or the client left, and nothing is written again.
func TestGivingUpClosesTheConnection(t *testing.T) {
	for _, leave := range []bool{false, true} {
		var conns atomic.Int32
		got, closed := make(chan struct{}, 2), make(chan struct{}, 2)
		addr := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			readCommand(r)
			got <- struct{}{}
			r.ReadByte()
			closed <- struct{}{}
		})
		r := newRig()
		ctx, cancel := context.WithCancel(t.Context())
		wait, want := 50*time.Millisecond, core.TimedOut
		if leave {
			wait, want = patience, core.Cancelled
			go func() {
				<-got
				cancel()
			}()
		}
		if _, out := r.client.Attempt(ctx, r.attempt(addr, wait)); out != want && out != core.NotAttempted {
			t.Errorf("outcome %d, want %d", out, want)
		}
		<-closed
		cancel()
		if n := conns.Load(); n != 1 {
			t.Errorf("%d connections", n)
		}
	}
}

// A node that began to drain while its connection came up gets nothing.
func TestDrainStateIsAskedAfterDialling(t *testing.T) {
	got := make(chan string, 1)
	addr := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		cmd, _ := readCommand(r)
		got <- cmd
	})
	r := newRig()
	a := r.attempt(addr, patience)
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

// Connections are used again, one attempt at a time.
func TestConnectionsAreUsedAgain(t *testing.T) {
	var conns atomic.Int32
	addr := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			if _, err := readCommand(r); err != nil {
				return
			}
			io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		}
	})
	r := newRig()
	for range 5 {
		if _, out := r.client.Attempt(t.Context(), r.attempt(addr, patience)); out != core.Served {
			t.Fatalf("outcome %d", out)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for attempts in a row", n)
	}
}

// An answer that begins and goes no further is spoilt well before the attempt's time is up; behind a whole value the
// same costs the connection only. A node that says nothing has timed out.
func TestAnswersThatStandStill(t *testing.T) {
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
		addr := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readCommand(r)
			io.WriteString(c, x.reply)
			r.ReadByte()
			close(closed)
		})
		l := *lim
		l.ResponseCompletionTimeout = 1000
		c := clock.New()
		client, wait := New(pool.New(&l, l.NodeConns, c), c, &l), patience
		if x.want == core.TimedOut {
			wait = time.Second
		}
		if _, out := client.Attempt(t.Context(), (&rig{clock: c}).attempt(addr, wait)); out != x.want {
			t.Errorf("%q: outcome %d, want %d", x.reply, out, x.want)
		}
		<-closed
	}
}

// Whatever comes with an answer and is not its own makes the connection useless: the next attempt gets another one,
// and with it the answer that was made for it.
func TestMoreThanTheAnswerEndsTheConnection(t *testing.T) {
	const good = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
	for _, reply := range []string{good + good, good + "noise", "*3\r\n$1\r\nv\r\n$-1\r\n!\r\n", "hello\r\n", "*1\r\n$-1\r\n"} {
		var conns atomic.Int32
		closed := make(chan struct{}, 2)
		addr := server(t, func(n int, c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			readCommand(r)
			if n == 0 {
				io.WriteString(c, reply)
			} else {
				io.WriteString(c, "*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n")
			}
			r.ReadByte()
			closed <- struct{}{}
		})
		r := newRig()
		r.client.Attempt(t.Context(), r.attempt(addr, patience))
		<-closed
		if v, out := r.client.Attempt(t.Context(), r.attempt(addr, patience)); out != core.Served || string(v) != "w" {
			t.Errorf("after %q: %d %q", reply, out, v)
		}
		if n := conns.Load(); n != 2 {
			t.Errorf("after %q: %d connections, want 2", reply, n)
		}
	}
}

// FuzzReply: whatever a node sends, in whatever pieces, reading it ends without a panic, holds no more than a
// bounded value, and depends on the bytes alone.
func FuzzReply(f *testing.F) {
	for _, s := range []string{"*3\r\n$4\r\nv\r\nw\r\n$-1\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n*2\r\n:3\r\n$2\r\nxx\r\n$5\r\na:1.5\r\n",
		"-ERR failed\r\n", "-BUSY\r\n", "*1\r\n$-1\r\n", "+PONG\r\n", "*-1\r\n", "$99999999999\r\n", "*3\r\n*9\r\n*9\r\n"} {
		f.Add([]byte(s), uint8(1))
		f.Add([]byte(s[:len(s)/2]), uint8(3))
	}
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		one, err1 := readReply(bufio.NewReader(bytes.NewReader(b)), 64)
		two, err2 := readReply(bufio.NewReader(&slow{b, int(step%7) + 1}), 64)
		if (err1 == nil) != (err2 == nil) || !bytes.Equal(one.value, two.value) || one.err != two.err ||
			one.spoilt != two.spoilt || len(one.value) > 64 {
			t.Errorf("%q %v against %q %v", one.value, err1, two.value, err2)
		}
	})
}

// slow gives a few bytes a read.
type slow struct {
	b    []byte
	step int
}

func (s *slow) Read(p []byte) (int, error) {
	if len(s.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.b[:min(s.step, len(s.b))])
	s.b = s.b[n:]
	return n, nil
}
