// Package objectstore is the object API towards storage nodes: one HTTP/1.1 exchange an attempt, on the broker's
// own connections. net/http's Transport is not used, because it resends by itself what it holds to be safe.
package objectstore

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Request is what a front wants of an object server. It keeps what earlier attempts learned, so that a resent read
// goes on where the last one broke, pinned to the version that one saw.
type Request struct {
	Method string
	Target string // escaped path and query
	Header http.Header
	Body   []byte
	// Stream, where it is set, takes answers that are longer than the buffer: it gets the status and header and
	// returns where the body goes. Once it was called, the answer has begun and nothing is resent.
	Stream func(*Response) io.Writer

	kept *kept
}

// Response is an object server's answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte // whole, unless Streamed
	Streamed,
	Truncated bool // streamed, and broke before its end
}

// kept is the beginning of an answer whose rest got lost.
type kept struct {
	status     int
	header     http.Header
	etag       string
	start, end int64 // of the answer in the object, end exclusive
	body       []byte
}

// begin notes an answer whose body will now be read. An answer that cannot be pinned is not kept: without a
// strong entity tag nothing proves that the rest belongs to the same version.
func (c *Request) begin(resp *http.Response) {
	c.kept = nil
	etag := resp.Header.Get("ETag")
	if c.Method != http.MethodGet || resp.ContentLength <= 0 || !strings.HasPrefix(etag, `"`) {
		return
	}
	k := &kept{status: resp.StatusCode, header: resp.Header.Clone(), etag: etag, end: resp.ContentLength}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusPartialContent:
		var ok bool
		if k.start, k.end, ok = contentRange(resp.Header.Get("Content-Range")); !ok ||
			k.end-k.start != resp.ContentLength {
			return // several ranges, or a server that contradicts itself
		}
	default:
		return
	}
	c.kept = k
}

// request is the next attempt's request. With a beginning kept it asks for the rest of that very version.
func (c *Request) request() (method, target string, h http.Header, body []byte) {
	if c.kept == nil {
		return c.Method, c.Target, c.Header, c.Body
	}
	h = c.Header.Clone()
	for _, name := range []string{"If-Range", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		h.Del(name) // they were judged when the answer began
	}
	k := c.kept
	h.Set("If-Match", k.etag)
	h.Set("Range", "bytes="+strconv.FormatInt(k.start+int64(len(k.body)), 10)+"-"+strconv.FormatInt(k.end-1, 10))
	return c.Method, c.Target, h, nil
}

// continues reports whether an answer is the rest that was asked for, of the same version.
func (k *kept) continues(resp *http.Response) bool {
	from, to, ok := contentRange(resp.Header.Get("Content-Range"))
	return ok && resp.StatusCode == http.StatusPartialContent && resp.Header.Get("ETag") == k.etag &&
		from == k.start+int64(len(k.body)) && to == k.end && resp.ContentLength == to-from
}

// contentRange reads "bytes FIRST-LAST/LENGTH"; end is exclusive.
func contentRange(s string) (start, end int64, ok bool) {
	s, ok = strings.CutPrefix(s, "bytes ")
	span, _, _ := strings.Cut(s, "/")
	first, last, found := strings.Cut(span, "-")
	start, err1 := strconv.ParseInt(first, 10, 64)
	end, err2 := strconv.ParseInt(last, 10, 64)
	return start, end + 1, ok && found && err1 == nil && err2 == nil && start >= 0 && end >= start
}

// encode writes a request. Host names the node.
func encode(host, method, target string, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(body))
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if len(body) > 0 || method == http.MethodPut || method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	h.Write(&b) // strips line ends from values
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
