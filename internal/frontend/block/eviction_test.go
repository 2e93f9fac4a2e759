package block

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"
)

// At the connection limit a client that has stopped sending within a command is evicted first, then one that has sent
// nothing, to make it possible for a new client to connect. The new client does not wait for their timeouts.
// Connections that have carried requests are kept.
func TestStalledAndUnusedConnectionsAreEvictedFirst(t *testing.T) {
	h := newHarness(t, testLimits(), 3)
	used, usedIn := h.dial()
	h.roundTrip(used, usedIn)
	_, silentIn := h.dial()
	h.waitUntil("the silent client is connected", func() bool { return len(h.server.conns.conns) == 2 })
	if now := h.server.clock.Now(); (&conn{server: h.server, activity: activity{acceptedAt: now - hour}}).evictionRank(now) != evictUnused {
		t.Error("a client that has sent nothing for an hour does not have the lowest eviction rank")
	}
	half, halfIn := h.dial()
	send(half, "*1\r\n")
	h.waitUntil("the incomplete command is read", func() bool {
		for serverConn := range h.server.conns.conns {
			if serverConn.inCommand.Load() {
				serverConn.lastReadAt.Add(-hour / 2) // as if it had stopped sending half an hour ago
				return true
			}
		}
		return false
	})
	for _, x := range []struct {
		in   *bufio.Reader
		text string
	}{{halfIn, "-ERR Protocol error: the command did not come to its end in time\r\n"}, {silentIn, ""}} {
		next, nextIn := h.dial()
		send(next, readCommand("a"))
		expectText(t, x.in, x.text)
		expectClosed(t, x.in)
		<-h.broker.requests
		h.broker.response("a") <- success("v")
		expectText(t, nextIn, "$1\r\nv\r\n")
		h.waitUntilIdle(next)
	}
	h.roundTrip(used, usedIn)
}

func TestLongestIdleConnectionIsEvictedBeforeTheLimit(t *testing.T) {
	h := newHarness(t, testLimits(), 16)
	var first *bufio.Reader
	for i := range 15 {
		c, in := h.dial()
		h.ping(c, in)
		if i == 0 {
			first = in
		}
	}
	expectClosed(t, first)
}

// Once idle, connections that have carried a request are evicted down to ClientIdleConns. Other connections are not
// counted.
func TestSurplusOfRequestingConnectionsIsEvicted(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleConns = 2
	h := newHarness(t, lim, 100)
	ping, pingIn := h.dial()
	h.ping(ping, pingIn)
	var ins []*bufio.Reader
	for i := range 6 { // all are busy at the same time, so none can be evicted
		c, in := h.dial()
		send(c, readCommand(fmt.Sprint(i)))
		<-h.broker.requests
		ins = append(ins, in)
	}
	for i, in := range ins {
		h.broker.response(fmt.Sprint(i)) <- success("v")
		expectText(t, in, "$1\r\nv\r\n")
	}
	h.waitUntil("the surplus connections are evicted", func() bool { return h.server.conns.requestConns == 2 && len(h.server.conns.conns) == 3 })
	h.ping(ping, pingIn)
}

// During a drain, connections that have carried a request are not evicted before the limit is reached; others are.
func TestDrainKeepsConnectionsThatHaveRequested(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleConns = 2
	h := newHarness(t, lim, 8)
	h.server.conns.draining.Store(true)
	t.Cleanup(func() { close(h.server.drain.done) }) // Serve waits for this, which Drain normally does
	first, firstIn := h.dial()
	h.roundTrip(first, firstIn)
	c, in := h.dial()
	h.roundTrip(c, in)
	c, in = h.dial()
	h.roundTrip(c, in)
	var firstUnused *bufio.Reader
	for i := range 5 {
		c, in = h.dial()
		h.ping(c, in)
		if i == 0 {
			firstUnused = in
		}
	}
	expectClosed(t, firstUnused)
	h.roundTrip(first, firstIn)
}

