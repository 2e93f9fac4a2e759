package server

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/nodes/discovery"
)

func TestObjectReadsRangesAndConditions(t *testing.T) {
	r := newRig(t)
	base, _ := r.broker("")
	body := noise(200_000, 1) // longer than the buffer: streamed
	r.home(base, "/art/label one.pdf", body)
	u := base + "/art/label%20one.pdf"
	whole := r.do("GET", u, nil)
	if whole.status != 200 || !bytes.Equal(whole.body, body) {
		t.Fatalf("whole: %d, %d bytes", whole.status, len(whole.body))
	}
	etag := whole.header.Get("ETag")
	for _, c := range []struct {
		name   string
		header []string
		status int
		body   []byte
		rng    string
	}{
		{"first bytes", []string{"Range", "bytes=0-9"}, 206, body[:10], "bytes 0-9/200000"},
		{"long range", []string{"Range", "bytes=1000-149999"}, 206, body[1000:150000], "bytes 1000-149999/200000"},
		{"suffix", []string{"Range", "bytes=-5"}, 206, body[199995:], "bytes 199995-199999/200000"},
		{"open end", []string{"Range", "bytes=199990-"}, 206, body[199990:], "bytes 199990-199999/200000"},
		{"beyond the end", []string{"Range", "bytes=200000-"}, 416, nil, "bytes */200000"},
		{"If-Range holds", []string{"Range", "bytes=3-4", "If-Range", etag}, 206, body[3:5], "bytes 3-4/200000"},
		{"If-Range fails", []string{"Range", "bytes=3-4", "If-Range", `"other"`}, 200, body, ""},
		{"If-None-Match", []string{"If-None-Match", etag}, 304, nil, ""},
		{"If-Match fails", []string{"If-Match", `"other"`}, 412, nil, ""},
		{"malformed range", []string{"Range", "bytes=9-3"}, 200, body, ""},
		{"unknown unit", []string{"Range", "lines=1-2"}, 200, body, ""},
	} {
		a := r.do("GET", u, nil, c.header...)
		if a.status != c.status || a.header.Get("Content-Range") != c.rng ||
			c.body != nil && !bytes.Equal(a.body, c.body) {
			t.Errorf("%s: %d, range %q, %d bytes", c.name, a.status, a.header.Get("Content-Range"), len(a.body))
		}
	}
	if a := r.do("HEAD", u, nil); a.status != 200 || a.header.Get("Content-Length") != "200000" ||
		a.header.Get("ETag") != etag {
		t.Errorf("HEAD: %d %v", a.status, a.header)
	}
	if a := r.do("DELETE", u, nil); a.status != 204 {
		t.Errorf("DELETE: %d", a.status)
	}
	if a := r.do("GET", u, nil); a.status != 404 || !bytes.Contains(a.body, []byte("<Code>NoSuchKey</Code>")) {
		t.Errorf("GET after DELETE: %d %s", a.status, a.body)
	}
}

// A node restarts in the middle of a range: the rest is read from it, pinned to the version that the first part came
// from, and the client gets one complete response.
func TestRangeReadResumesAfterNodeRestart(t *testing.T) {
	r := newRig(t)
	base, _ := r.broker("")
	body := noise(50_000, 2)
	home := r.home(base, "/art/die", body)
	store, node := r.stores[home], r.nodes[home]
	var died atomic.Bool
	second := make(chan http.Header, 4)
	store.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
		if died.Swap(true) {
			second <- q.Header.Clone()
			next()
			return
		}
		next0 := &cut{ResponseWriter: w, left: 11_000}
		store.Cut(next0, q)
		w.(http.Flusher).Flush()
		// The process dies, and another comes up in its place; discovery says so later.
		go func() {
			if err := node.Replace(); err != nil {
				t.Error(err)
			}
			boot := []int64{0, 0}
			boot[home] = time.Now().UnixMilli()
			r.list(boot...)
		}()
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	})
	a := r.do("GET", base+"/art/die", nil, "Range", "bytes=100-40099")
	if a.status != 206 || a.err != nil || !bytes.Equal(a.body, body[100:40100]) ||
		a.header.Get("Content-Range") != "bytes 100-40099/50000" {
		t.Fatalf("%d, %d bytes, %v, %v", a.status, len(a.body), a.err, a.header)
	}
	h := <-second
	from, ok := strings.CutPrefix(h.Get("Range"), "bytes=")
	first, last, _ := strings.Cut(from, "-")
	if n, err := strconv.Atoi(first); !ok || err != nil || n < 100 || n > 11_100 || last != "40099" {
		t.Errorf("the second attempt asked for %q", h.Get("Range"))
	}
	if h.Get("If-Match") != a.header.Get("ETag") {
		t.Errorf("the second attempt is pinned to %q", h.Get("If-Match"))
	}
	if n := count(store, "GET /art/die"); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// The object is overwritten between the attempts: the response has one version or the other, never both.
