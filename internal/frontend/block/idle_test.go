package block

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/broker/limits"
	"poppyarch/internal/transport/socket"
)

// The connection of a client that sends nothing, stops within a command or is idle is closed at the respective timeout.
func TestClientsAreClosedAtTheirTimeouts(t *testing.T) {
	const stalled = "-ERR Protocol error: the command did not come to its end in time\r\n"
	for _, x := range []struct {
		name, in, want string
		change         func(*limits.Limits)
	}{
		{"sends nothing", "", "", func(l *limits.Limits) { l.ClientFirstByteTimeout = 30 * millisecond }},
		{"stops in the first command", "*", stalled, func(l *limits.Limits) { l.ClientStallTimeout = 30 * millisecond }},
		{"stops in the second command", encodeCommand("PING") + readCommand("a")[:50], "+PONG\r\n" + stalled,
			func(l *limits.Limits) { l.ClientStallTimeout = 30 * millisecond }},
		{"does not complete a command", readCommand("a")[:50], stalled,
			func(l *limits.Limits) { l.ClientRequestTimeout = 30 * millisecond }},
		{"is idle", encodeCommand("PING"), "+PONG\r\n", func(l *limits.Limits) {
			l.ClientIdleTimeoutUnderPressure = 20 * millisecond
			l.ClientIdleTimeout = 40 * millisecond
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			lim := testLimits()
			x.change(lim)
			h := newHarness(t, lim, 8)
			c, in := h.dial()
			send(c, x.in)
			expectText(t, in, x.want)
			expectClosed(t, in)
		})
	}
}

func TestLargeCommandLeavesNoMemoryWithItsConnection(t *testing.T) {
	lim := testLimits()
	lim.MaxValueBytes = 8192
	lim.MaxMessageBytes = 8192
	h := newHarness(t, lim, 8)
	c, in := h.dial()
	largeArg := strings.Repeat("x", 5000)
	command := encodeCommand("PING", largeArg)
	for _, piece := range []string{command[:3000], command[3000:]} {
		send(c, piece)
	}
	expectText(t, in, "$5000\r\n"+largeArg+"\r\n")
	h.waitUntil("the connection holds nothing", func() bool {
		for serverConn := range h.server.conns.conns {
			return h.server.memory.Used() == 0 && serverConn.pending.Load() == 0 && cap(serverConn.reader.partial) == 0
		}
		return false
	})
	h.ping(c, in)
}

func TestClientWithAPendingReplyIsNotClosed(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleTimeoutUnderPressure = 5 * millisecond
	lim.ClientIdleTimeout = 5 * millisecond
	lim.ClientStallTimeout = 5 * millisecond
	lim.ClientFirstByteTimeout = 5 * millisecond
	h := newHarness(t, lim, 2)
	c, in := h.dial()
	send(c, readCommand("a"))
	select {
	case <-h.broker.requests:
	case <-t.Context().Done():
	}
	time.Sleep(100 * time.Millisecond) // longer than every timeout; a slow machine can only make it longer
	h.broker.response("a") <- success("v")
	expectText(t, in, "$1\r\nv\r\n")
}

// Bytes that have arrived are read before the connection is evicted.
func TestReceivedBytesAreReadBeforeTheConnectionIsClosed(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	ln := listen(t)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer disconnect(client)
	send(client, readCommand("a"))
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer disconnect(accepted)
	await(t, "the command's bytes", func() bool { return socket.Peek(accepted) == socket.Readable })
	c := newConn(h.server, accepted, h.server.clock.Now())
	c.acceptedAt = -1 << 60 // has been silent for longer than any timeout
	c.idleSince.Store(0)
	c.reader.wake()
	if cmd, err := c.reader.next(); string(cmd.Raw) != readCommand("a") || err != nil {
		t.Errorf("got %q, %v, want the received command", cmd.Raw, err)
	}
	c.reader.wake()
	if cmd, err := c.reader.next(); cmd.Raw != nil || !errors.Is(err, errIdle) {
		t.Errorf("got %q, %v, want errIdle", cmd.Raw, err)
	}
}
