package block

import (
	"context"
	"net"
	"testing"
)

// A drain goes on serving, new clients too. Then it closes the listener and idle connections, and answers the requests in
// flight. Requests that arrive during the drain are due at its deadline.
func TestDrainServesThenClosesIdleAndAnswersPending(t *testing.T) {
	lim := testLimits()
	lim.DrainServeTime = hour
	lim.DrainAnswerTime = 100 * millisecond
	r := newRig(t, lim, 8)
	busy, busyIn := r.dial()
	send(busy, readCommand("a"))
	if q := <-r.broker.requests; q.Deadline-r.server.clock.Now() <= lim.DrainAnswerTime {
		t.Error("the request's deadline is that of a drain, before the drain")
	}
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	done := make(chan error, 1)
	go func() { done <- r.server.Drain(t.Context()) }()
	r.waitUntil("the server drains", r.server.conns.draining.Load)
	late, lateIn := r.dial()
	send(late, readCommand("b"))
	if q := <-r.broker.requests; q.Deadline != r.server.drain.deadline.Load() {
		t.Errorf("due at %d, want %d", q.Deadline, r.server.drain.deadline.Load())
	}
	r.broker.response("b") <- success("w")
	expectText(t, lateIn, "$1\r\nw\r\n")
	r.ping(idle, idleIn)
	disconnect(r.listener) // as Drain does after DrainServeTime
	expectEnd(t, idleIn)
	expectEnd(t, lateIn)
	if c, err := net.Dial("tcp", r.listener.Addr().String()); err == nil {
		disconnect(c)
		t.Error("the listener is open")
	}
	select {
	case err := <-done:
		t.Fatalf("Drain returned with a request in flight: %v", err)
	default:
	}
	r.broker.response("a") <- success("v")
	expectText(t, busyIn, "$1\r\nv\r\n")
	expectEnd(t, busyIn)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestDrainClosesListenerAndIdleConnectionsAfterServeTime(t *testing.T) {
	lim := testLimits()
	lim.DrainServeTime = millisecond
	r := newRig(t, lim, 8)
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	if err := r.server.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	expectEnd(t, idleIn)
}

func TestDrainWithoutClientsReturnsAtOnce(t *testing.T) {
	r := newRig(t, testLimits(), 8)
	r.server.lim.DrainServeTime = hour
	r.waitUntil("the server serves", r.serving)
	if err := r.server.Drain(t.Context()); err != nil {
		t.Error(err)
	}
}

// A request that no node answers gets its reply by the drain's deadline; one that arrives after that is rejected.
func TestDrainAnswersAllRequestsByItsDeadline(t *testing.T) {
	lim := testLimits()
	lim.DrainAnswerTime = 50 * millisecond
	lim.DrainServeTime = hour
	r := newRig(t, lim, 4)
	c, in := r.dial()
	send(c, readCommand("a")) // no node ever answers it
	<-r.broker.requests
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.server.Drain(ctx) // ends with ctx
	}()
	expectText(t, in, "-ERR failed\r\n")
	send(c, readCommand("b"))
	expectText(t, in, "-BUSY 150\r\n")
	cancel()
	<-ended
}
