package object

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// Guards against requests that are read during a drain and closed without an answer because they are the first of their
// connection.
func TestDrainAnswersFirstRequestThatArrivesInPieces(t *testing.T) {
	h := newDrainHarness(t, 8)
	c := h.dial()
	c.send(firstRequest[:10])
	h.startDrain()
	c.send(firstRequest[10:])
	c.expectResponse("/art/first")
	c.expectEnd()
	h.expectDrained()
}

// Guards against requests that are closed without an answer because they were read together with the one before them.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	h := newDrainHarness(t, 8)
	release := h.broker.hold("/art/first")
	c := h.dial()
	c.send(firstRequest + secondRequest)
	<-h.broker.received
	h.startDrain()
	close(release)
	if c.expectResponse("/art/first") {
		t.Error("the first response announces the end of the connection although a further request was read")
	}
	c.expectResponse("/art/second")
	c.expectEnd()
	h.expectDrained()
}

// Guards against a drain that closes a connection as idle while the next request on it is being read.
func TestDrainAnswersRequestThatIsBeingRead(t *testing.T) {
	h := newDrainHarness(t, 8)
	c := h.idleClient()
	hold := h.holdRequest(c, secondRequest)
	h.startDrain()
	close(hold.released)
	c.expectResponse("/art/second")
	c.expectEnd()
	h.expectDrained()
}

// Guards against the connection limit closing a connection as idle while the next request on it is being read.
func TestEvictionAnswersRequestThatIsBeingRead(t *testing.T) {
	h := newDrainHarness(t, 1)
	c := h.idleClient()
	hold := h.holdRequest(c, secondRequest)
	next := h.dial()
	next.send(firstRequest)
	<-h.listener.interrupted
	close(hold.released)
	c.expectResponse("/art/second")
	c.expectEnd()
	next.expectResponse("/art/first")
}

// A connection whose client stops within a request is closed for a new client even if bytes of that request arrive while
// it is being closed.
func TestEvictionIsRepeatedForAnIncompleteRequest(t *testing.T) {
	h := newDrainHarness(t, 1)
	hold := h.holdRequest(h.idleClient(), secondRequest[:10])
	next := h.dial()
	next.send(firstRequest)
	<-h.listener.interrupted
	close(hold.released)
	next.expectResponse("/art/first")
}

// Guards against several connections being closed for one new client: the changes of other connections must not close
// another one while the first has not reacted yet.
func TestOneConnectionIsEvictedForOneClient(t *testing.T) {
	h := newDrainHarness(t, 3)
	longest, second, third := h.idleClient(), h.idleClient(), h.idleClient()
	hold := h.holdRequest(longest, secondRequest)
	next := h.dial()
	next.send(firstRequest)
	<-h.listener.interrupted
	second.roundTrip()
	third.roundTrip()
	second.roundTrip()
	close(hold.released)
	longest.expectResponse("/art/second")
	next.expectResponse("/art/first")
}

// A drain announces the end of a connection with the response, and ends idle connections in order.
func TestDrainAnnouncesAndEndsConnections(t *testing.T) {
	h := newDrainHarness(t, 8)
	idle := h.idleClient()
	unused, busy := h.dial(), h.dial()
	release := h.broker.hold("/art/second")
	busy.send(secondRequest)
	<-h.broker.received
	h.startDrain()
	unused.expectEnd()
	idle.expectEnd()
	close(release)
	if !busy.expectResponse("/art/second") {
		t.Error("the response does not announce the end of the connection")
	}
	busy.expectEnd()
	h.expectDrained()
}

