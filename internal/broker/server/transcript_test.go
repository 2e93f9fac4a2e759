package server

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

var updateTranscripts = flag.Bool("update-transcripts", false, "write the transcripts under testdata anew; only for requests that no released version has answered")

// recordingProxy passes connections on to a server and keeps what its clients sent.
type recordingProxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	sent bytes.Buffer
}

// newRecordingProxy listens on loopback until the test ends.
func newRecordingProxy(t *testing.T, target string) *recordingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &recordingProxy{listener: listener, target: target}
	closeOnCleanup(t, listener)
	go p.serve()
	return p
}

func (p *recordingProxy) addr() string { return p.listener.Addr().String() }

func (p *recordingProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(client)
	}
}

// pass copies both ways until either side closes.
func (p *recordingProxy) pass(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(client, server) // until either side closes
		_ = client.Close()
	}()
	_, _ = io.Copy(server, io.TeeReader(client, p))
}

// Write keeps what a client sent.
func (p *recordingProxy) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent.Write(b)
}

func (p *recordingProxy) recorded() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent.String()
}

// variable matches what differs from run to run: ports, the time left to a client, dates.
var variable = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "127.0.0.1:PORT"},
	{regexp.MustCompile(`(?m)^((?:Date|Last-Modified): ).*\r$`), "${1}DATE\r"},
	{regexp.MustCompile(`(?m)^(X-Timeout-Ms: )\d+`), "${1}MILLISECONDS"},
	{regexp.MustCompile(`<LastModified>[^<]*<`), "<LastModified>DATE<"},
	{regexp.MustCompile(`\b(d|dl|ms|within)=\d+`), "${1}=MILLISECONDS"},
	{regexp.MustCompile(`wait_ms=\d+`), "wait_ms=MILLISECONDS"},
	{regexp.MustCompile(`(?m)^(X-Amz-Request-Id: |x-amz-request-id: ).*\r$`), "${1}ID\r"},
	{regexp.MustCompile(`<RequestId>[^<]*<`), "<RequestId>ID<"},
}

