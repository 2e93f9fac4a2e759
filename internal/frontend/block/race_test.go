package block

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"poppyarch/internal/transport/socket"
)

// These tests force a client's step between two steps of the server: the server's side of the connection waits until the
// client's step has arrived.

// crossedConn has its peer send more at the moment this side closes the connection.
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
	_ = c.end(c.TCPConn.Close) // returned again below
	return c.TCPConn.Close()
}

// A client that sends a request and disconnects before the server has read it gets no attempt.
func TestRequestOfADisconnectedClientIsNotExecuted(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newInterceptedRig(t, testLimits(), 8, func(c *net.TCPConn) net.Conn {
			await(t, "the client's disconnect", func() bool { return socket.PeerClosed(c) })
			return c
		})
		c, err := net.Dial("tcp", r.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		send(c, readCommand("a")+readCommand("b"))
		if reset {
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
		}
		disconnect(c)
		// Once a later connection is over, the earlier one has been decided on.
		r2, err := net.Dial("tcp", r.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		disconnect(r2)
		r.waitUntil("both connections are over", func() bool { return len(r.server.conns.conns) == 0 && r.server.inFlight.count() == 0 })
		if n := len(r.broker.requests); n > 0 {
			t.Errorf("reset %v: %d requests of a disconnected client were executed", reset, n)
		}
	}
}

// After QUIT or malformed input the server reads no more, so that only ClientGone can detect a disconnect.
func TestDisconnectAfterTheLastCommandIsDetected(t *testing.T) {
	for _, last := range []string{encodeCommand("QUIT"), "nonsense\r\n"} {
		r := newRig(t, testLimits(), 4)
		c, _ := r.dial()
		send(c, readCommand("a")+last)
		q := <-r.broker.requests
		if q.ClientGone == nil || q.ClientGone() {
			t.Fatalf("%q: ClientGone reports a connected client as gone", last)
		}
		disconnect(c)
		await(t, "the disconnect to be detected", q.ClientGone)
		r.broker.response("a") <- success("v")
	}
}

// The end of the stream follows commands that the server does not read while too many are in flight.
func TestDisconnectBehindUnreadCommandsIsDetected(t *testing.T) {
	lim := testLimits()
	lim.MaxPipeline = 1
	r := newRig(t, lim, 4)
	c, _ := r.dial()
	var all strings.Builder
	for i := range 12 {
		all.WriteString(readCommand(string(rune('a' + i))))
	}
	send(c, all.String())
	q := <-r.broker.requests
	disconnect(c)
	await(t, "the disconnect to be detected", q.ClientGone)
	for i := range 12 {
		r.broker.response(string(rune('a' + i))) <- success("v")
	}
	r.waitUntil("the connection is over", func() bool { return len(r.server.conns.conns) == 0 })
}

// A request crosses the close of a connection whose client is still reading the last reply. The unread request must not
// reset the connection, or the client would lose the rest of the reply.
func TestReplyIsDeliveredWhenARequestCrossesTheClose(t *testing.T) {
	var client net.Conn
	cross, over := make(chan struct{}), make(chan struct{})
	r := newInterceptedRig(t, testLimits(), 8, func(c *net.TCPConn) net.Conn {
		if err := c.SetWriteBuffer(1 << 20); err != nil {
			t.Error(err)
		}
		return &crossedConn{TCPConn: c, ended: over, cross: func() {
			<-cross
			send(client, readCommand("late"))
			await(t, "the request that crosses", func() bool { return socket.Peek(c) == socket.Readable })
		}}
	})
	slow := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		return errors.Join(err, setErr)
	}}
	client, err := slow.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer disconnect(client)
	if err := client.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	big := strings.Repeat("x", 60_000)
	send(client, readCommand("a"))
	<-r.broker.requests
	r.broker.response("a") <- success(big)
	r.waitUntil("the reply counts as sent", func() bool {
		for served := range r.server.conns.conns {
			return served.hasRequested.Load() && served.pending.Load() == 0
		}
		return false
	})
	close(cross)
	ended := make(chan error, 1)
	go func() { ended <- r.server.Drain(context.Background()) }()
	<-over // only now does the client read what does not fit its receive buffer
	got, err := io.ReadAll(client)
	if want := "$60000\r\n" + big + "\r\n"; err != nil || string(got) != want {
		t.Errorf("the client got %d of %d bytes, then %v", len(got), len(want), err)
	}
	disconnect(client)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if n := len(r.broker.requests); n > 0 {
		t.Errorf("%d requests that crossed the close were executed", n)
	}
}
