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

// newPipePool returns a pool for 3 connections, which are pipes, and the number of dials. It is for a synctest bubble
// with one goroutine that dials.
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

// Work that is not idempotent gets no connection that may have broken unnoticed: one that was idle for long, or one
// whose last response is older than an attempt at that node that got none. Other work may get it.
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
			t.Errorf("%d dials, want 2: a response came after the attempt that timed out was sent", *dials)
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
			t.Errorf("%d dials, want 3: a response has come since", *dials)
		}
	})
}

// A connection is not reused right after its response: late input would be taken for the next one.
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
			t.Errorf("want the connection whose delay has passed; %d dials", *dials)
		}
		if get(t, p, "a", false) == second || *dials != 3 {
			t.Errorf("%d dials, want 3: the other's delay has not passed", *dials)
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

// At the limit an idle connection to another node is closed for a new one; without one there is none.
func TestConnectionLimitClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPipePool(testLimits())
		p.Put(get(t, p, "a", false))
		get(t, p, "b", false)
		get(t, p, "b", false)
		get(t, p, "b", false)
		if p.open != 3 || len(p.idle["a"]) != 0 {
			t.Errorf("%d open, %d idle", p.open, len(p.idle["a"]))
		}
		if _, err := p.get(t.Context(), "b", false); !errors.Is(err, ErrExhausted) {
			t.Errorf("got %v", err)
		}
	})
}

// acceptAll listens and passes on the accepted connections, of which there may be 3 at once.
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
		_ = ln.Close() // the test is over
		<-done
	})
	return ln.Addr().String(), conns
}

// A connection that the node has closed, or on which it has sent unrequested input, is not reused.
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
			t.Fatalf("%s: an idle connection has input", x.name)
		}
		if err := x.breakConn(peer); err != nil {
			t.Fatal(err)
		}
		for socket.Peek(c.Conn) == socket.Empty { // until it has arrived
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

// If all connections are in use, an attempt waits for one as long as a connection may take to be established. Then it
// ends without having been sent.
func TestAttemptWaitsForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPipePool(testLimits())
		p.dial = func(context.Context, string, string) (net.Conn, error) { // by several goroutines, so it counts nothing
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
			t.Fatal("did not wait")
		}
		p.Put(inUse[0]) // idle: it is closed for one that waits
		p.Discard(inUse[1])
		synctest.Wait()
		if len(outcomes) != 2 || <-outcomes != core.Served || <-outcomes != core.Served {
			t.Fatal("two connections were freed, and not both were acquired")
		}
		began := time.Now()
		if _, outcome := acquire(); outcome != core.NotAttempted || time.Since(began) != time.Second {
			t.Errorf("outcome %d after %v with none free, want not attempted after 1 s", outcome, time.Since(began))
		}
	})
}
