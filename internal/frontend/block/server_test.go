package block

import (
	"strings"
	"testing"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
)

// Pipelined commands run concurrently and are answered in the order of the commands, whichever response comes first.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	c, in := h.dial()
	send(c, readCommand("a")+encodeCommand("PING")+readCommand("b")+readCommand("c"))
	for range 3 {
		<-h.broker.requests
	}
	h.broker.response("c") <- core.Response[[]byte]{Status: core.Rejection, RetryAfter: 1500}
	h.broker.response("b") <- core.Response[[]byte]{Status: core.Failure}
	h.broker.response("a") <- success("v\r\n1")
	expectText(t, in, "$4\r\nv\r\n1\r\n+PONG\r\n-ERR failed\r\n-BUSY 2\r\n")
}

func TestCommandParametersReachTheBroker(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	c, in := h.dial()
	send(c, encodeCommand("blk.write", testBlockID, "id9", strings.Replace(testParams, "c=read", "c=new", 1), "b\r\ny"))
	req := <-h.broker.requests
	timeLeft := req.Deadline - h.server.clock.Now()
	if req.Class != 1 || !req.NotIdempotent || req.Plan != 0 || req.Volume != "00000003b4d60021" || req.Key != testBlockID ||
		req.Units != 2 || req.Shard != 5 || req.Brokers != 3 || timeLeft > 480_000 || string(req.Work.Body) != "b\r\ny" ||
		len(req.Work.Params) != 8 || req.Work.Params[7] != (blockstore.Param{Name: "k", Value: "x"}) {
		t.Errorf("the broker received %+v, %+v", req.RequestInfo, req.Work)
	}
	h.broker.response("id9") <- core.Response[[]byte]{Status: core.Rejection}
	expectText(t, in, "-BUSY\r\n")
}

func TestDisconnectCancelsRequestsInFlight(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	c, _ := h.dial()
	send(c, readCommand("a")+readCommand("b"))
	<-h.broker.requests
	<-h.broker.requests
	disconnect(c)
	if ids := <-h.broker.cancelled + <-h.broker.cancelled; ids != "ab" && ids != "ba" {
		t.Errorf("cancelled requests: %q, want a and b", ids)
	}
}

func TestMalformedInputIsAnsweredWithAnErrorAndClosesTheConnection(t *testing.T) {
	for _, x := range []struct{ in, want string }{
		{"GET / HTTP/1.1\r\n", "-ERR Protocol error: expected '*'\r\n"},
		{"*2\r\n:1\r\n", "-ERR Protocol error: expected '$'\r\n"},
		{"*9\r\n", "-ERR Protocol error: length over 8\r\n"},
		{"*0\r\n", "-ERR Protocol error: bad length\r\n"},
		{"*-1\r\n", "-ERR Protocol error: bad length\r\n"},
		{"*1\r\n$99999999999999999999\r\n", "-ERR Protocol error: length over 2048\r\n"},
		{"*1\r\n$1\r\nab", "-ERR Protocol error: bulk string longer than announced\r\n"},
		{"*3\r\n" + strings.Repeat("$2000\r\n"+strings.Repeat("x", 2000)+"\r\n", 3), "-ERR Protocol error: command over 4096 bytes\r\n"},
		// Complete commands before the malformed one are answered first.
		{encodeCommand("PING") + "x", "+PONG\r\n-ERR Protocol error: expected '*'\r\n"},
		{encodeCommand("PING") + encodeCommand("PING") + "*x\r\n", "+PONG\r\n+PONG\r\n-ERR Protocol error: bad length\r\n"},
	} {
		h := newHarness(t, testLimits(), 4)
		c, in := h.dial()
		send(c, x.in)
		expectText(t, in, x.want)
		expectClosed(t, in)
	}
}

func TestMalformedInputIsAnsweredAfterPendingReplies(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	c, in := h.dial()
	send(c, readCommand("a")+"garbage")
	<-h.broker.requests
	h.broker.response("a") <- success("v")
	expectText(t, in, "$1\r\nv\r\n-ERR Protocol error: expected '*'\r\n")
	expectClosed(t, in)
}

