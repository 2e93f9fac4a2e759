package objectstore

import (
	"net/http"
	"testing"
)

// objectResponse returns an object server's response to a GET request.
func objectResponse(status int, length int64, etag, contentRange string) *http.Response {
	header := http.Header{}
	header.Set("ETag", etag)
	header.Set("Content-Range", contentRange)
	return &http.Response{StatusCode: status, ContentLength: length, Header: header}
}

func TestContinuableResponses(t *testing.T) {
	for _, x := range []struct {
		name   string
		method string
		resp   *http.Response
		want   bool
	}{
		{"complete object", "GET", objectResponse(200, 100, `"v1"`, ""), true},
		{"one range", "GET", objectResponse(206, 10, `"v1"`, "bytes 20-29/100"), true},
		{"HEAD request", "HEAD", objectResponse(200, 100, `"v1"`, ""), false},
		{"weak entity tag", "GET", objectResponse(200, 100, `W/"v1"`, ""), false},
		{"no entity tag", "GET", objectResponse(200, 100, "", ""), false},
		{"unknown length", "GET", objectResponse(200, -1, `"v1"`, ""), false},
		{"several ranges", "GET", objectResponse(206, 300, `"v1"`, ""), false},
		{"range that contradicts the length", "GET", objectResponse(206, 11, `"v1"`, "bytes 20-29/100"), false},
		{"error", "GET", objectResponse(404, 100, `"v1"`, ""), false},
	} {
		if got := newPartialResponse(x.method, x.resp) != nil; got != x.want {
			t.Errorf("%s: continuable %v, want %v", x.name, got, x.want)
		}
	}
}

func TestNextAttemptRequestsTheRestOfTheSameVersion(t *testing.T) {
	r := &Request{
		Method: "GET",
		Target: "/bucket/key",
		Header: http.Header{"If-None-Match": {`"v0"`}, "Range": {"bytes=20-29"}, "X-Amz-Meta-A": {"b"}},
	}
	if err := r.continueWith(objectResponse(206, 10, `"v1"`, "bytes 20-29/100")); err != nil {
		t.Fatal(err)
	}
	r.partial.body = []byte("abc")
	next := r.wireRequest()
	if next.header.Get("Range") != "bytes=23-29" || next.header.Get("If-Match") != `"v1"` || next.header.Get("If-None-Match") != "" ||
		next.header.Get("X-Amz-Meta-A") != "b" || next.target != r.Target {
		t.Errorf("the request for the rest is %s %v", next.target, next.header)
	}
	if err := r.continueWith(objectResponse(206, 7, `"v1"`, "bytes 23-29/100")); err != nil {
		t.Errorf("the rest was not accepted: %v", err)
	}
	if err := r.continueWith(objectResponse(206, 7, `"v2"`, "bytes 23-29/100")); err == nil || r.partial != nil {
		t.Errorf("a response of another version was accepted: %v", err)
	}
	if next := r.wireRequest(); next.header.Get("Range") != "bytes=20-29" || next.header.Get("If-Match") != "" {
		t.Errorf("the request after a version change is %v", next.header)
	}
}

func TestEncodedRequest(t *testing.T) {
	for _, x := range []struct {
		request wireRequest
		want    string
	}{
		{wireRequest{method: "GET", target: "/b/k?x=1"}, "GET /b/k?x=1 HTTP/1.1\r\nHost: node\r\n\r\n"},
		{wireRequest{method: "PUT", target: "/b/k", header: http.Header{"Content-Type": {"text/plain"}}, body: []byte("abc")},
			"PUT /b/k HTTP/1.1\r\nHost: node\r\nContent-Length: 3\r\nContent-Type: text/plain\r\n\r\nabc"},
		{wireRequest{method: "POST", target: "/b/k?uploads"}, "POST /b/k?uploads HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n"},
	} {
		got, err := x.request.encode("node")
		if err != nil || string(got) != x.want {
			t.Errorf("%q, %v, want %q", got, err, x.want)
		}
	}
}
