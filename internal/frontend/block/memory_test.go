package block

import (
	"strings"
	"testing"
)

// largeCommand is a request whose body takes most of the memory that memoryLimits allow.
func largeCommand(id string) string {
	return encodeCommand("BLK.WRITE", testBlockID, id, strings.Replace(testParams, "c=read", "c=new", 1), strings.Repeat("x", 2000))
}

func TestCommandWithoutMemoryIsRejectedAndItsConnectionKept(t *testing.T) {
	lim := testLimits()
	lim.MaxTotalBodyBytes = 3000
	h := newHarness(t, lim, 4)
	holder, _ := h.dial()
	send(holder, largeCommand("a")[:2000])
	h.waitUntil("the first command holds memory", func() bool { return h.server.memory.Used() >= 1900 })
	other, otherIn := h.dial()
	command := largeCommand("b")
	send(other, command[:1900])
	send(other, command[1900:])
	expectText(t, otherIn, "-BUSY 150\r\n")
	h.ping(other, otherIn)
	if n := h.server.inFlight.count(); n != 0 {
		t.Errorf("%d requests are in flight, want 0", n)
	}
}

func TestIncompleteCommandGivesItsMemoryToAnother(t *testing.T) {
	lim := testLimits()
	lim.MaxTotalBodyBytes = 7000
	h := newHarness(t, lim, 4)
	holder, holderIn := h.dial()
	command := largeCommand("a")
	send(holder, command[:2000])
	h.waitUntil("the first command holds memory", func() bool { return h.server.memory.Used() >= 1900 })
	h.waitUntil("it has been incomplete for long", func() bool {
		for c := range h.server.conns.conns {
			if c.inputBytes.Load() > 0 {
				c.commandStartedAt.Add(-hour / 2)
				return true
			}
		}
		return false
	})
	other, otherIn := h.dial()
	send(other, largeCommand("b"))
	<-h.broker.requests
	h.broker.response("b") <- success("v")
	expectText(t, otherIn, "$1\r\nv\r\n")
	send(holder, command[2000:])
	expectText(t, holderIn, "-BUSY 150\r\n")
	h.ping(holder, holderIn)
}

func TestOneConnectionCannotHoldAllMemory(t *testing.T) {
	lim := testLimits()
	lim.MaxTotalBodyBytes = 4000 // a single request may take more than the share of its connection, a second one waits
	h := newHarness(t, lim, 4)
	c, in := h.dial()
	for _, id := range []string{"a", "b"} {
		send(c, readCommand(id))
	}
	<-h.broker.requests
	other, otherIn := h.dial()
	h.roundTrip(other, otherIn) // the request that the broker gets next is this one
	if used := h.server.memory.Used(); used > lim.MaxTotalBodyBytes/connShare {
		t.Errorf("one connection holds %d bytes of %d", used, lim.MaxTotalBodyBytes)
	}
	h.broker.response("a") <- success("v")
	expectText(t, in, "$1\r\nv\r\n")
	<-h.broker.requests
	h.broker.response("b") <- success("w")
	expectText(t, in, "$1\r\nw\r\n")
}
