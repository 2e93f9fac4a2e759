package httpserver

import "net/http"

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
	c.beginRequest(r.ContentLength)
	h.next.ServeHTTP(&responseWriter{ResponseWriter: w, conn: c}, r)
}

// responseWriter adds "Connection: close" to the response if its connection ends after it.
type responseWriter struct {
	http.ResponseWriter
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
