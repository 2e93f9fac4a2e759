package block

import (
	"bufio"
	"fmt"
	"testing"
)

// At the limit a connection that has stopped within a command is evicted first, then one without a request. The client that
// connects waits for neither.
func TestStalledAndUnusedConnectionsAreEvictedFirst(t *testing.T) {
	r := newRig(t, testLimits(), 3)
	used, usedIn := r.dial()
	r.roundTrip(used, usedIn)
	_, silentIn := r.dial()
	r.waitUntil("the silent client is there", func() bool { return len(r.server.conns.conns) == 2 })
	if now := r.server.clock.Now(); (&conn{server: r.server, activity: activity{acceptedAt: now - hour}}).evictionRank(now) != evictUnused {
		t.Error("a client that has sent nothing for long is not evicted first")
	}
	half, halfIn := r.dial()
	send(half, "*1\r\n")
	r.waitUntil("the half command is read", func() bool {
		for served := range r.server.conns.conns {
			if served.inCommand.Load() {
				served.lastReadAt.Add(-hour / 2) // as if it had stopped half an hour ago
				return true
			}
		}
		return false
	})
	for _, x := range []struct {
		in   *bufio.Reader
		text string
	}{{halfIn, "-ERR Protocol error: the command did not come to its end in time\r\n"}, {silentIn, ""}} {
		next, nextIn := r.dial()
		send(next, readCommand("a"))
		expectText(t, x.in, x.text)
		expectEnd(t, x.in)
		<-r.broker.requests
		r.broker.response("a") <- success("v")
		expectText(t, nextIn, "$1\r\nv\r\n")
		r.waitUntilIdle(next)
	}
	r.roundTrip(used, usedIn)
}

func TestLongestIdleConnectionIsEvictedAheadOfTheLimit(t *testing.T) {
	r := newRig(t, testLimits(), 16)
	var first *bufio.Reader
	for i := range 15 {
		c, in := r.dial()
		r.ping(c, in)
		if i == 0 {
			first = in
		}
	}
	expectEnd(t, first)
}

// Connections that have carried a request are evicted down to their limit once they are idle. Others do not count.
func TestSurplusOfRequestingConnectionsIsEvicted(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleConns = 2
	r := newRig(t, lim, 100)
	ping, pingIn := r.dial()
	r.ping(ping, pingIn)
	var ins []*bufio.Reader
	for i := range 6 { // all busy at once: none can be evicted
		c, in := r.dial()
		send(c, readCommand(fmt.Sprint(i)))
		<-r.broker.requests
		ins = append(ins, in)
	}
	for i, in := range ins {
		r.broker.response(fmt.Sprint(i)) <- success("v")
		expectText(t, in, "$1\r\nv\r\n")
	}
	r.waitUntil("the surplus is evicted", func() bool { return r.server.conns.requesting == 2 && len(r.server.conns.conns) == 3 })
	r.ping(ping, pingIn)
}

// In a drain no connection that has carried a request is evicted for a new one; others are, ahead of the limit.
func TestDrainKeepsConnectionsThatHaveRequested(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleConns = 2
	r := newRig(t, lim, 8)
	r.server.conns.draining.Store(true)
	t.Cleanup(func() { close(r.server.drain.done) }) // as Drain does, which Serve waits for
	first, firstIn := r.dial()
	r.roundTrip(first, firstIn)
	c, in := r.dial()
	r.roundTrip(c, in)
	c, in = r.dial()
	r.roundTrip(c, in)
	var ended *bufio.Reader
	for i := range 5 {
		c, in = r.dial()
		r.ping(c, in)
		if i == 0 {
			ended = in
		}
	}
	expectEnd(t, ended)
	r.roundTrip(first, firstIn)
}

func TestIdleConnectionIsEvictedAtTheLimitAndABusyOneIsNot(t *testing.T) {
	r := newRig(t, testLimits(), 2)
	busy, busyIn := r.dial()
	send(busy, readCommand("a"))
	<-r.broker.requests
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	next, nextIn := r.dial()
	r.ping(next, nextIn)
	expectEnd(t, idleIn)
	r.broker.response("a") <- success("v")
	expectText(t, busyIn, "$1\r\nv\r\n")
}

// Clients that keep sending within one command for far too long are evicted, but only after idle ones.
func TestSlowConnectionsAreEvictedLast(t *testing.T) {
	lim := testLimits()
	lim.ClientStallTimeout = 1000 * millisecond
	r := newRig(t, lim, 3)
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	for i := range 2 {
		c, _ := r.dial()
		send(c, "*1\r\n")
		r.waitUntil("its half command is read", func() bool {
			n := 0
			for served := range r.server.conns.conns {
				if served.inCommand.Load() {
					n++
				}
			}
			return n == i+1
		})
	}
	r.server.conns.mu.Lock()
	for served := range r.server.conns.conns {
		served.commandStartedAt.Add(-2 * lim.ClientStallTimeout) // as if it had gone on for so long
		served.lastReadAt.Store(r.server.clock.Now() + hour)
	}
	r.server.conns.mu.Unlock()
	c, in := r.dial()
	r.ping(c, in)
	expectEnd(t, idleIn)
	r.waitUntil("both slow ones are there", func() bool { return len(r.server.conns.conns) == 3 })
	r.roundTrip(c, in)
	r.server.conns.mu.Lock()
	for served := range r.server.conns.conns {
		if !served.inCommand.Load() {
			served.pending.Add(1) // as if it waited for a reply
		}
	}
	r.server.conns.mu.Unlock()
	c, in = r.dial()
	r.ping(c, in)
}