func TestInvalidCommandsDoNotCloseTheConnection(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	c, in := h.dial()
	for _, x := range []struct{ in, want string }{
		{encodeCommand("FLUSHALL"), "-ERR unknown command\r\n"},
		{encodeCommand("BLK.READ", "x"), "-ERR BLK.READ takes 4 words, got 2\r\n"},
		{encodeCommand("BLK.READ", "zz", "id", testParams), "-ERR piece is not 16 hex digits\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", "c=no,"+testParams[7:]), "-ERR c: cannot be \"no\"\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", strings.Replace(testParams, "d=480", "d=-1", 1)), "-ERR d: cannot be \"-1\"\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", strings.Replace(testParams, "units=2", "units=NaN", 1)), "-ERR units: cannot be \"NaN\"\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", strings.Replace(testParams, "d=480,", "", 1)), "-ERR d is missing\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", testParams+",c=read"), "-ERR malformed or repeated field \"c=read\"\r\n"},
		{encodeCommand("PING", "hi"), "$2\r\nhi\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "", testParams), "-ERR id is not 1 to 16 letters, digits or -_.: characters\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "a b", testParams), "-ERR id is not 1 to 16 letters, digits or -_.: characters\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "12345678901234567", testParams), "-ERR id is not 1 to 16 letters, digits or -_.: characters\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", testParams+strings.Repeat(",", 200)), "-ERR fields over 200 bytes\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", testParams+",y=\x00"), "-ERR malformed or repeated field \"y=\\x00\"\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", strings.Replace(testParams, "shard=5", "shard=10", 1)), "-ERR shard: cannot be \"10\"\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", strings.Replace(testParams, "shard=5", "shard=", 1)), "-ERR shard: cannot be \"\"\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", strings.Replace(testParams, "units=2", "units=9", 1)), "-ERR units: cannot be \"9\"\r\n"},
		{encodeCommand("BLK.READ", testBlockID, "id", strings.Replace(testParams, "d=480", "d=0x1p4", 1)), "-ERR d: cannot be \"0x1p4\"\r\n"},
	} {
		send(c, x.in)
		expectText(t, in, x.want)
	}
}

func TestRequestBeyondTheLimitOnBytesInFlightIsRejected(t *testing.T) {
	lim := testLimits()
	lim.MaxTotalBodyBytes = int64(len(readCommand("a"))) + requestOverheadBytes + 10
	h := newHarness(t, lim, 4)
	c, in := h.dial()
	send(c, readCommand("a"))
	<-h.broker.requests
	other, otherIn := h.dial()
	send(other, readCommand("b"))
	expectText(t, otherIn, "-BUSY 150\r\n")
	h.broker.response("a") <- success("v")
	expectText(t, in, "$1\r\nv\r\n")
	h.waitUntil("no bytes are in flight", func() bool { return h.server.memory.Used() == 0 })
}

func TestRequestIDIsRejectedWhileInFlightAndFreeAfterwards(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	c, in := h.dial()
	send(c, readCommand("a"))
	<-h.broker.requests
	other, otherIn := h.dial()
	send(other, readCommand("a")+readCommand("b"))
	if req := <-h.broker.requests; string(req.Work.RequestID) != "b" {
		t.Errorf("the broker received request %s, want b", req.Work.RequestID)
	}
	h.broker.response("b") <- success("w")
	expectText(t, otherIn, "-ERR id: a request of that id is open\r\n$1\r\nw\r\n")
	h.broker.response("a") <- success("v")
	expectText(t, in, "$1\r\nv\r\n")
	// The client may receive its reply before the id is free.
	h.waitUntil("the id is free", func() bool { return h.server.inFlight.count() == 0 })
	send(other, encodeCommand("PING")+readCommand("a"))
	<-h.broker.requests
	h.broker.response("a") <- success("x")
	expectText(t, otherIn, "+PONG\r\n$1\r\nx\r\n")
	leaving, _ := h.dial() // a disconnect also frees the id
	send(leaving, readCommand("c"))
	<-h.broker.requests
	disconnect(leaving)
	<-h.broker.cancelled
	h.waitUntil("no id is in flight", func() bool { return h.server.inFlight.count() == 0 })
}
