package block

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// minReadWait is the shortest read timeout of a client connection. A deadline in the past would end the read without
// returning bytes that have arrived.
const minReadWait clock.Micros = 10_000

// wakeDeadline is a read deadline in the past, which ends a blocked read.
var wakeDeadline = time.Unix(1, 0)

// commandReader reads a client connection for redcon. It returns only validated bytes, ends the stream after the last
// complete command before malformed input, and ends reads that exceed the client's timeouts.
type commandReader struct {
	net     net.Conn
	clock   *clock.Clock
	client  *conn // provides the timeouts
	scanner scanner

	err        error       // why the stream has ended; nil before its end
	hasCommand bool        // a complete command was returned, so redcon no longer writes the replies
	failed     atomic.Bool // err is a protocol error
	woken      atomic.Bool // wake was called and has not been handled yet
}

// wake ends a blocked read, so that the client's timeouts are checked immediately.
func (r *commandReader) wake() {
	r.woken.Store(true)
	_ = r.net.SetReadDeadline(wakeDeadline) // fails only on a closed connection, whose reader is not blocked
}

// Read returns validated bytes. For malformed input it returns an error after all valid commands before it.
func (r *commandReader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.readWithTimeout(b)
	if n == 0 {
		if isProtocolError(err) {
			r.fail(err)
		}
		return 0, err
	}
	complete, scanErr := r.scanner.scan(b[:n])
	r.hasCommand = r.hasCommand || complete > 0
	r.client.recordRead(r.clock.Now(), r.scanner.largestCommand(), !r.scanner.atCommandStart())
	if scanErr == nil {
		return n, nil
	}
	r.fail(scanErr)
	if complete > 0 {
		return complete, nil
	}
	return 0, scanErr
}

// fail ends the stream with a protocol error.
func (r *commandReader) fail(err error) {
	r.err = err
	r.failed.Store(true)
	if !r.hasCommand {
		// No reply is pending, and redcon would close the connection without an error reply.
		_, _ = r.net.Write([]byte("-ERR " + err.Error() + "\r\n")) // a client that has disconnected needs no error
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
		if socket.Peek(r.net) != socket.Empty {
			r.woken.Store(false) // if the connection is still to be closed, wake will be called again
			continue
		}
		if err := r.client.checkIdle(r.clock.Now()); err != nil {
			return 0, err
		}
	}
}
