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
	f := newFixture(t)
	base, _ := f.startBroker("")
	body := testBytes(200_000, 1) // longer than the buffer, so it is streamed
	f.putObject(base, "/art/label one.pdf", body)
	u := base + "/art/label%20one.pdf"
	full := f.do("GET", u, nil)
	if full.status != 200 || !bytes.Equal(full.body, body) {
		t.Fatalf("full object: status %d, %d bytes", full.status, len(full.body))
	}
	etag := full.header.Get("ETag")
	for _, c := range []struct {
		name   string
		header []string
		status int
		body   []byte
		rng    string // Content-Range
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
		resp := f.do("GET", u, nil, c.header...)
		if resp.status != c.status || resp.header.Get("Content-Range") != c.rng ||
			c.body != nil && !bytes.Equal(resp.body, c.body) {
			t.Errorf("%s: status %d, range %q, %d bytes", c.name, resp.status, resp.header.Get("Content-Range"), len(resp.body))
		}
	}
	if resp := f.do("HEAD", u, nil); resp.status != 200 || resp.header.Get("Content-Length") != "200000" ||
		resp.header.Get("ETag") != etag {
		t.Errorf("HEAD: status %d, header %v", resp.status, resp.header)
	}
	if resp := f.do("DELETE", u, nil); resp.status != 204 {
		t.Errorf("DELETE: status %d", resp.status)
	}
	if resp := f.do("GET", u, nil); resp.status != 404 || !bytes.Contains(resp.body, []byte("<Code>NoSuchKey</Code>")) {
		t.Errorf("GET after DELETE: status %d, %s", resp.status, resp.body)
	}
}

// A node restarts after it has sent part of a range. The broker reads the rest from the restarted node, with If-Match
// set to the version of the first part, and the client gets one complete response.
func TestRangeReadResumesAfterNodeRestart(t *testing.T) {
	f := newFixture(t)
	base, _ := f.startBroker("")
	body := testBytes(50_000, 2)
	storeIndex := f.putObject(base, "/art/restart", body)
	store, node := f.stores[storeIndex], f.nodes[storeIndex]
	var restarted atomic.Bool
	secondHeader := make(chan http.Header, 4)
	store.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
		if restarted.Swap(true) {
			secondHeader <- q.Header.Clone()
			next()
			return
		}
		store.ServeWithoutHook(&truncatingWriter{ResponseWriter: w, remaining: 11_000}, q)
		w.(http.Flusher).Flush()
		// Another process replaces the node; discovery lists its start time later.
		go func() {
			if err := node.Replace(); err != nil {
				t.Error(err)
			}
			startedAtMS := []int64{0, 0}
			startedAtMS[storeIndex] = time.Now().UnixMilli()
			f.listNodes(startedAtMS...)
		}()
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	})
	resp := f.do("GET", base+"/art/restart", nil, "Range", "bytes=100-40099")
	if resp.status != 206 || resp.err != nil || !bytes.Equal(resp.body, body[100:40100]) ||
		resp.header.Get("Content-Range") != "bytes 100-40099/50000" {
		t.Fatalf("status %d, %d bytes, error %v, header %v", resp.status, len(resp.body), resp.err, resp.header)
	}
	header := <-secondHeader
	byteRange, ok := strings.CutPrefix(header.Get("Range"), "bytes=")
	first, last, _ := strings.Cut(byteRange, "-")
	if n, err := strconv.Atoi(first); !ok || err != nil || n < 100 || n > 11_100 || last != "40099" {
		t.Errorf("the second attempt requested range %q", header.Get("Range"))
	}
	if header.Get("If-Match") != resp.header.Get("ETag") {
		t.Errorf("the second attempt has If-Match %q, want %q", header.Get("If-Match"), resp.header.Get("ETag"))
	}
	if n := countRequests(store, "GET /art/restart"); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// The object is overwritten between two attempts of a range read. The response must not mix the versions.