func TestIdleConnectionIsEvictedAtTheLimitAndABusyOneIsNot(t *testing.T) {
	h := newHarness(t, testLimits(), 2)
	busy, busyIn := h.dial()
	send(busy, readCommand("a"))
	<-h.broker.requests
	idle, idleIn := h.dial()
	h.ping(idle, idleIn)
	next, nextIn := h.dial()
	h.ping(next, nextIn)
	expectClosed(t, idleIn)
	h.broker.response("a") <- success("v")
	expectText(t, busyIn, "$1\r\nv\r\n")
}

// Clients that have been sending one command for too long are evicted, but only after idle clients.
func TestSlowConnectionsAreEvictedLast(t *testing.T) {
	lim := testLimits()
	lim.ClientStallTimeout = 1000 * millisecond
	h := newHarness(t, lim, 3)
	idle, idleIn := h.dial()
	h.ping(idle, idleIn)
	for i := range 2 {
		c, _ := h.dial()
		send(c, "*1\r\n")
		h.waitUntil("the incomplete command is read by the server", func() bool {
			n := 0
			for serverConn := range h.server.conns.conns {
				if serverConn.inCommand.Load() {
					n++
				}
			}
			return n == i+1
		})
	}
	h.server.conns.mu.Lock()
	for serverConn := range h.server.conns.conns {
		serverConn.commandStartedAt.Add(-2 * lim.ClientStallTimeout) // as if the command had begun that long ago
		serverConn.lastReadAt.Store(h.server.clock.Now() + hour)
	}
	h.server.conns.mu.Unlock()
	c, in := h.dial()
	h.ping(c, in)
	expectClosed(t, idleIn)
	h.waitUntil("both slow clients and the new one are connected", func() bool { return len(h.server.conns.conns) == 3 })
	h.roundTrip(c, in)
	h.server.conns.mu.Lock()
	for serverConn := range h.server.conns.conns {
		if !serverConn.inCommand.Load() {
			serverConn.pending.Add(1) // as if it waited for a reply
		}
	}
	h.server.conns.mu.Unlock()
	c, in = h.dial()
	h.ping(c, in)
}

func TestFloodingAndNotReadingClientsMakeRoomForAnother(t *testing.T) {
	lim := testLimits()
	lim.ClientStallTimeout = 40 * millisecond
	lim.Clients.FreeAnswersPerSecond = 1
	lim.Clients.FreeAnswerBurst = 1
	h := newHarness(t, lim, 2)
	flooding, _ := h.dial()
	send(flooding, strings.Repeat(encodeCommand("PING"), 40))
	h.waitUntil("the flooding client is made to wait", func() bool {
		for c := range h.server.conns.conns {
			return c.delayed.Load() && c.pending.Load() == 0
		}
		return false
	})
	notReading, _ := h.dial()
	send(notReading, onceCommand("a"))
	<-h.broker.requests
	h.broker.response("a") <- success(strings.Repeat("x", 16<<20)) // more than the buffers of a connection take
	h.waitUntil("the client does not read its reply", func() bool {
		for c := range h.server.conns.conns {
			if c.notReading(h.server.clock.Now()) {
				return true
			}
		}
		return false
	})
	for _, id := range []string{"b", "c"} {
		next, nextIn := h.dial()
		send(next, readCommand(id))
		<-h.broker.requests
		h.broker.response(id) <- success("v")
		expectText(t, nextIn, "$1\r\nv\r\n")
	}
}

func TestRequestThatWasReadIsAnsweredAlthoughItsClientIsMadeToWait(t *testing.T) {
	lim := testLimits()
	lim.Clients.FreeAnswersPerSecond = 1
	lim.Clients.FreeAnswerBurst = 1
	h := newHarness(t, lim, 1)
	flooding, floodingIn := h.dial()
	pings := 30
	send(flooding, strings.Repeat(encodeCommand("PING"), pings)+readWithin("a", testTimeout)) // arrive together
	next, _ := h.dial()                                                                       // needs the only connection
	defer disconnect(next)
	expectText(t, floodingIn, strings.Repeat("+PONG\r\n", pings))
	select {
	case <-h.broker.requests:
	case <-time.After(testTimeout):
		t.Fatal("a request that was read has not reached the broker")
	}
	h.broker.response("a") <- success("v")
	expectText(t, floodingIn, "$1\r\nv\r\n")
}
