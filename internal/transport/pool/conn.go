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

// errReadLimit reports that a node has sent more bytes than SetReadLimit allows.
var errReadLimit = errors.New("pool: node sent more bytes than the read limit")

// Conn is one connection to a node. Reads go through Reader.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	limited      *limitedReader
	addr         string
	lastResponse clock.Micros // when its last response was read completely
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

// SetReadLimit limits the number of bytes that Reader reads from the connection from now on. Reads beyond the limit
// fail.
func (c *Conn) SetReadLimit(bytes int64) {
	c.limited.enabled = true
	c.limited.remaining = bytes
}

// ClearReadLimit removes the limit.
func (c *Conn) ClearReadLimit() { c.limited.enabled = false }

// InterruptOnDone makes reads and writes fail when ctx is done, by setting a deadline in the past. The returned
// function disables this and reports whether it did so before ctx was done. InterruptOnDone must be called after
// Acquire, which sets the attempt's deadline.
func (c *Conn) InterruptOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0)) // fails on a closed connection only
	})
}

// limitedReader reads from a connection up to a limit, if it is enabled.
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
