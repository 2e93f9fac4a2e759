package block

import (
	"strings"
	"testing"
)

func TestListOfManyShortNamesIsRejected(t *testing.T) {
	lim := testLimits()
	lim.Clients.MaxParamCount = 12
	h := newHarness(t, lim, 4)
	c, in := h.dial()
	send(c, encodeCommand("BLK.READ", testBlockID, "a", testParams+strings.Repeat(",", 8)))
	expectText(t, in, "-ERR fields over 12\r\n")
	send(c, encodeCommand("BLK.READ", testBlockID, "b", testParams+",a=,b=,e=,f="))
	<-h.broker.requests
	h.broker.response("b") <- success("v")
	expectText(t, in, "$1\r\nv\r\n")
}
