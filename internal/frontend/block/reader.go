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

// minReadWait is the shortest read deadline of a client connection. A deadline in the past would end the read without
// looking at what has arrived.
const minReadWait clock.Micros = 10_000

// wakeDeadline is a read deadline in the past, which ends a blocked read.
var wakeDeadline = time.Unix(1, 0)

// commandReader reads a client connection for redcon. It passes on validated bytes only, ends the stream after the last
// complete command in front of malformed input, and ends reads that exceed the client's timeouts.
type commandReader struct {
	net     net.Conn
	clock   *clock.Clock
	client  *conn // whose timeouts apply
	scanner scanner

	err        error       // what ended the stream; nil while it goes on
	hasCommand bool        // a complete command was passed on, so replies are no longer redcon's
	failed     atomic.Bool // err is a protocol error
	woken      atomic.Bool // wake was called and not yet acted on
}

// wake ends a blocked read, so that the client's timeouts are checked now.
func (r *commandReader) wake() {
	r.woken.Store(true)
	_ = r.net.SetReadDeadline(wakeDeadline) // fails on a closed connection only, whose reader is not blocked
}

// Read returns validated bytes. The error for malformed input is returned by the read after the last of them.
func (r *commandReader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.wait(b)
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

// fail ends the stream.
func (r *commandReader) fail(err error) {
	r.err = err
	r.failed.Store(true)
	if !r.hasCommand {
		// No reply is pending before it, and redcon would close the connection without one.
		_, _ = r.net.Write([]byte("-ERR " + err.Error() + "\r\n")) // a client that is gone needs no error
	}
}

// wait reads for as long as the client's timeouts allow. Bytes that have arrived are read before a timeout applies: a
// request whose last byte is here counts as received, however late this process looks.
func (r *commandReader) wait(b []byte) (int, error) {
	for {
		now := r.clock.Now()
		timeout := max(r.client.nextIdleCheck(now)-now, minReadWait)
		// A failure to set a deadline shows in the read that follows.
		_ = r.net.SetReadDeadline(time.Now().Add(clock.Duration(timeout)))
		if r.woken.Load() {
			_ = r.net.SetReadDeadline(wakeDeadline) // its deadline may just have been overwritten
		}
		n, err := r.net.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if socket.Peek(r.net) != socket.Empty {
			r.woken.Store(false) // whoever still wants the connection closed will wake it again
			continue
		}
		if err := r.client.checkIdle(r.clock.Now()); err != nil {
			return 0, err
		}
	}
}
