package block

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
)

// batchSize is how many requests a client of these tests sends at once.
const batchSize = 48

// rejectBatch makes a client send a batch of requests, which the broker rejects, and receives the replies.
func (h *harness) rejectBatch(c net.Conn, expect func(want string), number int) {
	h.t.Helper()
	var batch strings.Builder
	for i := range batchSize {
		batch.WriteString(readCommand(fmt.Sprintf("b%d-%d", number, i)))
	}
	send(c, batch.String())
	for range batchSize {
		req := h.nextRequest()
		h.broker.response(string(req.Work.RequestID)) <- core.Response[[]byte]{Status: core.Rejection}
	}
	expect(strings.Repeat("-BUSY\r\n", batchSize))
}

// readWithin returns a read with a deadline.
func readWithin(id string, deadline time.Duration) string {
	params := strings.Replace(testParams, "d=480", fmt.Sprintf("d=%d", deadline.Milliseconds()), 1)
	return encodeCommand("BLK.READ", testBlockID, id, params)
}

// nextRequest returns the next request that has reached the broker.
func (h *harness) nextRequest() core.Request[*blockstore.Command] {
	h.t.Helper()
	select {
	case req := <-h.broker.requests:
		return req
	case <-time.After(testTimeout):
		h.t.Fatal("the client's request has not been read")
	}
	panic("not reached")
}

// startFlood connects clients that send commands that are no requests, and returns when they are made to wait.
func (h *harness) startFlood() {
	h.t.Helper()
	const floodingClients = 10
	for range floodingClients {
		c, _ := h.dial()
		send(c, strings.Repeat(encodeCommand("FLUSHALL"), 8*batchSize))
	}
	h.waitUntil("the flooding clients are made to wait", func() bool {
		delayed := 0
		for c := range h.server.conns.conns {
			if c.delayed.Load() {
				delayed++
			}
		}
		return delayed == floodingClients
	})
}

// Guards against a client whose sound requests are rejected and that is then not read for seconds, because others send
// commands that are no requests: the rate of free answers leaves each of them less than one in ten seconds.
func TestRejectedClientIsReadBesideFloodingClients(t *testing.T) {
	lim := testLimits()
	lim.Clients.FreeAnswersPerSecond = 1
	lim.Clients.FreeAnswerBurst = 4 * batchSize
	h := newHarness(t, lim, 64)
	h.startFlood()
	usual, in := h.dial()
	for number := range 3 {
		h.rejectBatch(usual, func(want string) { expectText(t, in, want) }, number)
	}
}

// Guards against commands that are not read although their client has waited for its turn as long as any may: here it is in
// debt by far more than its share repays within the test.
func TestClientInDebtIsReadWithinABoundedTime(t *testing.T) {
	lim := testLimits()
	lim.Clients.FreeAnswersPerSecond = 1
	lim.Clients.FreeAnswerBurst = 4
	h := newHarness(t, lim, 64)
	h.startFlood()
	c, in := h.dial()
	const commands = 12
	send(c, strings.Repeat(encodeCommand("FLUSHALL"), commands)+readWithin("a", testTimeout))
	h.nextRequest()
	h.broker.response("a") <- success("v")
	expectText(t, in, strings.Repeat("-ERR unknown command\r\n", commands)+"$1\r\nv\r\n")
}