// compareTranscript compares a transcript with the one under testdata, but for what differs from run to run.
func compareTranscript(t *testing.T, name, transcript string) {
	t.Helper()
	for _, v := range variable {
		transcript = v.pattern.ReplaceAllString(transcript, v.replacement)
	}
	path := filepath.Join("testdata", name)
	if *updateTranscripts {
		if err := os.WriteFile(path, []byte(transcript), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if transcript != string(want) {
		t.Errorf("%s differs\n got: %s\nwant: %s", path, transcript, want)
	}
}

// TestBlockFrontTranscript holds the bytes to a client and to a storage node for scripted requests of the block protocol.
func TestBlockFrontTranscript(t *testing.T) {
	r := newRig(t)
	node := fake.NewBlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveBlock(t, node, listener)
	proxy := newRecordingProxy(t, listener.Addr().String())
	r.disc.Set(discovery.Endpoint{ID: "s-0", Addr: proxy.addr(), Zone: "room", Shard: 0, State: "up"})
	base, _ := r.broker(`,"listen":"127.0.0.1:0","object":null`)
	var transcript strings.Builder
	for _, request := range []string{
		command("BLK.WRITE", "object-complete", "w1", "hello"),
		command("BLK.READ", "object-read", "r1"),
		"*1\r\n$4\r\nPING\r\n",
		"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\n",
		"PING\r\n",
		"*1\r\n$7\r\nUNKNOWN\r\n",
		"*2\r\n$8\r\nBLK.READ\r\n$1\r\na\r\n",
		command("BLK.READ", "no-such-class", "r2"),
		"*4\r\n$8\r\nBLK.READ\r\n$1\r\na\r\n$1\r\nb\r\n$3\r\nx=y\r\n",
		"*1\r\n$4\r\nQUIT\r\n",
		"*1\r\n$x\r\n",
	} {
		// Each request has a connection of its own: some answers end theirs.
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		answer := readBlockAnswer(t, bufio.NewReader(conn))
		fmt.Fprintf(&transcript, "> %q\n< %q\n", request, answer)
		_ = conn.Close()
	}
	fmt.Fprintf(&transcript, "to the storage node: %q\n", proxy.recorded())
	compareTranscript(t, "transcript-block.txt", transcript.String())
}

// readBlockAnswer returns the bytes of one answer: a line, or a length and a value.
func readBlockAnswer(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	answer, err := reader.ReadString('\n')
	if err == nil && strings.HasPrefix(answer, "$") {
		var value string
		value, err = reader.ReadString('\n')
		answer += value
	}
	if err != nil {
		t.Fatalf("after %q: %v", answer, err)
	}
	return answer
}

// TestObjectFrontTranscript holds the bytes to a client and to storage nodes for scripted requests of the object API.
func TestObjectFrontTranscript(t *testing.T) {
	r := newRig(t)
	var proxies []*recordingProxy
	for i, node := range r.nodes {
		proxy := newRecordingProxy(t, node.Addr())
		proxies = append(proxies, proxy)
		r.disc.Set(discovery.Endpoint{ID: fmt.Sprint("s-", i), Addr: proxy.addr(), Zone: "room", Shard: i, State: "up"})
	}
	base, _ := r.broker("")
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	script := &objectScript{t: t, conn: conn, reader: bufio.NewReader(conn)}
	script.send("GET", "/_health", "")
	script.send("PUT", "/art/poster.pdf", "poster", "Content-Type: application/pdf")
	script.send("GET", "/art/poster.pdf", "")
	script.send("GET", "/art/poster.pdf", "", "Range: bytes=1-3")
	script.send("GET", "/art/poster.pdf", "", "Range: bytes=9-")
	script.send("HEAD", "/art/poster.pdf", "", "X-Timeout-Ms: 5000")
	created := script.send("POST", "/art/book.pdf?uploads", "")
	upload := regexp.MustCompile(`<UploadId>(.*)</UploadId>`).FindStringSubmatch(created)
	if upload == nil {
		t.Fatalf("no upload was created: %s", created)
	}
	object := "/art/book.pdf?uploadId=" + upload[1]
	script.send("PUT", "/art/book.pdf?partNumber=1&uploadId="+upload[1], "chapter")
	script.send("GET", object, "")
	script.send("POST", object, `<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>"7a3e56dbf4b75792017d682faf64ac07"</ETag></Part></CompleteMultipartUpload>`)
	script.send("GET", "/art/book.pdf", "")
	script.send("DELETE", object, "")
	script.send("DELETE", "/art/poster.pdf", "")
	script.send("GET", "/art/poster.pdf", "")
	script.send("GET", "/", "")
	script.send("PATCH", "/art/poster.pdf", "")
	script.send("PUT", "/art/book.pdf?partNumber=0&uploadId="+upload[1], "x")
	script.send("POST", "/art/book.pdf?uploadId=nonsense", "x")
	for i, proxy := range proxies {
		fmt.Fprintf(&script.transcript, "to storage node %d: %q\n", i, normaliseDates(proxy.recorded()))
	}
	compareTranscript(t, "transcript-object.txt", script.transcript.String())
}

// normaliseDates replaces what differs from run to run before the bytes are quoted.
func normaliseDates(s string) string {
	for _, v := range variable {
		s = v.pattern.ReplaceAllString(s, v.replacement)
	}
	return s
}

// objectScript sends requests on one connection and keeps what went either way.
type objectScript struct {
	t          *testing.T
	conn       net.Conn
	reader     *bufio.Reader
	transcript strings.Builder
}

// send returns the answer's bytes as they came, but for what differs from run to run.
func (s *objectScript) send(method, target, body string, headers ...string) string {
	s.t.Helper()
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: broker\r\n", method, target)
	for _, header := range headers {
		request += header + "\r\n"
	}
	if body != "" || method == "POST" || method == "PUT" {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	request += "\r\n" + body
	if _, err := io.WriteString(s.conn, request); err != nil {
		s.t.Fatal(err)
	}
	var raw bytes.Buffer
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(&byteReader{s.reader}, &raw)), &http.Request{Method: method})
	if err != nil {
		s.t.Fatalf("%s %s: %v", method, target, err)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		s.t.Fatalf("%s %s: %v", method, target, err)
	}
	_ = response.Body.Close()
	answer := normaliseDates(raw.String())
	fmt.Fprintf(&s.transcript, "> %q\n< %q\n", request, answer)
	return answer
}

// byteReader gives one byte a call, so that its reader takes nothing beyond what it needs.
type byteReader struct{ from io.Reader }

func (r *byteReader) Read(b []byte) (int, error) { return r.from.Read(b[:min(len(b), 1)]) }

// TestDiscoveryCallsTranscript holds the forms of the calls to discovery.
func TestDiscoveryCallsTranscript(t *testing.T) {
	r := newRig(t)
	proxy := newRecordingProxy(t, r.discN.Addr())
	r.brokerFrom(r.configTextFor(proxy.addr(), ""))
	whole := func() []string {
		parts := strings.Split(proxy.recorded(), "\r\n\r\n")
		return parts[:len(parts)-1]
	}
	eventually(t, "the list was asked for and is watched", func() bool { return strings.Contains(strings.Join(whole(), ""), "wait_ms=") })
	var calls []string
	for _, call := range whole() {
		call = regexp.MustCompile(`after=\d+`).ReplaceAllString(normaliseDates(call), "after=REVISION")
		if !slices.Contains(calls, call) {
			calls = append(calls, call)
		}
	}
	slices.Sort(calls)
	var transcript strings.Builder
	for _, call := range calls {
		fmt.Fprintf(&transcript, "%q\n", call)
	}
	compareTranscript(t, "transcript-discovery.txt", transcript.String())
}
