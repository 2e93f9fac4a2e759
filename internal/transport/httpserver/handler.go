package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxRestBytes is the size of an unread body that may be read to keep its connection, and restTimeout the time for it.
	maxRestBytes = 4096
	restTimeout  = 10 * time.Millisecond
)

// handler passes requests to the next handler.
type handler struct {
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nc, _ := ConnOf(r.Context())
	c, ok := nc.(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.beginArrival()
	c.awaitTurn()
	c.beginRequest(r.ContentLength)
	body := &requestBody{ReadCloser: r.Body, conn: c, left: r.ContentLength}
	r.Body = body
	h.next.ServeHTTP(&responseWriter{ResponseWriter: w, request: r, body: body, conn: c}, r)
}

// requestBody is the body of a request. Each read of it must return bytes within the server's StallTimeout.
type requestBody struct {
	io.ReadCloser
	conn *conn
	left int64 // bytes that have not been read; negative if the length is not known
}

func (b *requestBody) Read(p []byte) (int, error) {
	b.conn.setReadingBody(true)
	n, err := b.ReadCloser.Read(p)
	b.conn.setReadingBody(false)
	if b.left > 0 {
		b.left -= int64(n)
	}
	if errors.Is(err, io.EOF) {
		b.left = 0
	}
	return n, err
}

// readRest reads the rest of a short body that has arrived already, and reports whether the body has been read to its end.
func (b *requestBody) readRest(r *http.Request) bool {
	if b.left > 0 && b.left <= maxRestBytes && r.Header.Get("Expect") == "" {
		_ = b.conn.SetReadDeadline(time.Now().Add(restTimeout)) // fails only on a closed connection
		_, _ = io.CopyN(io.Discard, b, b.left)
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return b.left == 0
}

// responseWriter adds "Connection: close" to the response if its connection ends after it: in a drain, or if the rest of the
// request's body has not arrived.
type responseWriter struct {
	http.ResponseWriter
	request     *http.Request
	body        *requestBody
	conn        *conn
	wroteHeader bool // the header of the final response has been written
}

// WriteHeader writes the header of a final or an informational response.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if w.conn.announcesEnd() {
			w.Header().Set("Connection", "close")
		}
		if !w.body.readRest(w.request) {
			// net/http would read the rest before it writes the response, and again after that.
			w.Header().Set("Connection", "close")
			_ = w.conn.SetReadDeadline(time.Now().Add(w.conn.server.opts.LingerTimeout)) // fails only on a closed connection
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController control the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
