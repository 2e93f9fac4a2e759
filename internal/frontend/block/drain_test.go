package block

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// During DrainServeTime a drain accepts clients and serves requests. Then it closes the listener and the idle
// connections, and answers the requests in flight. The deadline of requests that arrive during the drain is that of the
// drain.
func TestDrainServesThenClosesIdleAndAnswersPending(t *testing.T) {
	lim := testLimits()
	lim.DrainServeTime = hour
	lim.DrainResponseTime = 100 * millisecond
	h := newHarness(t, lim, 8)
	busy, busyIn := h.dial()
	send(busy, readCommand("a"))
	if req := <-h.broker.requests; req.Deadline-h.server.clock.Now() <= lim.DrainResponseTime {
		t.Error("the deadline of a request that arrived before the drain is limited to that of a drain")
	}
	idle, idleIn := h.dial()
	h.ping(idle, idleIn)
	done := make(chan error, 1)
	go func() { done <- h.server.Drain(t.Context()) }()
	h.waitUntil("the server is draining", h.server.conns.draining.Load)
	late, lateIn := h.dial()
	send(late, readCommand("b"))
	if req := <-h.broker.requests; req.Deadline != h.server.drain.deadline.Load() {
		t.Errorf("the deadline of a request during the drain is %d, want %d", req.Deadline, h.server.drain.deadline.Load())
	}
	h.broker.response("b") <- success("w")
	expectText(t, lateIn, "$1\r\nw\r\n")
	h.ping(idle, idleIn)
	disconnect(h.listener) // as Drain does after DrainServeTime
	expectClosed(t, idleIn)
	expectClosed(t, lateIn)
	if c, err := net.Dial("tcp", h.listener.Addr().String()); err == nil {
		disconnect(c)
		t.Error("the listener is open after DrainServeTime")
	}
	select {
	case err := <-done:
		t.Fatalf("Drain returned with a request in flight: %v", err)
	default:
	}
	h.broker.response("a") <- success("v")
	expectText(t, busyIn, "$1\r\nv\r\n")
	expectClosed(t, busyIn)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestDrainClosesListenerAndIdleConnectionsAfterServeTime(t *testing.T) {
	lim := testLimits()
	lim.DrainServeTime = millisecond
	h := newHarness(t, lim, 8)
	idle, idleIn := h.dial()
	h.ping(idle, idleIn)
	if err := h.server.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	expectClosed(t, idleIn)
}

func TestDrainWithoutClientsReturnsImmediately(t *testing.T) {
	h := newHarness(t, testLimits(), 8)
	h.server.lim.DrainServeTime = hour
	h.waitUntil("Serve has been called", h.serving)
	if err := h.server.Drain(t.Context()); err != nil {
		t.Error(err)
	}
}

// A request that no node answers gets its reply by the drain deadline. A request that arrives after it is rejected.
func TestDrainAnswersAllRequestsByItsDeadline(t *testing.T) {
	lim := testLimits()
	lim.DrainResponseTime = 50 * millisecond
	lim.DrainServeTime = hour
	h := newHarness(t, lim, 4)
	c, in := h.dial()
	send(c, readCommand("a")) // no node ever answers it
	<-h.broker.requests
	ctx, cancel := context.WithCancel(context.Background())
	drainReturned := make(chan struct{})
	go func() {
		defer close(drainReturned)
		_ = h.server.Drain(ctx) // returns the error of ctx
	}()
	expectText(t, in, "-ERR failed\r\n")
	send(c, readCommand("b"))
	expectText(t, in, "-BUSY 150\r\n")
	cancel()
	<-drainReturned
}

// Guards against a drain that waits beyond its deadline for commands: of clients that have stopped, and of slow ones.
func TestDrainEndsIncompleteCommandsAtItsDeadline(t *testing.T) {
	for name, pause := range map[string]time.Duration{"stopped": time.Hour, "slow": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			lim := testLimits()
			lim.DrainServeTime = millisecond
			lim.DrainResponseTime = 50 * millisecond
			h := newHarness(t, lim, 4)
			c, in := h.dial()
			send(c, "*4\r\n$2000\r\nx")
			go func() {
				for { // until the connection ends
					<-time.After(pause)
					if _, err := io.WriteString(c, "x"); err != nil {
						return
					}
				}
			}()
			h.waitUntil("part of the command is read", func() bool {
				for serverConn := range h.server.conns.conns {
					return serverConn.inCommand.Load()
				}
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout/4) // less than the 2,000 bytes of the slow client take
			defer cancel()
			if err := h.server.Drain(ctx); err != nil {
				t.Error(err)
			}
			expectText(t, in, "-BUSY 150\r\n")
		})
	}
}
