package block

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// errIdle ends a connection that is no longer kept and that owes nothing.
var errIdle = errors.New("idle")

// errStalled ends one whose client has stopped in the middle of a command. Nothing of it was taken.
var errStalled = fmt.Errorf("%w: the command did not come to its end in time", errProtocol)

// client is one connection.
type client struct {
	front *Server
	net   *guarded
	slots chan *slot   // answers owed, in order
	came  int64        // when it connected
	since atomic.Int64 // when its last answer went out, or it connected
	owed  atomic.Int64
	asked atomic.Bool // it has carried a request
	ended atomic.Bool // it goes as soon as its reader is through

	// Of the reader, and read by others only to choose whom to close.
	last  atomic.Int64 // when its last byte came; 0: none
	mid   atomic.Bool  // it stands within a command
	began atomic.Int64 // when that began
	large bool         // it has carried a command that left a large buffer behind
}

// heard notes bytes, whether they end within a command, and how long commands have been.
func (c *client) heard(now int64, size int, mid bool) {
	c.last.Store(now)
	if mid && !c.mid.Load() {
		c.began.Store(now)
	}
	c.mid.Store(mid)
	c.large = c.large || size > largeCommand
}

// largeCommand is the size of redcon's first buffer. It keeps a larger one as long as the connection stands.
const largeCommand = 4096

// until is when the reader should look after its client next.
func (c *client) until(now int64) int64 {
	lim := c.front.lim
	switch {
	case c.owed.Load() > 0: // the last answer wakes nobody
		return now + min(lim.ClientIdleTimeoutUnderPressure, lim.ClientStallTimeout)/4
	case c.last.Load() == 0:
		return c.came + lim.ClientFirstByteTimeout
	case c.mid.Load():
		return min(c.last.Load()+lim.ClientStallTimeout, c.began.Load()+lim.ClientRequestTimeout)
	case now < c.since.Load()+lim.ClientIdleTimeoutUnderPressure:
		return c.since.Load() + lim.ClientIdleTimeoutUnderPressure
	}
	return min(now+lim.ClientIdleTimeoutUnderPressure/4, c.since.Load()+lim.ClientIdleTimeout)
}

// late decides whether a client that has been silent until now, or that was woken, has to go. None goes that is owed
// an answer. Silent clients would hold descriptors that others need, half a command would hold its reader for good, and
// idle ones hold memory.
func (c *client) late(now int64) error {
	f := c.front
	woken := c.net.woken.Swap(false)
	if c.owed.Load() > 0 {
		return nil
	}
	if c.mid.Load() {
		if c.stalled(now, woken) || woken && c.tooSlow(now) || now >= c.began.Load()+f.lim.ClientRequestTimeout {
			c.ended.Store(true)
			return errStalled
		}
		return nil
	}
	idle := now - c.since.Load()
	switch {
	case woken, c.last.Load() == 0 && now >= c.came+f.lim.ClientFirstByteTimeout, idle >= f.lim.ClientIdleTimeout,
		c.last.Load() > 0 && idle >= f.lim.ClientIdleTimeoutUnderPressure && (c.large || f.crowded()):
		c.ended.Store(true)
		return errIdle
	}
	return nil
}

// closing reports whether it has been told to go.
func (c *client) closing() bool { return c.ended.Load() || c.net.woken.Load() }

// quietSince is when it was last heard of, or answered.
func (c *client) quietSince() int64 { return max(c.last.Load(), c.since.Load()) }

// stalled reports whether it has stopped within a command for too long: sooner where others need the place.
func (c *client) stalled(now int64, needed bool) bool {
	wait := c.front.lim.ClientStallTimeout
	if needed {
		wait /= 4
	}
	return c.mid.Load() && now >= c.last.Load()+wait
}

// tooSlow reports whether it has been within a command for so long that it goes where others need the place, though it
// sends a byte now and then: a few hundred of such clients would keep everybody else out.
func (c *client) tooSlow(now int64) bool {
	return c.mid.Load() && now >= c.began.Load()+2*c.front.lim.ClientStallTimeout
}

// slot is the place of one command's answer in the order.
type slot struct {
	answer chan []byte // holds one
	id     string      // of a request
	bytes  atomic.Int64
}

// owe opens the next place in the order of answers. Where too many are owed it waits, and so does the client.
func (c *client) owe(s *slot) *slot {
	s.answer = make(chan []byte, 1)
	c.owed.Add(1)
	c.slots <- s
	return s
}

// put answers at once, in order.
func (c *client) put(text string) {
	s := &slot{answer: make(chan []byte, 1)}
	s.answer <- []byte(text)
	c.owed.Add(1)
	c.slots <- s
}
