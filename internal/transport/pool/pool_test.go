package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// newPipePool returns a pool for 3 connections, which are pipes, and a counter of dials. The counter is not
// synchronized: only one goroutine of the synctest bubble may dial.
func newPipePool(lim *limits.Limits) (p *Pool, dials *int) {
	p = New(lim, 3, clock.New())
	dials = new(int)
	p.dial = func(context.Context, string, string) (net.Conn, error) {
		*dials++
		c, _ := net.Pipe()
		return c, nil
	}
	return p, dials
}

func testLimits() *limits.Limits {
	return &limits.Limits{
		ConnectTimeout:      1_000_000,
		NodeIdleTimeout:     10_000_000,
		NodeReuseWindow:     5_000_000,
		MaxIdleConnsPerNode: 2,
	}
}

func get(t *testing.T, p *Pool, addr string, fresh bool) *Conn {
	t.Helper()
	c, err := p.get(t.Context(), addr, fresh)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Work that is not idempotent gets no connection that may have broken unnoticed: one that has been idle for longer than
// NodeReuseWindow, or one whose last response precedes an attempt at the same node that timed out. Idempotent work may
// get such a connection.
func TestFreshConnectionIsNotStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newPipePool(testLimits())
		p.Put(get(t, p, "a", true))
		p.Put(get(t, p, "a", true))
		if *dials != 1 {
			t.Errorf("%d dials, want 1: the connection was fresh", *dials)
		}
		time.Sleep(6 * time.Second)
		c := get(t, p, "a", true)
		if *dials != 2 {
			t.Errorf("%d dials, want 2: idle for 6 s", *dials)
		}
		p.Put(c)
		p.RecordTimeout("a", p.clock.Now()-1)
		time.Sleep(time.Millisecond)
		c = get(t, p, "a", true)
		if *dials != 2 {
			t.Errorf("%d dials, want 2: the last response came after the attempt that timed out was sent", *dials)
		}
		p.Put(c)
		p.RecordTimeout("a", p.clock.Now())
		c = get(t, p, "a", true)
		if *dials != 3 {
			t.Errorf("%d dials, want 3: an attempt has timed out since the last response", *dials)
		}
		other := get(t, p, "a", false)
		if *dials != 3 {
			t.Errorf("%d dials, want 3: idempotent work reuses any connection", *dials)
		}
		time.Sleep(time.Second)
		p.Put(other)
		p.Put(c)
		if get(t, p, "a", true); *dials != 3 {
			t.Errorf("%d dials, want 3: a response has been received since the timeout", *dials)
		}
	})
}

// A connection is not reused right after its response: late input would be taken for the next response.
func TestConnectionIsNotReusedBeforeTheReuseDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := testLimits()
		lim.NodeReuseDelay = 2000
		p, dials := newPipePool(lim)
		first := get(t, p, "a", false)
		second := get(t, p, "a", false)
		p.Put(first)
		time.Sleep(3 * time.Millisecond)
		p.Put(second)
		if get(t, p, "a", false) != first || *dials != 2 {
			t.Errorf("the connection whose reuse delay has passed was not reused; %d dials, want 2", *dials)
		}
		if get(t, p, "a", false) == second || *dials != 3 {
			t.Errorf("%d dials, want 3: the reuse delay of the other connection has not passed", *dials)
		}
	})
}

func TestExpiredConnectionIsClosedAndNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newPipePool(testLimits())
		p.Put(get(t, p, "a", false))
		time.Sleep(11 * time.Second)
		c := get(t, p, "a", false)
		if *dials != 2 {
			t.Errorf("%d dials, want 2", *dials)
		}
		p.CloseExpired()
		if p.open != 1 {
			t.Errorf("%d connections open, want 1", p.open)
		}
		p.Discard(c)
		if p.open != 0 {
			t.Errorf("%d connections open, want 0", p.open)
		}
	})
}

// At the connection limit an idle connection to another node is closed to make a new one possible. If no connection is
// idle, the pool is exhausted.
func TestConnectionLimitClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPipePool(testLimits())
		p.Put(get(t, p, "a", false))
		get(t, p, "b", false)
		get(t, p, "b", false)
		get(t, p, "b", false)
		if p.open != 3 || len(p.idle["a"]) != 0 {
			t.Errorf("%d connections open, %d idle to node a, want 3 and 0", p.open, len(p.idle["a"]))
		}
		if _, err := p.get(t.Context(), "b", false); !errors.Is(err, ErrExhausted) {
			t.Errorf("got %v, want ErrExhausted", err)
		}
	})
}

// acceptAll accepts connections on a loopback address and sends them to a channel with a buffer of 3.
func acceptAll(t *testing.T) (addr string, accepted <-chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 3)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close() // its error does not matter after the test
		<-done
	})
	return ln.Addr().String(), conns
}

// A connection that the node has closed, or on which it has sent input without a request, is not reused.
func TestBrokenConnectionIsNotReused(t *testing.T) {
	addr, peers := acceptAll(t)
	lim := testLimits()
	lim.NodeIdleTimeout = 1e12
	lim.NodeReuseWindow = 1e12
	lim.ConnectTimeout = 30_000_000
	p := New(lim, 3, clock.New())
	for _, x := range []struct {
		name      string
		breakConn func(net.Conn) error
	}{
		{"closed", net.Conn.Close},
		{"unrequested input", func(c net.Conn) error {
			_, err := io.WriteString(c, "x")
			return err
		}},
	} {
		c := get(t, p, addr, false)
		p.Put(c)
		peer := <-peers
		if socket.Peek(c.Conn) != socket.Empty {
			t.Fatalf("%s: the idle connection is not empty and open before the test", x.name)
		}
		if err := x.breakConn(peer); err != nil {
			t.Fatal(err)
		}
		for socket.Peek(c.Conn) == socket.Empty { // until the peer's action has arrived
			time.Sleep(time.Millisecond)
		}
		if again := get(t, p, addr, false); again == c {
			t.Errorf("%s: the connection was reused", x.name)
		} else {
			p.Discard(again)
		}
		<-peers
	}
}

// If all connections are in use, an attempt waits for one for up to ConnectTimeout. Then it ends with NotAttempted.
func TestAttemptWaitsForAConnectionUpToTheConnectTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPipePool(testLimits())
		p.dial = func(context.Context, string, string) (net.Conn, error) { // no counter: several goroutines dial
			c, _ := net.Pipe()
			return c, nil
		}
		acquire := func() (*Conn, core.Outcome) {
			return p.Acquire(t.Context(), "b", false, p.clock.Now()+9_000_000, func() bool { return true })
		}
		var inUse []*Conn
		for _, addr := range []string{"a", "b", "c"} {
			inUse = append(inUse, get(t, p, addr, false))
		}
		outcomes := make(chan core.Outcome, 9)
		for range 2 {
			go func() {
				_, outcome := acquire()
				outcomes <- outcome
			}()
		}
		time.Sleep(300 * time.Millisecond)
		if len(outcomes) > 0 {
			t.Fatal("an attempt ended although no connection was free")
		}
		p.Put(inUse[0]) // idle now: it is closed in favour of a waiting attempt
		p.Discard(inUse[1])
		synctest.Wait()
		if len(outcomes) != 2 || <-outcomes != core.Served || <-outcomes != core.Served {
			t.Fatal("two connections were freed, but not both waiting attempts got one")
		}
		start := time.Now()
		if _, outcome := acquire(); outcome != core.NotAttempted || time.Since(start) != time.Second {
			t.Errorf("outcome %d after %v without a free connection, want %d after 1 s", outcome, time.Since(start), core.NotAttempted)
		}
	})
}
