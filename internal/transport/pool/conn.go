package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"poppyarch/internal/timing/clock"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4096

// errReadLimit reports that a node has sent more than SetReadLimit allows.
var errReadLimit = errors.New("pool: node sent more than the read limit")

// Conn is one connection to a node. Reads go through Reader.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	limited      *limitedReader
	addr         string
	lastResponse clock.Micros // when its last response was complete
}

func newConn(nc net.Conn, addr string) *Conn {
	limited := &limitedReader{conn: nc}
	return &Conn{
		Conn:    nc,
		Reader:  bufio.NewReaderSize(limited, readBufferBytes),
		limited: limited,
		addr:    addr,
	}
}

// SetReadLimit limits the bytes that Reader reads from the connection from now on. Reads beyond the limit fail.
func (c *Conn) SetReadLimit(bytes int64) {
	c.limited.enabled = true
	c.limited.remaining = bytes
}

// ClearReadLimit lifts the limit.
func (c *Conn) ClearReadLimit() { c.limited.enabled = false }

// InterruptOnDone ends reads and writes when ctx is done, by a deadline in the past. The returned function stops that
// and reports whether it did so in time. It must be called after Acquire, which sets a deadline of its own.
func (c *Conn) InterruptOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0)) // fails on a closed connection only
	})
}

// limitedReader reads from a connection up to a limit.
type limitedReader struct {
	conn      net.Conn
	enabled   bool
	remaining int64 // bytes
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.enabled {
		return r.conn.Read(p)
	}
	if r.remaining == 0 {
		return 0, errReadLimit
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
