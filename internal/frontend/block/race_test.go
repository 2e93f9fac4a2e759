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

// These tests make a client act between two steps of the server: the server's side of the connection waits until the
// effect of the client's action has arrived.

// lateInputConn makes its peer send input immediately before this side closes the connection.
type lateInputConn struct {
	*net.TCPConn
	once     sync.Once
	sendLate func()        // makes the peer send input and waits until it has arrived
	closed   chan struct{} // closed after this side has closed the connection or its sending side
}

// closeOnce calls closeConn after sendLate. It has no effect after the first call.
func (c *lateInputConn) closeOnce(closeConn func() error) (err error) {
	c.once.Do(func() {
		c.sendLate()
		err = closeConn()
		close(c.closed)
	})
	return err
}

func (c *lateInputConn) CloseWrite() error { return c.closeOnce(c.TCPConn.CloseWrite) }

func (c *lateInputConn) Close() error {
	_ = c.closeOnce(c.TCPConn.Close) // the call below returns the error of a closed connection
	return c.TCPConn.Close()
}

// A request is not executed if its client disconnects before the server reads the request.
func TestRequestOfADisconnectedClientIsNotExecuted(t *testing.T) {
	for _, reset := range []bool{false, true} {
		h := newInterceptedHarness(t, testLimits(), 8, func(c *net.TCPConn) net.Conn {
			await(t, "the client's disconnect", func() bool { return socket.PeerClosed(c) })
			return c
		})
		c, err := net.Dial("tcp", h.listener.Addr().String())
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
		// Connections are accepted in order: once the later one has ended, the earlier one has been accepted.
		later, err := net.Dial("tcp", h.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		disconnect(later)
		h.waitUntil("both connections have ended", func() bool { return len(h.server.conns.conns) == 0 && h.server.inFlight.count() == 0 })
		if n := len(h.broker.requests); n > 0 {
			t.Errorf("with reset %v: %d requests of a disconnected client were executed", reset, n)
		}
	}
}

// After QUIT or malformed input the server reads no further input, so that only ClientDisconnected can detect a
// disconnect.
func TestDisconnectAfterTheLastCommandIsDetected(t *testing.T) {
	for _, last := range []string{encodeCommand("QUIT"), "nonsense\r\n"} {
		h := newHarness(t, testLimits(), 4)
		c, _ := h.dial()
		send(c, readCommand("a")+last)
		req := <-h.broker.requests
		if req.ClientDisconnected == nil || req.ClientDisconnected() {
			t.Fatalf("%q: ClientDisconnected is missing or reports a connected client as disconnected", last)
		}
		disconnect(c)
		await(t, "the disconnect to be detected", req.ClientDisconnected)
		h.broker.response("a") <- success("v")
	}
}

// A disconnect is detected even if unread commands precede the end of the stream. The server does not read them while
// too many requests are in flight.
func TestDisconnectBehindUnreadCommandsIsDetected(t *testing.T) {
	lim := testLimits()
	lim.MaxPipeline = 1
	h := newHarness(t, lim, 4)
	c, _ := h.dial()
	var all strings.Builder
	for i := range 12 {
		all.WriteString(readCommand(string(rune('a' + i))))
	}
	send(c, all.String())
	req := <-h.broker.requests
	disconnect(c)
	await(t, "the disconnect to be detected", req.ClientDisconnected)
	for i := range 12 {
		h.broker.response(string(rune('a' + i))) <- success("v")
	}
	h.waitUntil("the connection has ended", func() bool { return len(h.server.conns.conns) == 0 })
}

// A request arrives while the server closes a connection whose client is still reading the last reply. The unread
// request must not reset the connection, or the client would lose the rest of the reply.
func TestReplyIsDeliveredWhenARequestCrossesTheClose(t *testing.T) {
	var client net.Conn
	mayClose, closed := make(chan struct{}), make(chan struct{})
	h := newInterceptedHarness(t, testLimits(), 8, func(c *net.TCPConn) net.Conn {
		if err := c.SetWriteBuffer(1 << 20); err != nil {
			t.Error(err)
		}
		return &lateInputConn{TCPConn: c, closed: closed, sendLate: func() {
			<-mayClose
			send(client, readCommand("late"))
			await(t, "the late request", func() bool { return socket.Peek(c) == socket.Readable })
		}}
	})
	smallBuffer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		return errors.Join(err, setErr)
	}}
	client, err := smallBuffer.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer disconnect(client)
	if err := client.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	value := strings.Repeat("x", 60_000)
	send(client, readCommand("a"))
	<-h.broker.requests
	h.broker.response("a") <- success(value)
	h.waitUntil("the reply counts as sent", func() bool {
		for serverConn := range h.server.conns.conns {
			return serverConn.hasRequested.Load() && serverConn.pending.Load() == 0
		}
		return false
	})
	close(mayClose)
	drained := make(chan error, 1)
	go func() { drained <- h.server.Drain(context.Background()) }()
	<-closed // until now the client has not read the part of the reply that exceeds its receive buffer
	got, err := io.ReadAll(client)
	if want := "$60000\r\n" + value + "\r\n"; err != nil || string(got) != want {
		t.Errorf("the client received %d of %d bytes, then error %v", len(got), len(want), err)
	}
	disconnect(client)
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if n := len(h.broker.requests); n > 0 {
		t.Errorf("%d requests that arrived during the close were executed", n)
	}
}