func TestResumedRangeReadNeverMixesVersions(t *testing.T) {
	r := newRig(t)
	base, _ := r.broker("")
	old, fresh := noise(50_000, 3), noise(50_000, 4)
	store := r.stores[r.home(base, "/art/die", old)]
	var n atomic.Int32
	store.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
		if n.Add(1) > 1 {
			next()
			return
		}
		store.Cut(&cut{ResponseWriter: w, left: 11_000}, q)
		w.(http.Flusher).Flush()
		store.Put("/art/die", fresh)
		panic(http.ErrAbortHandler)
	})
	a := r.do("GET", base+"/art/die", nil, "Range", "bytes=0-39999")
	if a.status != 206 || !bytes.Equal(a.body, fresh[:40000]) {
		t.Fatalf("%d, old %v, %d bytes", a.status, bytes.HasPrefix(a.body, old[:100]), len(a.body))
	}
	if n.Load() != 3 { // the first, the pinned one that met another version, the new start
		t.Errorf("%d attempts, want 3", n.Load())
	}
}

// After the first byte a failure truncates the body, so that the client notices it, and nothing is retried.
func TestFailureAfterFirstByteTruncatesTheBody(t *testing.T) {
	r := newRig(t)
	base, _ := r.broker("")
	body := noise(300_000, 5)
	store := r.stores[r.home(base, "/art/big", body)]
	store.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
		store.Cut(&cut{ResponseWriter: w, left: 200_000}, q)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	a := r.do("GET", base+"/art/big", nil)
	if a.status != 200 || a.err == nil || len(a.body) >= len(body) || !bytes.HasPrefix(body, a.body) {
		t.Fatalf("%d, %d bytes, %v", a.status, len(a.body), a.err)
	}
	if n := count(store, "GET /art/big"); n != 1 {
		t.Errorf("%d attempts after the first byte, want 1", n)
	}
}

// upload creates a multipart upload and returns its id.
func (r *rig) upload(base, path string) string {
	r.t.Helper()
	a := r.do("POST", base+path+"?uploads", nil)
	var out struct {
		UploadID string `xml:"UploadId"`
	}
	if err := xml.Unmarshal(a.body, &out); err != nil || a.status != 200 || out.UploadID == "" {
		r.t.Fatalf("create: %d %s", a.status, a.body)
	}
	return out.UploadID
}

// uploadPart uploads a part of /art/poster and returns its ETag.
func (r *rig) uploadPart(base, id string, n int, body []byte) string {
	r.t.Helper()
	a := r.do("PUT", fmt.Sprintf("%s/art/poster?partNumber=%d&uploadId=%s", base, n, id), body)
	if a.status != 200 || a.header.Get("ETag") == "" {
		r.t.Fatalf("part %d: %d %s", n, a.status, a.body)
	}
	return a.header.Get("ETag")
}

func completion(etags ...string) []byte {
	var b strings.Builder
	b.WriteString("<CompleteMultipartUpload>")
	for i, e := range etags {
		fmt.Fprintf(&b, "<Part><PartNumber>%d</PartNumber><ETag>%s</ETag></Part>", i+1, strings.ReplaceAll(e, `"`, "&quot;"))
	}
	return []byte(b.String() + "</CompleteMultipartUpload>")
}

