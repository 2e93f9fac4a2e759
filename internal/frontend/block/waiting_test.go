package block

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
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
	send(c, strings.Repeat(encodeCommand("FLUSHALL"), commands)+readCommand("a"))
	h.nextRequest()
	h.broker.response("a") <- success("v")
	expectText(t, in, strings.Repeat("-ERR unknown command\r\n", commands)+"$1\r\nv\r\n")
}
