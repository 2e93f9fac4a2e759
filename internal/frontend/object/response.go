package object

import (
	"io"
	"net/http"
	"strconv"

	"poppyarch/internal/backend/objectstore"
)

// writeResponse passes a response on. The body of a streamed one has been written already.
func (x *exchange) writeResponse(resp *objectstore.Response) error {
	if resp.Streamed {
		return nil
	}
	x.setHeader(resp)
	switch {
	case x.r.Method == http.MethodHead:
		x.passOnLength(resp) // the length that a GET would return
	case resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified:
		x.w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	x.setWriteTimeout(x.server.lim.ClientWriteTimeout)
	x.w.WriteHeader(resp.Status)
	_, _ = x.w.Write(resp.Body) // net/http ends the connection if the client has gone
	return nil
}

// writeDocument answers with an XML document of this server in place of the response's body.
func (x *exchange) writeDocument(resp *objectstore.Response, document any) error {
	body, err := marshal(document)
	if err != nil {
		return errInternal
	}
	resp.Body = body
	resp.Header = http.Header{"Content-Type": {"application/xml"}}
	return x.writeResponse(resp)
}

// startStream begins a response that does not fit the backend's buffer, and returns where its body goes.
func (x *exchange) startStream(resp *objectstore.Response) io.Writer {
	x.responseStarted.Store(true)
	x.setHeader(resp)
	x.passOnLength(resp)
	x.w.WriteHeader(resp.Status)
	return streamWriter{x}
}

// setHeader sets the headers that are passed on to the client.
func (x *exchange) setHeader(resp *objectstore.Response) {
	copyHeaders(x.w.Header(), resp.Header, responseHeaders)
}

// passOnLength sets the object server's Content-Length, if it has sent one.
func (x *exchange) passOnLength(resp *objectstore.Response) {
	if length := resp.Header.Get("Content-Length"); length != "" {
		x.w.Header().Set("Content-Length", length)
	}
}

// streamWriter writes a body to the client, which must not stall for longer than Limits.ObjectStallTimeout.
type streamWriter struct {
	x *exchange
}

func (w streamWriter) Write(b []byte) (int, error) {
	w.x.setWriteTimeout(w.x.server.lim.ObjectStallTimeout)
	return w.x.w.Write(b)
}