// Guards against a response that is cut off because a request arrives while the server closes the connection after it.
func TestResponseIsDeliveredWhenARequestCrossesTheClose(t *testing.T) {
	h := newDrainHarness(t, 8)
	h.broker.padding = strings.Repeat("x", 60_000)
	release := h.broker.hold("/art/first")
	c := h.dialWithSmallBuffer()
	c.send(firstRequest)
	<-h.broker.received
	closing := make(chan struct{})
	hook := closeHook(func(serverSide *net.TCPConn) {
		if serverSide.RemoteAddr().String() != c.LocalAddr().String() {
			return // a connection of startDrain
		}
		c.send(secondRequest)
		eventually(t, "the second request has arrived", func() bool { return socket.Peek(serverSide) == socket.Readable })
		close(closing)
	})
	h.listener.beforeClose.Store(&hook)
	h.startDrain()
	close(release)
	<-closing // until now the client has read nothing of the response, which exceeds its buffer
	if !c.expectResponse("/art/first" + h.broker.padding) {
		t.Error("the response does not announce the end of the connection")
	}
	c.expectNoAnswer()
	_ = c.Close() // until then the server waits for the client to read
	h.expectDrained()
}

// Guards against a request that is answered as malformed because its rest arrives just after the server has given up
// waiting for it.
func TestRestOfARequestIsNotReadAfterTheEndOfItsConnection(t *testing.T) {
	h := newDrainHarness(t, 8)
	h.server.lim.DrainResponseTime = 1000
	c := h.dial()
	line, rest, _ := strings.Cut(firstRequest, "\r\n")
	hold := h.holdRequest(c, line)
	close(hold.released)
	afterTimeout := newReadHold()
	h.listener.holdTimeout <- afterTimeout
	h.startDrain()
	<-afterTimeout.holding
	c.send("\r\n" + rest)
	eventually(t, "the rest has arrived", func() bool { return socket.Peek(afterTimeout.conn) == socket.Readable })
	close(afterTimeout.released)
	c.expectNoAnswer()
	h.expectDrained()
}

// A request whose head has not arrived by the end of the drain does not delay the drain for longer.
func TestDrainEndsIncompleteRequestsAtItsDeadline(t *testing.T) {
	h := newDrainHarness(t, 8)
	h.server.lim.DrainResponseTime = 100_000
	c := h.dial()
	c.send(firstRequest[:10])
	h.startDrain()
	c.expectNoAnswer()
	h.expectDrained()
}

// Guards against a drain that waits beyond its deadline for bodies: of clients that have stopped, and of slow ones.
func TestDrainEndsIncompleteBodiesAtItsDeadline(t *testing.T) {
	const head = "PUT /art/slow HTTP/1.1\r\nHost: b\r\nContent-Length: 100000\r\n\r\n"
	for name, pause := range map[string]time.Duration{"stopped": time.Hour, "slow": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			h := newDrainHarness(t, 8)
			h.server.lim.DrainResponseTime = 100_000
			c := h.dial()
			c.send(head + "x")
			go func() {
				for { // until the connection ends
					<-time.After(pause)
					if _, err := io.WriteString(c, "x"); err != nil {
						return
					}
				}
			}()
			begun := time.Now()
			h.startDrain()
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
				t.Errorf("got %v, %v, want 503 with Retry-After and a close", resp, err)
			}
			// Without the end of the drain the answer comes with that of stalled bodies, or at the class's deadline.
			if took := time.Since(begun); took > clock.Duration(h.server.lim.Clients.ObjectReceiveTimeout)/2 {
				t.Errorf("answered %v after the drain began", took)
			}
			_ = c.Close()
			h.expectDrained()
		})
	}
}

// Guards against attempts that begin when the drain is over: a request whose body comes to its end after the drain deadline is
// refused, with the word that nothing was done.
func TestRequestThatIsCompleteAfterTheDrainDeadlineIsNotExecuted(t *testing.T) {
	const etag = `"59adb24ef3cdbe0297f05b395827453f-1"`
	synctest.Test(t, func(t *testing.T) {
		executed := false
		node := func(context.Context, objectRequest) objectResponse {
			executed = true
			return objectResponse{Value: &objectstore.Response{Status: http.StatusOK, Header: http.Header{"Etag": {etag}}}}
		}
		status, retryAfter, _ := completionTest{node, 2 * time.Second, time.Second, time.Second}.run(t)
		if status != http.StatusServiceUnavailable || retryAfter == "" || executed {
			t.Errorf("status %d, Retry-After %q, executed %v, want 503, a time and false", status, retryAfter, executed)
		}
	})
}
