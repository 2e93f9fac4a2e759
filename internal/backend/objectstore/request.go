package objectstore

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Request is a request to an object server. It keeps the beginning of a response whose connection broke, so that the
// next attempt at the read continues there, with the same version of the object.
type Request struct {
	Method string
	Target string // escaped path and query
	Header http.Header
	Body   []byte
	// Stream, if it is not nil, is called for a successful response that does not fit the buffer. It is passed the status
	// and header and returns the writer for the body. The response to the client has then begun, and no other attempt is
	// made.
	Stream func(*Response) io.Writer

	partial *partialResponse // nil if there is none
}

// Response is an object server's response.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte // the complete body, unless Streamed
	Streamed  bool   // the body was written to the stream
	Truncated bool   // it was streamed, and the connection broke before its end
}

// wireRequest is what is sent to the object server in one attempt.
type wireRequest struct {
	method string
	target string
	header http.Header
	body   []byte
}

// wireRequest returns the request to send in the next attempt. If there is a partial response, it requests the rest of
// the same version.
func (r *Request) wireRequest() wireRequest {
	if r.partial == nil {
		return wireRequest{method: r.Method, target: r.Target, header: r.Header, body: r.Body}
	}
	header := r.Header.Clone()
	// The server evaluated these conditions for the first part of the response.
	for _, name := range []string{"If-Range", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		header.Del(name)
	}
	header.Set("If-Match", r.partial.etag)
	header.Set("Range", r.partial.missingRange())
	return wireRequest{method: r.Method, target: r.Target, header: header}
}

// encode returns the request in HTTP/1.1. host is the value of the Host header.
func (r *wireRequest) encode(host string) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(512 + len(r.body))
	b.WriteString(r.method + " " + r.target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if len(r.body) > 0 || r.method == http.MethodPut || r.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	if err := r.header.Write(&b); err != nil { // Write replaces line breaks in values
		return nil, err
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes(), nil
}

// partialResponse is the beginning of a response whose rest was not received.
type partialResponse struct {
	status int
	header http.Header
	etag   string
	start  int64  // offset of the response's first byte in the object
	end    int64  // offset after its last byte
	body   []byte // received so far
}

// newPartialResponse returns a partialResponse with an empty body, or nil if the response cannot be continued after a
// failure. Continuing requires a GET response with a strong entity tag, which proves that the rest belongs to the same
// version, and with a single range of known length.
func newPartialResponse(method string, resp *http.Response) *partialResponse {
	etag := resp.Header.Get("ETag")
	if method != http.MethodGet || resp.ContentLength <= 0 || !strings.HasPrefix(etag, `"`) {
		return nil
	}
	p := &partialResponse{status: resp.StatusCode, header: resp.Header.Clone(), etag: etag}
	switch resp.StatusCode {
	case http.StatusOK:
		p.end = resp.ContentLength
		return p
	case http.StatusPartialContent:
		start, end, ok := parseContentRange(resp.Header.Get("Content-Range"))
		if !ok || end-start != resp.ContentLength {
			return nil
		}
		p.start = start
		p.end = end
		return p
	}
	return nil
}

// missingRange returns the Range header that requests the rest.
func (p *partialResponse) missingRange() string {
	first := p.start + int64(len(p.body))
	return "bytes=" + strconv.FormatInt(first, 10) + "-" + strconv.FormatInt(p.end-1, 10)
}

// isContinuedBy reports whether a response is the rest of the same version.
func (p *partialResponse) isContinuedBy(resp *http.Response) bool {
	start, end, ok := parseContentRange(resp.Header.Get("Content-Range"))
	return ok && resp.StatusCode == http.StatusPartialContent && resp.Header.Get("ETag") == p.etag &&
		start == p.start+int64(len(p.body)) && end == p.end && resp.ContentLength == end-start
}

// parseContentRange parses "bytes FIRST-LAST/LENGTH". end is exclusive.
func parseContentRange(header string) (start, end int64, ok bool) {
	header, isBytes := strings.CutPrefix(header, "bytes ")
	span, _, _ := strings.Cut(header, "/")
	first, last, hasDash := strings.Cut(span, "-")
	start, firstErr := strconv.ParseInt(first, 10, 64)
	end, lastErr := strconv.ParseInt(last, 10, 64)
	end++
	ok = isBytes && hasDash && firstErr == nil && lastErr == nil && start >= 0 && end >= start
	return start, end, ok
}
