package block

import (
	"fmt"
	"strings"
	"testing"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

// onceCommand is a request of a class that must not be executed twice.
func onceCommand(id string) string {
	return encodeCommand("BLK.WRITE", testBlockID, id, strings.Replace(testParams, "c=read", "c=new", 1), "x")
}

func TestIDOfAnExecutedRequestIsNotAcceptedAgain(t *testing.T) {
	h := newHarness(t, testLimits(), 4)
	c, in := h.dial()
	for _, resp := range []core.Response[[]byte]{
		{Status: core.Success, Value: []byte("v"), MayHaveRun: true},
		{Status: core.Failure, MayHaveRun: true},
	} {
		id := fmt.Sprint("ran", resp.Status)
		send(c, onceCommand(id))
		<-h.broker.requests
		h.broker.response(id) <- resp
		if _, err := in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		if resp.Status == core.Success {
			expectText(t, in, "v\r\n")
		}
		h.waitUntilIdle(c)
		send(c, onceCommand(id))
		expectText(t, in, replyDuplicateID)
	}
	send(c, onceCommand("shed"))
	<-h.broker.requests
	h.broker.response("shed") <- core.Response[[]byte]{Status: core.Rejection}
	expectText(t, in, "-BUSY\r\n")
	h.waitUntilIdle(c)
	send(c, onceCommand("shed")) // nothing was executed
	<-h.broker.requests
	h.broker.response("shed") <- success("v")
	expectText(t, in, "$1\r\nv\r\n")
}

func TestExecutedIDsAreKeptForTheirTimeAndBounded(t *testing.T) {
	const retention = 1000
	f := newInFlight(retention, 2)
	for i, id := range []string{"a", "b"} {
		if use := f.addID(id, false, 0); use != idFree {
			t.Fatalf("a new id: %v", use)
		}
		f.remove(&reply{requestID: id, keepID: true}, clock.Micros(retention+10*i))
	}
	if once, repeatable := f.addID("c", false, retention), f.addID("d", true, retention); once != idTableFull || repeatable != idFree {
		t.Errorf("with as many ids as may be kept: %v for a request that must run once, %v for others", once, repeatable)
	}
	if use := f.addID("a", false, 2*retention-1); use != idInUse {
		t.Errorf("within the retention: %v", use)
	}
	if use := f.addID("a", false, 2*retention); use != idFree {
		t.Errorf("after the retention: %v", use)
	}
}
