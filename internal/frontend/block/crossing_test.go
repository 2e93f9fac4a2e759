package block

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// These tests force what a client does to fall between two steps of the front: the front's side of the connection waits at
// a barrier until the client's step has arrived.

// stepListener lets a test come between the front and a connection that it accepts.
type stepListener struct {
	net.Listener
	accepted func(*net.TCPConn) net.Conn
}

func (l *stepListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.accepted(c.(*net.TCPConn)), nil
}

// newStepRig is a rig whose front gets what accepted makes of each connection.
func newStepRig(t *testing.T, lim *limits.Limits, accepted func(*net.TCPConn) net.Conn) *rig {
	t.Helper()
	b := &broker{waiting: map[string]chan core.Response[[]byte]{}, came: make(chan core.Request[*blockstore.Command], 64), left: make(chan string, 64)}
	f := New(b, testNames(lim), 8, clock.New(), lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(&stepListener{ln, accepted})
	return &rig{t, f, b, ln, 0}
}

// await waits for a state of a connection that its peer brings about.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Error("never came: " + what)
			return
		}
	}
}

// A client sends a request and goes before the front has looked at its connection. Read then, the request was taken, and its attempt
// began long after the client had gone.
func TestRequestOfAClientThatHasGoneIsNotTaken(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newStepRig(t, testLimits(), func(c *net.TCPConn) net.Conn {
			await(t, "the client's end", func() bool { return socket.PeerClosed(c) })
			return c
		})
		c, err := net.Dial("tcp", r.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, read("a")+read("b"))
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		// One that comes later is served, and what came before it has been decided on by then.
		r2, err := net.Dial("tcp", r.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		r2.Close()
		r.until("both connections are over", func() bool { return len(r.front.conns) == 0 && len(r.front.ids) == 0 })
		if n := len(r.broker.came); n > 0 {
			t.Errorf("reset %v: %d requests of a client that had gone were taken", reset, n)
		}
	}
}

// Behind QUIT, or a command that cannot be read, the front does not read on while it owes an answer, so it hears nothing of a client
// that goes. Whoever is about to begin an attempt can still look.
func TestClientThatGoesBehindItsLastCommandIsNoticed(t *testing.T) {
	for _, last := range []string{words("QUIT"), "nonsense\r\n"} {
		r := newRig(t, testLimits(), 4)
		c, _ := r.dial()
		io.WriteString(c, read("a")+last)
		q := <-r.broker.came
		if q.ClientGone == nil || q.ClientGone() {
			t.Fatalf("%q: the client is there", last)
		}
		c.Close()
		await(t, "word that the client has gone", q.ClientGone)
		r.broker.ask("a") <- value("v")
	}
}

// The same where more commands wait on a connection than are taken at once: its end stands behind unread bytes.
func TestClientThatGoesWithCommandsUnreadIsNoticed(t *testing.T) {
	lim := testLimits()
	lim.MaxPipeline = 1
	r := newRig(t, lim, 4)
	c, _ := r.dial()
	var all strings.Builder
	for i := range 12 {
		all.WriteString(read(string(rune('a' + i))))
	}
	io.WriteString(c, all.String())
	q := <-r.broker.came
	c.Close()
	await(t, "word that the client has gone", q.ClientGone)
	for i := range 12 {
		r.broker.ask(string(rune('a' + i))) <- value("v")
	}
	r.until("the connection is over", func() bool { return len(r.front.conns) == 0 })
}

// What was taken before a drain is answered before the process may be killed, however long its client would wait; and what
// comes after that moment is refused, since nothing could come back in time.
func TestDrainAnswersEverythingInItsTime(t *testing.T) {
	lim := testLimits()
	lim.DrainAnswerTime, lim.DrainServeTime = 50_000, 3_600_000_000
	r := newRig(t, lim, 4)
	c, in := r.dial()
	io.WriteString(c, read("a")) // no node ever answers it
	<-r.broker.came
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		r.front.Drain(ctx)
		close(ended)
	}()
	expectText(t, in, "-ERR failed\r\n")
	io.WriteString(c, read("b"))
	expectText(t, in, "-BUSY 150\r\n")
	cancel()
	<-ended
}

