package object

import (
	"io"
	"net/http"
	"strconv"

	"poppyarch/internal/backend/objectstore"
)

// writeResponse forwards a response to the client. A streamed response has already been written.
func (x *exchange) writeResponse(resp *objectstore.Response) error {
	if resp.Streamed {
		return nil
	}
	x.setHeader(resp)
	switch {
	case x.r.Method == http.MethodHead:
		x.copyContentLength(resp) // the length that a GET would return
	case resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified:
		x.w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	x.setWriteTimeout(x.server.lim.ClientWriteTimeout)
	x.w.WriteHeader(resp.Status)
	_, _ = x.w.Write(resp.Body) // net/http closes the connection if the client has disconnected
	return nil
}

// writeDocument writes a response with an XML document in place of the object server's body.
func (x *exchange) writeDocument(resp *objectstore.Response, document any) error {
	body, err := marshal(document)
	if err != nil {
		return errInternal
	}
	resp.Body = body
	resp.Header = http.Header{"Content-Type": {"application/xml"}}
	return x.writeResponse(resp)
}

// startStream begins a response that does not fit the backend's buffer, and returns the writer for its body.
func (x *exchange) startStream(resp *objectstore.Response) io.Writer {
	x.responseStarted.Store(true)
	x.setHeader(resp)
	x.copyContentLength(resp)
	x.w.WriteHeader(resp.Status)
	return streamWriter{x}
}

// setHeader sets the headers that are forwarded to the client.
func (x *exchange) setHeader(resp *objectstore.Response) {
	copyHeaders(x.w.Header(), resp.Header, responseHeaders)
}

// copyContentLength copies the object server's Content-Length header, if it has one.
func (x *exchange) copyContentLength(resp *objectstore.Response) {
	if length := resp.Header.Get("Content-Length"); length != "" {
		x.w.Header().Set("Content-Length", length)
	}
}

// streamWriter writes a body to the client. A write fails if the client stalls for longer than
// Limits.ObjectStallTimeout.
type streamWriter struct {
	x *exchange
}

func (w streamWriter) Write(b []byte) (int, error) {
	w.x.setWriteTimeout(w.x.server.lim.ObjectStallTimeout)
	return w.x.w.Write(b)
}
