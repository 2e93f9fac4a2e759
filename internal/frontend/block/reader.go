package block

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

const (
	// minReadWait is the shortest read timeout of a client connection. A deadline in the past would end the read without
	// returning bytes that have arrived.
	minReadWait clock.Micros = 10_000
	// chunkBytes is the size of a connection's read buffer.
	chunkBytes = 2048
	// observeInterval is how often a reader that waits looks at the input that arrives meanwhile.
	observeInterval clock.Micros = 5_000
)

// wakeDeadline is a read deadline in the past, which ends a blocked read.
var wakeDeadline = time.Unix(1, 0)

// commandReader reads the commands of a client connection. It validates each byte as it arrives, keeps the bytes of one
// incomplete command at most, and ends reads that exceed the client's timeouts.
type commandReader struct {
	net     net.Conn
	clock   *clock.Clock
	client  *conn // provides the timeouts and the memory
	scanner scanner

	arrivals     arrivals
	observedAt   clock.Micros // when the unread input was looked at last
	noneWaitedAt clock.Micros // before the first input arrived
	chunk        [chunkBytes]byte
	unread       []byte // the part of chunk that has not been scanned
	partial      []byte // the beginning of a command whose end is not in chunk; its capacity is reserved
	commandBytes int    // size of the last command
	dropped      bool   // there was no memory for the current command: its bytes are validated and discarded

	failed atomic.Bool // a protocol error has been found
	woken  atomic.Bool // wake was called and has not been handled yet
}

// wake ends a blocked read, so that the client's timeouts are checked immediately.
func (r *commandReader) wake() {
	r.woken.Store(true)
	_ = r.net.SetReadDeadline(wakeDeadline) // fails only on a closed connection, whose reader is not blocked
}

// next returns the next command. Its memory is not used again by the reader. A command without arguments stands for one
// for which there was no memory. After an error next must not be called again.
func (r *commandReader) next() (redcon.Command, error) {
	for {
		raw, err := r.scan()
		if err == nil && raw == nil {
			err = r.fill()
		}
		if err != nil {
			r.failed.Store(isProtocolError(err))
			return redcon.Command{}, err
		}
		if r.dropped && raw != nil {
			r.dropped = false
			return redcon.Command{}, nil
		}
		if raw != nil {
			return redcon.Parse(raw)
		}
	}
}

// hasUnreadCommand reports whether the bytes that were read contain the end of another command.
func (r *commandReader) hasUnreadCommand() bool {
	ahead := r.scanner
	_, complete, err := ahead.scanCommand(r.unread)
	return complete || err != nil
}

// scan consumes unread bytes up to the end of a command and returns it, or nil if they hold no end.
func (r *commandReader) scan() ([]byte, error) {
	if len(r.unread) == 0 {
		return nil, nil
	}
	n, complete, err := r.scanner.scanCommand(r.unread)
	if err != nil {
		return nil, err
	}
	bytes := r.unread[:n]
	r.unread = r.unread[n:]
	r.client.recordScan(!complete)
	if complete {
		r.commandBytes = len(r.partial) + n
	}
	if complete && len(r.partial) == 0 {
		return append([]byte(nil), bytes...), nil
	}
	r.keep(bytes)
	if !complete {
		return nil, nil
	}
	if r.dropped {
		return bytes, nil
	}
	command := r.partial
	r.release()
	return command, nil
}

// keep appends bytes to the partial command. It grows with what has arrived, not with what the client announces. If there
// is no memory, the command is dropped.
func (r *commandReader) keep(bytes []byte) {
	if r.client.dropInput.Swap(false) {
		r.drop()
	}
	if r.dropped {
		return
	}
	need := len(r.partial) + len(bytes)
	if need > cap(r.partial) {
		size := max(need, min(2*cap(r.partial), r.scanner.lim.MaxMessageBytes))
		if !r.client.reserveInput(int64(size)) {
			r.drop()
			return
		}
		grown := make([]byte, len(r.partial), size)
		copy(grown, r.partial)
		r.client.releaseInput(int64(cap(r.partial)))
		r.partial = grown
	}
	r.partial = append(r.partial, bytes...)
}