func TestResumedRangeReadNeverMixesVersions(t *testing.T) {
	f := newFixture(t)
	base, _ := f.startBroker("")
	oldBody, newBody := testBytes(50_000, 3), testBytes(50_000, 4)
	store := f.stores[f.putObject(base, "/art/restart", oldBody)]
	var attempts atomic.Int32
	store.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
		if attempts.Add(1) > 1 {
			next()
			return
		}
		store.ServeWithoutHook(&truncatingWriter{ResponseWriter: w, remaining: 11_000}, q)
		w.(http.Flusher).Flush()
		store.Put("/art/restart", newBody)
		panic(http.ErrAbortHandler)
	})
	resp := f.do("GET", base+"/art/restart", nil, "Range", "bytes=0-39999")
	if resp.status != 206 || !bytes.Equal(resp.body, newBody[:40000]) {
		t.Fatalf("status %d, starts with the old version: %v, %d bytes", resp.status, bytes.HasPrefix(resp.body, oldBody[:100]), len(resp.body))
	}
	// The first attempt, one with If-Match that finds another version, and one from the start.
	if attempts.Load() != 3 {
		t.Errorf("%d attempts, want 3", attempts.Load())
	}
}

// A node fails after the first bytes of the response were sent to the client. The broker truncates the body, so that
// the client detects the failure, and does not retry.
func TestFailureAfterFirstByteTruncatesTheBody(t *testing.T) {
	f := newFixture(t)
	base, _ := f.startBroker("")
	body := testBytes(300_000, 5)
	store := f.stores[f.putObject(base, "/art/big", body)]
	store.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
		store.ServeWithoutHook(&truncatingWriter{ResponseWriter: w, remaining: 200_000}, q)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	resp := f.do("GET", base+"/art/big", nil)
	if resp.status != 200 || resp.err == nil || len(resp.body) >= len(body) || !bytes.HasPrefix(body, resp.body) {
		t.Fatalf("status %d, %d bytes, error %v", resp.status, len(resp.body), resp.err)
	}
	if n := countRequests(store, "GET /art/big"); n != 1 {
		t.Errorf("%d attempts after the first byte, want 1", n)
	}
}

// createUpload creates a multipart upload and returns its id.
func (f *fixture) createUpload(base, path string) string {
	f.t.Helper()
	resp := f.do("POST", base+path+"?uploads", nil)
	var out struct {
		UploadID string `xml:"UploadId"`
	}
	if err := xml.Unmarshal(resp.body, &out); err != nil || resp.status != 200 || out.UploadID == "" {
		f.t.Fatalf("create upload: status %d, %s", resp.status, resp.body)
	}
	return out.UploadID
}

// uploadPart uploads a part of /art/poster and returns its ETag.
func (f *fixture) uploadPart(base, id string, n int, body []byte) string {
	f.t.Helper()
	resp := f.do("PUT", fmt.Sprintf("%s/art/poster?partNumber=%d&uploadId=%s", base, n, id), body)
	if resp.status != 200 || resp.header.Get("ETag") == "" {
		f.t.Fatalf("upload part %d: status %d, %s", n, resp.status, resp.body)
	}
	return resp.header.Get("ETag")
}

// completionBody returns the request body that completes an upload with parts of these ETags.
func completionBody(etags ...string) []byte {
	var b strings.Builder
	b.WriteString("<CompleteMultipartUpload>")
	for i, etag := range etags {
		fmt.Fprintf(&b, "<Part><PartNumber>%d</PartNumber><ETag>%s</ETag></Part>", i+1, strings.ReplaceAll(etag, `"`, "&quot;"))
	}
	return []byte(b.String() + "</CompleteMultipartUpload>")
}