// Guards against requests that are passed on with more time than their clients have left, because their deadline counts from
// when they are read and not from when they have arrived. Each case makes the reader come late, for another reason.
func TestDeadlineCountsFromTheArrivalOfARequestThatIsReadLate(t *testing.T) {
	const (
		deadline = time.Hour
		held     = 1500 * time.Millisecond // how long the reader is kept from the request, at least
	)
	for name, x := range map[string]struct {
		maxConns int
		limit    func(*limits.Limits)
		// hold sends the request "late" at once and lets the reader come to it after held.
		hold func(h *harness, held time.Duration, late string)
	}{
		"client in debt for errors": {64, oneFreeAnswer, func(h *harness, held time.Duration, late string) {
			h.startFlood()
			c, _ := h.dial()
			commands := 2 + int(held/pacing.MaxWait)
			send(c, strings.Repeat(encodeCommand("FLUSHALL"), commands)+late)
		}},
		"too many replies pending": {64, func(lim *limits.Limits) { lim.Clients.MaxPendingReplies = 2 }, holdReplies},
		"too much memory held": {64, func(lim *limits.Limits) {
			lim.MaxTotalBodyBytes = 2 * (2*requestOverheadBytes + 2*replyOverheadBytes + 600)
		}, holdReplies},
		"no connection free": {1, func(*limits.Limits) {}, func(h *harness, held time.Duration, late string) {
			busy, _ := h.dial()
			send(busy, readWithin("a", deadline))
			h.nextRequest()
			next, _ := h.dial()
			send(next, late)
			<-time.After(held)
			disconnect(busy)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			lim := testLimits()
			x.limit(lim)
			h := newHarness(t, lim, x.maxConns)
			sentAt := h.server.clock.Now()
			x.hold(h, held, readWithin("late", deadline))
			req := h.nextRequest()
			for string(req.Work.RequestID) != "late" {
				req = h.nextRequest()
			}
			if read := h.server.clock.Now() - sentAt; read < clock.FromDuration(held) {
				t.Fatalf("the request was read after %d us, so that this tests nothing", read)
			}
			if beyond := req.Deadline - sentAt - clock.FromDuration(deadline); beyond >= clock.FromDuration(held)/2 {
				t.Errorf("the request has %d us more than its client gave it", beyond)
			}
		})
	}
}

func oneFreeAnswer(lim *limits.Limits) {
	lim.Clients.FreeAnswersPerSecond = 1
	lim.Clients.FreeAnswerBurst = 1
}

// holdReplies sends requests whose replies are held back, and a late one behind them.
func holdReplies(h *harness, held time.Duration, late string) {
	c, _ := h.dial()
	send(c, readWithin("a", time.Hour)+readWithin("b", time.Hour)+readWithin("c", time.Hour)+late)
	<-time.After(held)
	for _, id := range []string{"a", "b", "c"} {
		h.broker.response(id) <- success("v")
	}
}

// Guards against attempts for clients that have given up: a request whose time has passed before it is read is rejected.
func TestRequestThatIsReadAfterItsDeadlineIsRejected(t *testing.T) {
	lim := testLimits()
	oneFreeAnswer(lim)
	h := newHarness(t, lim, 64)
	h.startFlood()
	c, in := h.dial()
	send(c, strings.Repeat(encodeCommand("FLUSHALL"), 4)+readWithin("late", time.Millisecond)+readWithin("next", time.Hour))
	if req := h.nextRequest(); string(req.Work.RequestID) != "next" {
		t.Errorf("request %s was passed to the broker", req.Work.RequestID)
	}
	h.broker.response("next") <- success("v")
	expectText(t, in, strings.Repeat("-ERR unknown command\r\n", 4)+"-BUSY 150\r\n$1\r\nv\r\n")
	if n := h.server.stats.Get(clientstats.RejectedExpired); n != 1 {
		t.Errorf("%d requests are counted as expired, want 1", n)
	}
}

// Guards against a drain in which commands that were read wait for their client's turn, so that they are not answered before
// the process is killed. An earlier request without a response keeps the connection from being woken.
func TestReadCommandsDoNotWaitAtTheEndOfADrain(t *testing.T) {
	const (
		commands = 30
		atMost   = commands * pacing.MaxWait / 2 // pacing alone would take about twice that
	)
	lim := testLimits()
	oneFreeAnswer(lim)
	lim.DrainServeTime = millisecond
	h := newHarness(t, lim, 64)
	h.startFlood()
	c, in := h.dial()
	send(c, readWithin("a", time.Hour)+strings.Repeat(encodeCommand("FLUSHALL"), commands))
	h.nextRequest()
	drained := make(chan error, 1)
	begun := time.Now()
	go func() { drained <- h.server.Drain(t.Context()) }()
	h.waitUntil("all commands have their replies", func() bool {
		for serverConn := range h.server.conns.conns {
			if serverConn.RemoteAddr().String() == c.LocalAddr().String() {
				return serverConn.pending.Load() == commands+1
			}
		}
		return false
	})
	if took := time.Since(begun); took > atMost {
		t.Errorf("the commands were executed %v after the end of the drain began, want at most %v", took, atMost)
	}
	h.broker.response("a") <- success("v")
	expectText(t, in, "$1\r\nv\r\n"+strings.Repeat("-ERR unknown command\r\n", commands))
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
