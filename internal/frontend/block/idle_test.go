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

// A client that sends nothing, stops within a command or stays idle is closed at its timeout.
func TestClientsAreClosedAtTheirTimeouts(t *testing.T) {
	const stalled = "-ERR Protocol error: the command did not come to its end in time\r\n"
	largeArg := strings.Repeat("x", 5000)
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
		{"is idle with a large buffer", encodeCommand("PING", largeArg), "$5000\r\n" + largeArg + "\r\n", func(l *limits.Limits) {
			l.ClientIdleTimeoutUnderPressure = 20 * millisecond
			l.MaxValueBytes = 8192
			l.MaxMessageBytes = 8192
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			lim := testLimits()
			x.change(lim)
			r := newRig(t, lim, 8)
			c, in := r.dial()
			send(c, x.in)
			expectText(t, in, x.want)
			expectEnd(t, in)
		})
	}
}

func TestClientWithAPendingReplyIsNotClosed(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleTimeoutUnderPressure = 5 * millisecond
	lim.ClientIdleTimeout = 5 * millisecond
	lim.ClientStallTimeout = 5 * millisecond
	lim.ClientFirstByteTimeout = 5 * millisecond
	r := newRig(t, lim, 2)
	c, in := r.dial()
	send(c, readCommand("a"))
	select {
	case <-r.broker.requests:
	case <-t.Context().Done():
	}
	time.Sleep(100 * time.Millisecond) // a slow machine makes this longer, never shorter
	r.broker.response("a") <- success("v")
	expectText(t, in, "$1\r\nv\r\n")
}

// Bytes that have arrived but were not read yet are read, although the connection is about to be evicted.
func TestReceivedBytesAreReadBeforeTheConnectionIsClosed(t *testing.T) {
	r := newRig(t, testLimits(), 4)
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
	c := newConn(r.server, accepted)
	c.acceptedAt = -1 << 60 // silent for longer than any timeout
	c.idleSince.Store(0)
	c.reader.wake()
	b := make([]byte, 4096)
	if n, err := c.Read(b); string(b[:n]) != readCommand("a") || err != nil {
		t.Errorf("got %q, %v", b[:n], err)
	}
	c.reader.wake()
	if n, err := c.Read(b); n != 0 || !errors.Is(err, errIdle) {
		t.Errorf("got %q, %v, want the end", b[:n], err)
	}
}