// The broker is killed before the last part is uploaded. Another broker continues the upload, which it knows only by
// its id. The upload is completed once even if the client repeats the completion.
func TestUploadContinuesAtAnotherBroker(t *testing.T) {
	f := newFixture(t)
	base, firstBroker := f.startProcess()
	part1, part2, part3 := testBytes(70_000, 6), testBytes(80_000, 7), testBytes(900, 8)
	id := f.createUpload(base, "/art/poster")
	tags := []string{f.uploadPart(base, id, 1, part1), f.uploadPart(base, id, 2, part2)}
	firstBroker.kill()
	base, _ = f.startProcess()
	resp := f.do("GET", base+"/art/poster?uploadId="+id, nil)
	if resp.status != 200 || bytes.Count(resp.body, []byte("<Part>")) != 2 || !bytes.Contains(resp.body, []byte("<UploadId>"+id+"<")) {
		t.Fatalf("list parts: status %d, %s", resp.status, resp.body)
	}
	tags = append(tags, f.uploadPart(base, id, 3, part3))
	for range 2 { // the client retries because it did not get the first response
		resp = f.do("POST", base+"/art/poster?uploadId="+id, completionBody(tags...))
		if resp.status != 200 || !bytes.Contains(resp.body, []byte("-3")) {
			t.Fatalf("complete upload: status %d, %s", resp.status, resp.body)
		}
	}
	if n := f.completions("/art/poster"); n != 1 {
		t.Errorf("%d completions, want 1", n)
	}
	if got := f.do("GET", base+"/art/poster", nil); !bytes.Equal(got.body, bytes.Join([][]byte{part1, part2, part3}, nil)) {
		t.Errorf("the object has %d bytes, want those of the three parts", len(got.body))
	}
}

// A node restarts before it responds to the completion of an upload: in one case after it executed the completion, in
// the other before. The broker does not retry the completion; it reads the object back to find out the outcome.
func TestCompletionWithUnknownOutcomeIsVerified(t *testing.T) {
	for _, executed := range []bool{true, false} {
		t.Run(fmt.Sprint("executed=", executed), func(t *testing.T) { testCompletionWithUnknownOutcome(t, executed) })
	}
}

func testCompletionWithUnknownOutcome(t *testing.T, executed bool) {
	f := newFixture(t)
	base, _ := f.startBroker("")
	id := f.createUpload(base, "/art/poster")
	tag := f.uploadPart(base, id, 1, testBytes(1000, 9))
	timeoutMS := "20000" // the broker finds the object long before
	if !executed {
		timeoutMS = "3000" // the broker looks for the object until the client's deadline
	}
	posts := f.restartAtFirstPost(executed)
	resp := f.do("POST", base+"/art/poster?uploadId="+id, completionBody(tag), "X-Timeout-Ms", timeoutMS)
	completions := f.completions("/art/poster")
	if posts.Load() != 1 {
		t.Errorf("the node received the completion %d times, want 1", posts.Load())
	}
	if executed && (resp.status != 200 || completions != 1) {
		t.Errorf("executed: status %d, %s, %d completions", resp.status, resp.body, completions)
	}
	if !executed && (resp.status != 500 && resp.status != 504 || completions != 0 || resp.header.Get("Retry-After") != "") {
		t.Errorf("not executed: status %d, %s, %d completions", resp.status, resp.body, completions)
	}
	// After the client has retried there is exactly one completion.
	if resp = f.do("POST", base+"/art/poster?uploadId="+id, completionBody(tag)); resp.status != 200 {
		t.Errorf("retry: status %d, %s", resp.status, resp.body)
	}
	if completions = f.completions("/art/poster"); completions != 1 {
		t.Errorf("%d completions after the retry, want 1", completions)
	}
}

// restartAtFirstPost makes the node that gets the first POST restart without a response, after it has executed the
// request if execute is true. The result counts the POSTs.
func (f *fixture) restartAtFirstPost(execute bool) *atomic.Int32 {
	var posts atomic.Int32
	for i, s := range f.stores {
		s.SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
			if q.Method != "POST" || posts.Add(1) > 1 {
				next()
				return
			}
			if execute {
				s.ServeWithoutHook(&truncatingWriter{ResponseWriter: w}, q)
			}
			go func() {
				f.nodes[i].Kill()
				if err := f.nodes[i].Restart(); err != nil {
					f.t.Error(err)
				}
			}()
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		})
	}
	return &posts
}

// completions returns how often the stores have completed an upload of the object.
func (f *fixture) completions(path string) int {
	return f.stores[0].CompletionCount(path) + f.stores[1].CompletionCount(path)
}