// release gives up the partial command and its reservation.
func (r *commandReader) release() {
	r.client.releaseInput(int64(cap(r.partial)))
	r.partial = nil
}

// drop gives up the current command.
func (r *commandReader) drop() {
	r.release()
	r.dropped = true
}

// fill reads the next bytes into the chunk.
func (r *commandReader) fill() error {
	waited := r.observe()
	n, err := r.readWithTimeout(r.chunk[:])
	if n == 0 {
		return err
	}
	now := r.clock.Now()
	if !waited {
		r.arrivals.observe(0, now) // the bytes arrived while the read waited for them
	}
	r.arrivals.read(n)
	r.unread = r.chunk[:n]
	r.recordBacklog(n == len(r.chunk))
	r.client.recordRead(now)
	return nil
}

// observe records how much input waits to be read, and reports whether any does.
func (r *commandReader) observe() bool {
	unread, known := socket.UnreadBytes(r.net)
	if !known || unread == 0 {
		return false
	}
	now := r.clock.Now()
	if r.arrivals.count == 0 {
		r.observeFirst(now)
	}
	r.arrivals.observe(unread, now)
	return true
}

// observeFirst records when input has arrived that came before the connection was accepted. The system's clock need not be this
// one, so it is not trusted beyond what this one tells.
func (r *commandReader) observeFirst(now clock.Micros) {
	if since, ok := socket.SinceLastArrival(r.net); ok {
		r.arrivals.observe(0, max(now-clock.FromDuration(since), r.noneWaitedAt))
	}
}

// observeWaiting is like observe for a reader that waits before it reads on. It must be called often.
func (r *commandReader) observeWaiting() {
	now := r.clock.Now()
	if now < r.observedAt+observeInterval {
		return
	}
	r.observedAt = now
	if unread, known := socket.UnreadBytes(r.net); known && r.arrivals.count > 0 {
		r.arrivals.observe(unread, now)
	}
}

// arrivedAt returns when the last command that was returned by next has arrived.
func (r *commandReader) arrivedAt(now clock.Micros) clock.Micros {
	if at, ok := r.arrivals.arrivedAt(len(r.unread)); ok {
		return min(at, now)
	}
	return now
}

// recordBacklog records whether much input was left when some was read. It is until a read returns less than it could.
func (r *commandReader) recordBacklog(full bool) {
	c := r.client
	switch {
	case !full:
		c.backlogged.Store(false)
	case !c.backlogged.Load():
		unread, known := socket.UnreadBytes(r.net)
		c.backlogged.Store(known && unread >= socket.MaxUnreadBytes)
	}
}

// readWithTimeout reads until the client's timeouts pass. Bytes that have arrived are read before a timeout applies: a
// request whose last byte has arrived counts as received, even if this process reads it late.
func (r *commandReader) readWithTimeout(b []byte) (int, error) {
	for {
		now := r.clock.Now()
		timeout := max(r.client.nextIdleCheck(now)-now, minReadWait)
		// If setting the deadline fails, the following read fails, too.
		_ = r.net.SetReadDeadline(time.Now().Add(clock.Duration(timeout)))
		if r.woken.Load() {
			_ = r.net.SetReadDeadline(wakeDeadline) // the call above may have overwritten the deadline that wake has set
		}
		n, err := r.net.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if r.client.dropInput.Swap(false) {
			r.drop()
		}
		if socket.Peek(r.net) != socket.Empty {
			r.woken.Store(false) // if the connection is still to be closed, wake will be called again
			continue
		}
		if err := r.client.checkIdle(r.clock.Now()); err != nil {
			return 0, err
		}
	}
}