// The broker is killed before the last part. Another one continues the upload by its id alone, and it is completed
// once, however often the client asks.
func TestUploadContinuesAtAnotherBroker(t *testing.T) {
	r := newRig(t)
	base, first := r.process()
	one, two, three := noise(70_000, 6), noise(80_000, 7), noise(900, 8)
	id := r.upload(base, "/art/poster")
	tags := []string{r.uploadPart(base, id, 1, one), r.uploadPart(base, id, 2, two)}
	first.kill()
	base, _ = r.process()
	a := r.do("GET", base+"/art/poster?uploadId="+id, nil)
	if a.status != 200 || bytes.Count(a.body, []byte("<Part>")) != 2 || !bytes.Contains(a.body, []byte("<UploadId>"+id+"<")) {
		t.Fatalf("list parts: %d %s", a.status, a.body)
	}
	tags = append(tags, r.uploadPart(base, id, 3, three))
	for range 2 { // the client did not get the first response and retries
		a = r.do("POST", base+"/art/poster?uploadId="+id, completion(tags...))
		if a.status != 200 || !bytes.Contains(a.body, []byte("-3")) {
			t.Fatalf("complete: %d %s", a.status, a.body)
		}
	}
	if n := r.completions("/art/poster"); n != 1 {
		t.Errorf("%d completions, want 1", n)
	}
	if got := r.do("GET", base+"/art/poster", nil); !bytes.Equal(got.body, bytes.Join([][]byte{one, two, three}, nil)) {
		t.Errorf("the object has %d bytes", len(got.body))
	}
}

// The node restarts after it completed an upload and before it answered, or before it completed it. The call is not
// retried: reading back shows the outcome.
func TestCompletionWithUnknownOutcomeIsVerified(t *testing.T) {
	for _, ran := range []bool{true, false} {
		t.Run(fmt.Sprint("ran=", ran), func(t *testing.T) { testUnknownCompletion(t, ran) })
	}
}

func testUnknownCompletion(t *testing.T, ran bool) {
	r := newRig(t)
	base, _ := r.broker("")
	id := r.upload(base, "/art/poster")
	tag := r.uploadPart(base, id, 1, noise(1000, 9))
	wait := "20000" // verified long before
	if !ran {
		wait = "3000" // looked for until the client's deadline
	}
	posts := r.restartAtFirstPost(ran)
	a := r.do("POST", base+"/art/poster?uploadId="+id, completion(tag), "X-Timeout-Ms", wait)
	done := r.completions("/art/poster")
	if posts.Load() != 1 {
		t.Errorf("the call reached the node %d times, want 1", posts.Load())
	}
	if ran && (a.status != 200 || done != 1) {
		t.Errorf("ran: %d %s, %d completions", a.status, a.body, done)
	}
	if !ran && (a.status != 500 && a.status != 504 || done != 0 || a.header.Get("Retry-After") != "") {
		t.Errorf("did not run: %d %s, %d completions", a.status, a.body, done)
	}
	// After a retry of the client there is exactly one completion.
	if a = r.do("POST", base+"/art/poster?uploadId="+id, completion(tag)); a.status != 200 {
		t.Errorf("retried: %d %s", a.status, a.body)
	}
	if done = r.completions("/art/poster"); done != 1 {
		t.Errorf("%d completions, want 1", done)
	}
}

// restartAtFirstPost has the node that gets the first POST restart without an answer, after it has executed the call
// if ran. It returns the count of POSTs.
func (r *rig) restartAtFirstPost(ran bool) *atomic.Int32 {
	var posts atomic.Int32
	for i, s := range r.stores {
		s.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
			if q.Method != "POST" || posts.Add(1) > 1 {
				next()
				return
			}
			if ran {
				s.Cut(&cut{ResponseWriter: w}, q)
			}
			go func() {
				r.nodes[i].Kill()
				if err := r.nodes[i].Restart(); err != nil {
					r.t.Error(err)
				}
			}()
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		})
	}
	return &posts
}

// completions is how often an upload of the object was completed.
func (r *rig) completions(path string) int {
	return r.stores[0].Completions(path) + r.stores[1].Completions(path)
}

