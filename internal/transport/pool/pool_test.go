package pool

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"context"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// pipes is a pool whose connections are pipes, in a synctest bubble; it counts dials.
func pipes(lim *limits.Limits) (*Pool, *int) {
	p, dials := New(lim, 3, clock.New()), 0
	p.dial = func(context.Context, string, string) (net.Conn, error) {
		dials++
		a, _ := net.Pipe()
		return a, nil
	}
	return p, &dials
}

func testLimits() *limits.Limits {
	return &limits.Limits{ConnectTimeout: 1_000_000, NodeIdleTimeout: 10_000_000, NodeReuseWindow: 5_000_000, MaxIdleConnsPerNode: 2}
}

func get(t *testing.T, p *Pool, addr string, fresh bool) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), addr, fresh)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Work that must not run twice never goes on a connection that may have died unnoticed: one long silent, or one
// older than an attempt at that node that got no answer. Other work may.
func TestUnsafeWorkAvoidsStaleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := pipes(testLimits())
		p.Put(get(t, p, "a", true))
		p.Put(get(t, p, "a", true))
		if *dials != 1 {
			t.Errorf("%d dials, want 1: the connection was fresh", *dials)
		}
		time.Sleep(6 * time.Second)
		c := get(t, p, "a", true)
		if *dials != 2 {
			t.Errorf("%d dials, want 2: silent for 6 s", *dials)
		}
		p.Put(c)
		p.RecordTimeout("a", p.clock.Now()-1)
		time.Sleep(time.Millisecond)
		c = get(t, p, "a", true)
		if *dials != 2 {
			t.Errorf("%d dials, want 2: it answered after the silent attempt was sent", *dials)
		}
		p.Put(c)
		p.RecordTimeout("a", p.clock.Now())
		c = get(t, p, "a", true)
		if *dials != 3 {
			t.Errorf("%d dials, want 3: an attempt got no answer since", *dials)
		}
		other := get(t, p, "a", false)
		if *dials != 3 {
			t.Errorf("%d dials, want 3: what may run twice takes what there is", *dials)
		}
		time.Sleep(time.Second)
		p.Put(other)
		p.Put(c)
		if get(t, p, "a", true); *dials != 3 {
			t.Errorf("%d dials, want 3: it answered since", *dials)
		}
	})
}

// A connection is not lent again right after its answer: what comes behind that would be taken for the next one.
func TestConnectionsRestAfterAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := testLimits()
		lim.NodeReuseDelay = 2000
		p, dials := pipes(lim)
		first, second := get(t, p, "a", false), get(t, p, "a", false)
		p.Put(first)
		time.Sleep(3 * time.Millisecond)
		p.Put(second)
		if get(t, p, "a", false) != first || *dials != 2 {
			t.Errorf("want the one that has rested; %d dials", *dials)
		}
		if get(t, p, "a", false) == second || *dials != 3 {
			t.Errorf("%d dials, want 3: the other has not rested", *dials)
		}
	})
}

// Idle connections are dropped well before the node's own limit, and no request crosses that.
func TestIdleConnectionsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := pipes(testLimits())
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

// The budget of descriptors holds: at its end an idle connection to another node makes room, else there is none.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := pipes(testLimits())
		p.Put(get(t, p, "a", false))
		get(t, p, "b", false)
		get(t, p, "b", false)
		get(t, p, "b", false)
		if p.open != 3 || len(p.idle["a"]) != 0 {
			t.Errorf("%d open, %d idle", p.open, len(p.idle["a"]))
		}
		if _, err := p.Get(t.Context(), "b", false); err != ErrExhausted {
			t.Errorf("got %v", err)
		}
	})
}

// A connection that the peer has closed, or on which it sent what nobody asked for, is not lent.
func TestDeadConnectionsAreNotLent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peers := make(chan net.Conn, 3)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			peers <- c
		}
	}()
	lim := testLimits()
	lim.NodeIdleTimeout, lim.NodeReuseWindow, lim.ConnectTimeout = 1e12, 1e12, 30_000_000
	p := New(lim, 3, clock.New())
	for _, spoil := range []func(net.Conn){func(c net.Conn) { c.Close() }, func(c net.Conn) { c.Write([]byte("x")) }} {
		c := get(t, p, ln.Addr().String(), false)
		p.Put(c)
		peer := <-peers
		if socket.Peek(c.Conn) != socket.Empty {
			t.Fatal("a sound connection counts as dead")
		}
		spoil(peer)
		for socket.Peek(c.Conn) == socket.Empty { // the news takes its time
			time.Sleep(time.Millisecond)
		}
		if again := get(t, p, ln.Addr().String(), false); again == c {
			t.Error("a dead connection was lent")
		} else {
			p.Discard(again)
		}
		<-peers
	}
}

// Where every descriptor is in use, an attempt waits for one as long as a connection may take to come up, and is then
// told that nothing was sent. It used to be told so at once.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := pipes(testLimits())
		p.dial = func(context.Context, string, string) (net.Conn, error) { // by several at once, so nothing is counted
			a, _ := net.Pipe()
			return a, nil
		}
		lend := func() (*Conn, core.Outcome) {
			return p.Acquire(t.Context(), "b", false, p.clock.Now()+9_000_000, func() bool { return true })
		}
		var held []*Conn
		for _, addr := range []string{"a", "b", "c"} {
			held = append(held, get(t, p, addr, false))
		}
		got := make(chan core.Outcome, 9)
		for range 2 {
			go func() {
				_, out := lend()
				got <- out
			}()
		}
		time.Sleep(300 * time.Millisecond)
		if len(got) > 0 {
			t.Fatal("did not wait")
		}
		p.Put(held[0]) // idle: its place goes to one that waits
		p.Discard(held[1])
		synctest.Wait()
		if len(got) != 2 || <-got != core.Served || <-got != core.Served {
			t.Fatal("two places came free, and not both were taken")
		}
		began := time.Now()
		if _, out := lend(); out != core.NotAttempted || time.Since(began) != time.Second {
			t.Errorf("outcome %d after %v with none free, want not sent after 1 s", out, time.Since(began))
		}
	})
}