// crossedConn has its peer send more in the moment in which this side ends the connection.
type crossedConn struct {
	*net.TCPConn
	once  sync.Once
	cross func()
	ended chan struct{} // closed when this side has ended the connection
}

func (c *crossedConn) end(how func() error) (err error) {
	c.once.Do(func() {
		c.cross()
		err = how()
		close(c.ended)
	})
	return err
}

func (c *crossedConn) CloseWrite() error { return c.end(c.TCPConn.CloseWrite) }

func (c *crossedConn) Close() error {
	c.end(c.TCPConn.Close)
	return c.TCPConn.Close()
}

// A request crosses the end of a connection whose client is still taking the last answer. Closing over the unread request reset the
// connection, and the client never got the rest of an answer that counted as given.
func TestAnswerSurvivesARequestThatCrossesTheEnd(t *testing.T) {
	var client net.Conn
	cross, over := make(chan struct{}), make(chan struct{})
	r := newStepRig(t, testLimits(), func(c *net.TCPConn) net.Conn {
		c.SetWriteBuffer(1 << 20)
		return &crossedConn{TCPConn: c, ended: over, cross: func() {
			<-cross
			io.WriteString(client, read("late"))
			await(t, "the request that crosses", func() bool { return socket.Peek(c) == socket.Readable })
		}}
	})
	slow := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	client, err := slow.Dial("tcp", r.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(patience))
	big := strings.Repeat("x", 60_000)
	io.WriteString(client, read("a"))
	<-r.broker.came
	r.broker.ask("a") <- value(big)
	r.until("the answer counts as given", func() bool {
		for cl := range r.front.conns {
			return cl.asked.Load() && cl.owed.Load() == 0
		}
		return false
	})
	close(cross)
	ended := make(chan error, 1)
	go func() { ended <- r.front.Drain(context.Background()) }()
	<-over // only now does the client take what its side has no room for
	got, err := io.ReadAll(client)
	if want := "$60000\r\n" + big + "\r\n"; err != nil || string(got) != want {
		t.Errorf("the client got %d of %d bytes, then %v", len(got), len(want), err)
	}
	client.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if n := len(r.broker.came); n > 0 {
		t.Errorf("%d requests that crossed the end were sent on", n)
	}
}

// Clients that send a byte now and then hold every place. None of them ever stops within its command, but one has to go for a client
// that has something to say; only after those that are idle, though.
func TestSlowClientsMakeRoomLast(t *testing.T) {
	lim := testLimits()
	lim.ClientStallTimeout = 1_000_000
	r := newRig(t, lim, 3)
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	for i := range 2 {
		c, _ := r.dial()
		io.WriteString(c, "*1\r\n")
		r.until("its half command is read", func() bool {
			n := 0
			for cl := range r.front.conns {
				if cl.mid.Load() {
					n++
				}
			}
			return n == i+1
		})
	}
	r.front.mu.Lock()
	for cl := range r.front.conns {
		cl.began.Add(-2 * lim.ClientStallTimeout) // as if it had gone on for so long
		cl.last.Store(r.front.clock.Now() + 3_600_000_000)
	}
	r.front.mu.Unlock()
	c, in := r.dial()
	r.ping(c, in)
	expectEnd(t, idleIn)
	r.until("both slow ones are there", func() bool { return len(r.front.conns) == 3 })
	r.ask(c, in)
	r.front.mu.Lock()
	for cl := range r.front.conns {
		if !cl.mid.Load() {
			cl.owed.Add(1) // as if it waited for an answer
		}
	}
	r.front.mu.Unlock()
	c, in = r.dial()
	r.ping(c, in)
}