func TestAbortAndErrorsHaveS3Codes(t *testing.T) {
	r := newRig(t)
	base, _ := r.broker(`,"tuning":{"max_object":1000}`)
	id := r.upload(base, "/art/x")
	if a := r.do("DELETE", base+"/art/x?uploadId="+id, nil); a.status != 204 {
		t.Errorf("abort: %d %s", a.status, a.body)
	}
	tag := strings.Repeat("0", 32)
	for _, c := range []struct {
		method, target string
		body           []byte
		status         int
		code           string
	}{
		{"GET", "/art/x?uploadId=" + id, nil, 404, "NoSuchUpload"},
		{"PUT", "/art/x?partNumber=1&uploadId=" + id, []byte("x"), 404, "NoSuchUpload"},
		{"POST", "/art/x?uploadId=" + id, completion(tag), 404, "NoSuchUpload"},
		{"GET", "/art/x?uploadId=9-u1", nil, 404, "NoSuchUpload"},
		{"GET", "/art/x?uploadId=u1", nil, 404, "NoSuchUpload"},
		{"PUT", "/art/x?partNumber=0&uploadId=" + id, nil, 400, "InvalidArgument"},
		{"PUT", "/art/x?partNumber=10001&uploadId=" + id, nil, 400, "InvalidArgument"},
		{"POST", "/art/x?uploadId=" + id, []byte("<no"), 400, "MalformedXML"},
		{"POST", "/art/x?uploadId=" + id, completion(), 400, "MalformedXML"},
		{"POST", "/art/x?uploadId=" + id, []byte("<CompleteMultipartUpload><Part><PartNumber>2</PartNumber><ETag>a</ETag>" +
			"</Part><Part><PartNumber>1</PartNumber><ETag>a</ETag></Part></CompleteMultipartUpload>"), 400, "InvalidPartOrder"},
		{"PUT", "/art/x", make([]byte, 1001), 400, "EntityTooLarge"},
		{"GET", "/art/none", nil, 404, "NoSuchKey"},
		{"GET", "/", nil, 400, "InvalidURI"},
		{"GET", "/art", nil, 501, "NotImplemented"},
		{"GET", "/art/x?acl", nil, 501, "NotImplemented"},
		{"PATCH", "/art/x", nil, 405, "MethodNotAllowed"},
	} {
		a := r.do(c.method, base+c.target, c.body)
		if a.status != c.status || !bytes.Contains(a.body, []byte("<Code>"+c.code+"</Code>")) {
			t.Errorf("%s %s: %d %s, want %d %s", c.method, c.target, a.status, a.body, c.status, c.code)
		}
	}
}

// Without a node for the shard a request is rejected at once, with Retry-After.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	r := newRig(t)
	r.disc.Set(discovery.Endpoint{ID: "s-0", State: "removed", Addr: r.nodes[0].Addr()},
		discovery.Endpoint{ID: "s-1", State: "removed", Addr: r.nodes[1].Addr()})
	base, _ := r.broker("")
	a := r.do("GET", base+"/art/x", nil)
	if a.status != 503 || a.header.Get("Retry-After") != "1" || !bytes.Contains(a.body, []byte("<Code>SlowDown</Code>")) {
		t.Fatalf("%d %v %s", a.status, a.header, a.body)
	}
}

// A node never answers: 504 by the client's deadline.
func TestDeadlineEndsARequestWithGatewayTimeout(t *testing.T) {
	r := newRig(t)
	for _, s := range r.stores {
		s.SetHook(func(_ http.ResponseWriter, q *http.Request, _ func()) { <-q.Context().Done() })
	}
	base, _ := r.broker("")
	for _, method := range []string{"GET", "PUT"} {
		a := r.do(method, base+"/art/x", nil, "X-Timeout-Ms", "2000")
		if a.status != 504 || !bytes.Contains(a.body, []byte("GatewayTimeout")) {
			t.Fatalf("%s: %d %s", method, a.status, a.body)
		}
	}
}

// cut passes so many bytes of a response's body on and drops the rest.
type cut struct {
	http.ResponseWriter
	left int
}

func (c *cut) Write(b []byte) (int, error) {
	n := min(len(b), c.left)
	c.left -= n
	if n > 0 {
		if _, err := c.ResponseWriter.Write(b[:n]); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

func (c *cut) WriteHeader(status int) {
	if c.left > 0 {
		c.ResponseWriter.WriteHeader(status)
	}
}