func TestAbortAndErrorsHaveS3Codes(t *testing.T) {
	f := newFixture(t)
	base, _ := f.startBroker(`,"tuning":{"max_object":1000}`)
	id := f.createUpload(base, "/art/x")
	if resp := f.do("DELETE", base+"/art/x?uploadId="+id, nil); resp.status != 204 {
		t.Errorf("abort: status %d, %s", resp.status, resp.body)
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
		{"POST", "/art/x?uploadId=" + id, completionBody(tag), 404, "NoSuchUpload"},
		{"GET", "/art/x?uploadId=9-u1", nil, 404, "NoSuchUpload"},
		{"GET", "/art/x?uploadId=u1", nil, 404, "NoSuchUpload"},
		{"PUT", "/art/x?partNumber=0&uploadId=" + id, nil, 400, "InvalidArgument"},
		{"PUT", "/art/x?partNumber=10001&uploadId=" + id, nil, 400, "InvalidArgument"},
		{"POST", "/art/x?uploadId=" + id, []byte("<no"), 400, "MalformedXML"},
		{"POST", "/art/x?uploadId=" + id, completionBody(), 400, "MalformedXML"},
		{"POST", "/art/x?uploadId=" + id, []byte("<CompleteMultipartUpload><Part><PartNumber>2</PartNumber><ETag>a</ETag>" +
			"</Part><Part><PartNumber>1</PartNumber><ETag>a</ETag></Part></CompleteMultipartUpload>"), 400, "InvalidPartOrder"},
		{"PUT", "/art/x", make([]byte, 1001), 400, "EntityTooLarge"},
		{"GET", "/art/none", nil, 404, "NoSuchKey"},
		{"GET", "/", nil, 400, "InvalidURI"},
		{"GET", "/art", nil, 501, "NotImplemented"},
		{"GET", "/art/x?acl", nil, 501, "NotImplemented"},
		{"PATCH", "/art/x", nil, 405, "MethodNotAllowed"},
	} {
		resp := f.do(c.method, base+c.target, c.body)
		if resp.status != c.status || !bytes.Contains(resp.body, []byte("<Code>"+c.code+"</Code>")) {
			t.Errorf("%s %s: status %d, %s, want %d %s", c.method, c.target, resp.status, resp.body, c.status, c.code)
		}
	}
}

// No node has the shard of the object. The broker rejects the request immediately, with Retry-After.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	f := newFixture(t)
	f.discovery.SetEndpoints(discovery.Endpoint{ID: "s-0", State: "removed", Addr: f.nodes[0].Addr()},
		discovery.Endpoint{ID: "s-1", State: "removed", Addr: f.nodes[1].Addr()})
	base, _ := f.startBroker("")
	resp := f.do("GET", base+"/art/x", nil)
	if resp.status != 503 || resp.header.Get("Retry-After") != "1" || !bytes.Contains(resp.body, []byte("<Code>SlowDown</Code>")) {
		t.Fatalf("status %d, header %v, %s", resp.status, resp.header, resp.body)
	}
}

// All nodes hang. The client gets a 504 response at its deadline.
func TestDeadlineEndsARequestWithGatewayTimeout(t *testing.T) {
	f := newFixture(t)
	for _, s := range f.stores {
		s.SetHook(func(_ http.ResponseWriter, q *http.Request, _ func()) { <-q.Context().Done() })
	}
	base, _ := f.startBroker("")
	for _, method := range []string{"GET", "PUT"} {
		resp := f.do(method, base+"/art/x", nil, "X-Timeout-Ms", "2000")
		if resp.status != 504 || !bytes.Contains(resp.body, []byte("GatewayTimeout")) {
			t.Fatalf("%s: status %d, %s", method, resp.status, resp.body)
		}
	}
}

// truncatingWriter passes on the first bytes of a response's body and drops the rest. If remaining is 0, it drops the
// header too.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int // bytes still to be passed on
}

func (c *truncatingWriter) Write(b []byte) (int, error) {
	n := min(len(b), c.remaining)
	c.remaining -= n
	if n > 0 {
		if _, err := c.ResponseWriter.Write(b[:n]); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

func (c *truncatingWriter) WriteHeader(status int) {
	if c.remaining > 0 {
		c.ResponseWriter.WriteHeader(status)
	}
}
