package objectstore

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/pool"
)

const (
	readChunkBytes   = 16 << 10
	streamChunkBytes = 32 << 10
)

var (
	// errResponseTooLong reports a response that has to be buffered completely and exceeds the size limit.
	errResponseTooLong = errors.New("objectstore: response exceeds the limit on buffered responses")
	// errVersionChanged reports that the rest of a response does not belong to the same version of the object.
	errVersionChanged = errors.New("objectstore: object changed between two attempts")
)

// readResponse reads a response and reports whether its connection can be reused. If it returns both an error and a
// streamed Response, the connection broke after the response to the client had begun.
func (c *Client) readResponse(ctx context.Context, conn *pool.Conn, a *core.Attempt[*Request]) (resp *Response, reusable bool, err error) {
	r := a.Work
	httpResp, err := readHeader(conn, r.Method, int64(c.lim.MaxHeaderBytes))
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	reusable = !httpResp.Close && httpResp.ContentLength >= 0
	if err := r.continueWith(httpResp); err != nil {
		return nil, false, err
	}
	resp = &Response{Status: httpResp.StatusCode, Header: httpResp.Header}
	var body []byte
	if p := r.partial; p != nil {
		resp.Status = p.status
		resp.Header = p.header
		body = p.body
	}
	body, complete, err := readUpTo(httpResp.Body, body, c.lim.ObjectBufferBytes)
	if r.partial != nil {
		r.partial.body = body
	}
	switch {
	case err != nil:
		return nil, false, err
	case complete:
		resp.Body = body
		return resp, reusable, nil
	case r.Stream == nil || httpResp.StatusCode >= 300:
		resp.Body, err = c.readRest(httpResp.Body, body)
		return resp, reusable, err
	}
	a.ResponseStarted()
	resp.Streamed = true
	err = c.stream(ctx, conn, r.Stream(resp), body, httpResp.Body)
	resp.Truncated = err != nil
	return resp, reusable, err
}

// continueWith checks that a response continues the partial response. If there is none, it starts one.
func (r *Request) continueWith(httpResp *http.Response) error {
	if r.partial == nil {
		r.partial = newPartialResponse(r.Method, httpResp)
		return nil
	}
	if !r.partial.isContinuedBy(httpResp) {
		r.partial = nil // the next attempt starts from the beginning
		return errVersionChanged
	}
	return nil
}

// readHeader reads the status and the header, and skips interim (1xx) responses.
func readHeader(conn *pool.Conn, method string, maxBytes int64) (*http.Response, error) {
	conn.SetReadLimit(maxBytes)
	defer conn.ClearReadLimit()
	for {
		resp, err := http.ReadResponse(conn.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readUpTo appends the bytes of r to buf until r ends, in which case complete is true, or until buf holds at least
// maxBytes and one more byte was read.
func readUpTo(r io.Reader, buf []byte, maxBytes int) (_ []byte, complete bool, err error) {
	chunk := make([]byte, readChunkBytes)
	for len(buf) < maxBytes {
		n, err := r.Read(chunk[:min(len(chunk), maxBytes-len(buf))])
		buf = append(buf, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	n, err := r.Read(chunk[:1]) // r may end exactly at the limit
	buf = append(buf, chunk[:n]...)
	if errors.Is(err, io.EOF) {
		return buf, true, nil
	}
	return buf, false, err
}

// readRest reads the rest of a response that is not streamed. Only objects may be long: it returns errResponseTooLong
// if the body exceeds Limits.MaxCompletionBytes.
func (c *Client) readRest(r io.Reader, buf []byte) ([]byte, error) {
	body, complete, err := readUpTo(r, buf, int(c.lim.MaxCompletionBytes))
	if err == nil && !complete {
		err = errResponseTooLong
	}
	return body, err
}

// stream writes the buffered beginning and the rest of a body to the client. The request's deadline no longer applies,
// but streaming fails if the node stalls for longer than Limits.ObjectStallTimeout.
func (c *Client) stream(ctx context.Context, conn *pool.Conn, w io.Writer, buffered []byte, rest io.Reader) error {
	if _, err := w.Write(buffered); err != nil {
		return err
	}
	chunk := make([]byte, streamChunkBytes)
	for {
		deadline := time.Now().Add(clock.Duration(c.lim.ObjectStallTimeout))
		_ = conn.SetDeadline(deadline) // a broken connection fails when it is read
		// The call above may have overwritten the deadline that InterruptOnDone sets.
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n, readErr := rest.Read(chunk)
		if n > 0 {
			if _, err := w.Write(chunk[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
