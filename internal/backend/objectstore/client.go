package objectstore

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
)

// errTooLong says that an answer that must be held whole is over its bound.
var errTooLong = errors.New("objectstore: answer too long")

// Client makes attempts at object servers.
type Client struct {
	pool  *pool.Pool
	clock *clock.Clock
	lim   *limits.Limits
}

// New returns a client on a pool.
func New(p *pool.Pool, c *clock.Clock, lim *limits.Limits) *Client {
	return &Client{pool: p, clock: c, lim: lim}
}

// Attempt makes one attempt: one exchange, written once.
func (c *Client) Attempt(ctx context.Context, a core.Attempt[*Request]) (*Response, core.Outcome) {
	conn, out := c.pool.Acquire(ctx, a.Node.ObjectAddr, a.NotIdempotent, a.Deadline, a.MayStart)
	if conn == nil {
		return nil, out
	}
	stop := conn.InterruptOnDone(ctx)
	defer stop()
	method, target, h, body := a.Work.request()
	sent := c.clock.Now()
	msg := encode(a.Node.ObjectAddr, method, target, h, body)
	if n, err := conn.Write(msg); err != nil || n < len(msg) {
		c.pool.Discard(conn)
		return nil, core.SendIncomplete // its last byte was never written
	}
	res, keep, err := c.read(ctx, conn, a)
	if err == nil && keep && stop() {
		c.pool.Put(conn)
	} else {
		c.pool.Discard(conn) // also gives the attempt up at the node
	}
	if err == nil {
		return res, verdict(res, a.NotIdempotent)
	}
	if ctx.Err() != nil {
		return res, core.OutcomeOf(ctx)
	}
	var ne net.Error
	switch {
	case errors.Is(err, errVersion), errors.Is(err, errTooLong):
		return res, core.NodeError
	case errors.As(err, &ne) && ne.Timeout():
		c.pool.RecordTimeout(a.Node.ObjectAddr, sent)
		return res, core.TimedOut
	case errors.As(err, &ne), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return res, core.ConnectionLost
	}
	return res, core.MalformedResponse // it came, and cannot be read
}

// errVersion says that a resent read met another version of the object.
var errVersion = errors.New("objectstore: the object changed between two attempts")

// read takes in the answer. An error with a Result says that it broke after it had begun to reach the client.
func (c *Client) read(ctx context.Context, conn *pool.Conn, a core.Attempt[*Request]) (*Response, bool, error) {
	call := a.Work
	resp, err := head(conn, call.Method, int64(c.lim.MaxHeaderBytes))
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	if call.kept != nil {
		if !call.kept.continues(resp) {
			call.kept = nil // from here on the request starts anew, with nothing of the old version
			return nil, false, errVersion
		}
	} else {
		call.begin(resp)
	}
	keep := !resp.Close && resp.ContentLength >= 0
	res := &Response{Status: resp.StatusCode, Header: resp.Header}
	var buf []byte
	if k := call.kept; k != nil {
		res.Status, res.Header, buf = k.status, k.header, k.body
	}
	buf, whole, err := fill(resp.Body, buf, c.lim.ObjectBufferBytes)
	if call.kept != nil {
		call.kept.body = buf
	}
	if err != nil {
		return nil, false, err
	}
	if whole {
		res.Body = buf
		return res, keep, nil
	}
	if call.Stream == nil || resp.StatusCode >= 300 {
		// Answers other than objects are small; one that is not is no answer.
		if buf, whole, err = fill(resp.Body, buf, int(c.lim.MaxCompletionBytes)); err == nil && !whole {
			err = errTooLong
		}
		res.Body = buf
		return res, keep, err
	}
	a.ResponseStarted()
	res.Streamed = true
	err = c.stream(ctx, conn, call.Stream(res), buf, resp.Body)
	res.Truncated = err != nil
	return res, keep, err
}

// head reads status and header, past interim answers.
func head(conn *pool.Conn, method string, most int64) (*http.Response, error) {
	conn.SetReadLimit(most)
	defer conn.ClearReadLimit()
	for {
		resp, err := http.ReadResponse(conn.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// fill reads on until the body ends or buf holds most bytes.
func fill(r io.Reader, buf []byte, most int) (_ []byte, whole bool, err error) {
	chunk := make([]byte, 16<<10)
	for len(buf) < most {
		n, err := r.Read(chunk[:min(len(chunk), most-len(buf))])
		buf = append(buf, chunk[:n]...)
		if err == io.EOF {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	// The bound may be met exactly at the end.
	n, err := r.Read(chunk[:1])
	if n == 0 && err == io.EOF {
		return buf, true, nil
	}
	buf = append(buf, chunk[:n]...)
	if err != nil && err != io.EOF {
		return buf, false, err
	}
	return buf, err == io.EOF, nil
}

// stream passes the rest on. The client's time no longer runs, but a body that stands still is given up.
func (c *Client) stream(ctx context.Context, conn *pool.Conn, w io.Writer, buf []byte,
	body io.Reader) error {
	if _, err := w.Write(buf); err != nil {
		return err
	}
	chunk := make([]byte, 32<<10)
	for {
		conn.SetDeadline(time.Now().Add(clock.Duration(c.lim.ObjectStallTimeout)))
		if ctx.Err() != nil { // its own deadline may just have been overwritten
			return ctx.Err()
		}
		n, err := body.Read(chunk)
		if n > 0 {
			if _, err := w.Write(chunk[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// verdict names the outcome of a whole answer. What the server decided, good or bad, is the answer; what it
// could not do is not. A server that is busy says so before it runs anything, but only a request that may run
// twice relies on that.
func verdict(r *Response, unsafe bool) core.Outcome {
	switch {
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		if unsafe {
			return core.NodeError
		}
		return core.Rejected
	case r.Status >= 500 && r.Status != http.StatusNotImplemented:
		return core.NodeError
	}
	return core.Served
}
