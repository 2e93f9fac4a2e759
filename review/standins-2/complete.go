package main

import (
	"bufio"
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// objectNode is a storage node of the object API. It keeps one upload. While hang is set it takes requests and answers
// none.
type objectNode struct {
	b    *bench
	ln   net.Listener
	hang atomic.Bool

	mu    sync.Mutex
	got   map[string]bool // methods and paths of the requests that have come
	parts map[string][]byte
	etag  string // of the completed object
	runs  int    // completions that have run
}

func (b *bench) startObjectNode() *objectNode {
	n := &objectNode{b: b, ln: b.listen(), got: map[string]bool{}, parts: map[string][]byte{}}
	go func() { _ = http.Serve(n.ln, n) }()
	return n
}

func (n *objectNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.b.log("node: %s %s, hangs %v", r.Method, r.URL, n.hang.Load())
	n.mu.Lock()
	n.got[r.Method+" "+r.URL.Path] = true
	n.mu.Unlock()
	if n.hang.Load() {
		<-r.Context().Done()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodPost && q.Has("uploads"):
		_, _ = io.WriteString(w, "<InitiateMultipartUploadResult><UploadId>u1</UploadId></InitiateMultipartUploadResult>")
	case r.Method == http.MethodPut && q.Has("partNumber"):
		n.parts[q.Get("partNumber")] = body
		w.Header().Set("ETag", fmt.Sprintf(`"%x"`, md5.Sum(body)))
	case r.Method == http.MethodPut:
		w.Header().Set("ETag", fmt.Sprintf(`"%x"`, md5.Sum(body)))
	case r.Method == http.MethodPost && q.Has("uploadId"):
		sum := md5.Sum(n.parts["1"])
		n.etag = fmt.Sprintf(`"%x-1"`, md5.Sum(sum[:]))
		n.runs++
		_, _ = fmt.Fprintf(w, "<CompleteMultipartUploadResult><ETag>%s</ETag></CompleteMultipartUploadResult>", n.etag)
	case r.Method == http.MethodHead && n.etag != "":
		w.Header().Set("ETag", n.etag)
	default:
		http.NotFound(w, r)
	}
}

// call makes one whole request on a connection of its own.
func call(b *bench, addr, method, target, body string) (*http.Response, string) {
	r, _ := http.NewRequest(method, "http://"+addr+target, strings.NewReader(body))
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.cannot("%s %s: %v", method, target, err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	b.log("client: %s %s answered %s", method, target, resp.Status)
	return resp, string(text)
}

// slowRequest is a request whose last part is sent later.
type slowRequest struct {
	name     string
	call     string // its method and path
	conn     net.Conn
	rest     string
	sentAt   time.Time // when its last byte was written
	answered bool
	done     chan struct{}
}

func beginSlow(b *bench, addr, name, method, target, body string) *slowRequest {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.cannot("%v", err)
	}
	half := len(body) / 2
	path, _, _ := strings.Cut(target, "?")
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, target, len(body), body[:half])
	b.log("client: first half of %s (%s %s) sent", name, method, target)
	return &slowRequest{name: name, call: method + " " + path, conn: c, rest: body[half:], done: make(chan struct{})}
}

// finishSlow sends the rest and reads the answer.
func (s *slowRequest) finishSlow(b *bench) {
	defer close(s.done)
	_, _ = io.WriteString(s.conn, s.rest)
	s.sentAt = time.Now()
	b.log("client: last byte of %s sent", s.name)
	resp, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if err != nil {
		b.log("client: %s has no answer after %.3f s: %v", s.name, time.Since(s.sentAt).Seconds(), err)
		return
	}
	_, err = io.ReadAll(resp.Body)
	s.answered = err == nil
	b.log("client: %s answered %s after %.3f s, %v", s.name, resp.Status, time.Since(s.sentAt).Seconds(), err)
}

// playComplete: a planned restart while the storage node hangs through all of it. A completion of an upload comes in two
// pieces, the last one 1 s after SIGTERM.
func playComplete(b *bench) {
	n := b.startObjectNode()
	d := b.startDiscovery(target{UID: "s-1", Endpoint: n.ln.Addr().String(), Zone: "room", Model: "node-full", State: "up", Capacity: 1})
	addr := b.freeAddr()
	broker := b.startBroker("n1", map[string]any{
		"name": "n1", "discovery": d.addr(), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": settings(1),
		"object": map[string]any{"listen": addr, "unit_bytes": 1 << 20, "read_class": "object-read", "write_class": "object-write",
			"complete_class": "object-complete", "default_plan": "basis"},
	})
	b.awaitHealth(addr)
	time.Sleep(time.Second)
	_, text := call(b, addr, "POST", "/artwork/die?uploads", "")
	_, rest, _ := strings.Cut(text, "<UploadId>")
	upload, _, ok := strings.Cut(rest, "</UploadId>")
	if !ok {
		b.cannot("no upload id in %q", text)
	}
	part := strings.Repeat("die-line ", 1000)
	call(b, addr, "PUT", "/artwork/die?partNumber=1&uploadId="+upload, part)
	sum := md5.Sum([]byte(part))
	document := `<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>"` + hex.EncodeToString(sum[:]) +
		`"</ETag></Part></CompleteMultipartUpload>`

	complete := beginSlow(b, addr, "the completion", "POST", "/artwork/die?uploadId="+upload, document)
	put := beginSlow(b, addr, "an upload of an object, for comparison", "PUT", "/artwork/other", part)
	time.Sleep(200 * time.Millisecond)
	n.mu.Lock()
	clear(n.got) // the creation of the upload has the method and the path of its completion
	n.mu.Unlock()
	n.hang.Store(b.trouble)
	time.Sleep(100 * time.Millisecond)
	_ = broker.Process.Signal(syscall.SIGTERM)
	terminated := time.Now()
	b.log("platform: SIGTERM")
	time.Sleep(time.Second)
	go put.finishSlow(b)
	go complete.finishSlow(b)
	exited := make(chan struct{})
	go func() { _ = broker.Wait(); b.log("the broker has ended"); close(exited) }()
	select { // the longest deadline counts as 3 s
	case <-exited:
	case <-time.After(time.Until(terminated.Add(3750 * time.Millisecond))):
		b.log("platform: SIGKILL")
		_ = broker.Process.Kill()
		<-exited
	}
	<-put.done
	<-complete.done
	n.mu.Lock()
	b.log("node: %d completions have run", n.runs)
	n.mu.Unlock()
	for _, s := range []*slowRequest{put, complete} {
		if s.sentAt.Sub(terminated) <= 700*time.Millisecond {
			b.cannot("%s was sent too early", s.name)
		}
		n.mu.Lock()
		read := n.got[s.call]
		n.mu.Unlock()
		if !s.answered && !read {
			b.log("%s has not come to the node: not judged, the broker may not have read it", s.name)
		} else if !s.answered {
			b.breaks("%s, whose last byte came %.3f s after SIGTERM, was never answered", s.name, s.sentAt.Sub(terminated).Seconds())
		}
	}
	b.copyLog("n1", 8)
	b.finish()
}

// awaitHealth waits until the object frontend answers.
func (b *bench) awaitHealth(addr string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/_health")
		if err == nil {
			_ = resp.Body.Close()
			return
		}
	}
	b.cannot("the object frontend does not answer")
}

func init() { plays["complete"] = playComplete }
