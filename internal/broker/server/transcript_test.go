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

var updateTranscripts = flag.Bool("update-transcripts", false, "rewrite the transcripts under testdata; only for requests that no released version has served")

// recordingProxy forwards connections to a server and records the bytes that its clients send.
type recordingProxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	sent bytes.Buffer
}

// newRecordingProxy starts a proxy on loopback that accepts connections until the test ends.
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
		go p.forward(client)
	}
}

// forward copies in both directions until either side closes.
func (p *recordingProxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(client, server) // ends when either side closes
		_ = client.Close()
	}()
	_, _ = io.Copy(server, io.TeeReader(client, p))
}

// Write records bytes that a client has sent.
func (p *recordingProxy) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent.Write(b)
}

// recorded returns all bytes that clients have sent.
func (p *recordingProxy) recorded() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent.String()
}

// runSpecificText lists patterns of text that differs from run to run: ports, times left until a deadline, dates, IDs.
var runSpecificText = []struct {
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

// compareTranscript compares a transcript with the one under testdata, ignoring text that differs from run to run.
func compareTranscript(t *testing.T, name, transcript string) {
	t.Helper()
	for _, v := range runSpecificText {
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

// The bytes sent to a client and to a storage node for a fixed sequence of block protocol requests are those in
// testdata.
func TestBlockFrontendTranscript(t *testing.T) {
	f := newFixture(t)
	node := fake.NewBlockServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveBlock(t, node, listener)
	proxy := newRecordingProxy(t, listener.Addr().String())
	f.discovery.SetEndpoints(discovery.Endpoint{ID: "s-0", Addr: proxy.addr(), Zone: "room", Shard: 0, State: "up"})
	base, _ := f.startBroker(`,"listen":"127.0.0.1:0","object":null`)
	var transcript strings.Builder
	for _, request := range []string{
		blockCommand("BLK.WRITE", "object-complete", "w1", "hello"),
		blockCommand("BLK.READ", "object-read", "r1"),
		"*1\r\n$4\r\nPING\r\n",
		"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\n",
		"PING\r\n",
		"*1\r\n$7\r\nUNKNOWN\r\n",
		"*2\r\n$8\r\nBLK.READ\r\n$1\r\na\r\n",
		blockCommand("BLK.READ", "no-such-class", "r2"),
		"*4\r\n$8\r\nBLK.READ\r\n$1\r\na\r\n$1\r\nb\r\n$3\r\nx=y\r\n",
		"*1\r\n$4\r\nQUIT\r\n",
		"*1\r\n$x\r\n",
	} {
		// Each request uses its own connection, since some responses close it.
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		response := readBlockResponse(t, bufio.NewReader(conn))
		fmt.Fprintf(&transcript, "> %q\n< %q\n", request, response)
		_ = conn.Close()
	}
	fmt.Fprintf(&transcript, "to the storage node: %q\n", proxy.recorded())
	compareTranscript(t, "transcript-block.txt", transcript.String())
}

// readBlockResponse returns the bytes of one response: a line, or a length and a value.
func readBlockResponse(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	response, err := reader.ReadString('\n')
	if err == nil && strings.HasPrefix(response, "$") {
		var value string
		value, err = reader.ReadString('\n')
		response += value
	}
	if err != nil {
		t.Fatalf("read a response, got %q: %v", response, err)
	}
	return response
}

// The bytes sent to a client and to the storage nodes for a fixed sequence of object API requests are those in
// testdata.
func TestObjectFrontendTranscript(t *testing.T) {
	f := newFixture(t)
	var proxies []*recordingProxy
	for i, node := range f.nodes {
		proxy := newRecordingProxy(t, node.Addr())
		proxies = append(proxies, proxy)
		f.discovery.SetEndpoints(discovery.Endpoint{ID: fmt.Sprint("s-", i), Addr: proxy.addr(), Zone: "room", Shard: i, State: "up"})
	}
	base, _ := f.startBroker("")
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
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
		fmt.Fprintf(&script.transcript, "to storage node %d: %q\n", i, replaceRunSpecificText(proxy.recorded()))
	}
	compareTranscript(t, "transcript-object.txt", script.transcript.String())
}

// replaceRunSpecificText replaces text that differs from run to run. It is called before the bytes are quoted, since
// the patterns match unquoted lines.
func replaceRunSpecificText(s string) string {
	for _, v := range runSpecificText {
		s = v.pattern.ReplaceAllString(s, v.replacement)
	}
	return s
}

// objectScript sends requests on one connection and records the bytes of requests and responses.
type objectScript struct {
	t          *testing.T
	conn       net.Conn
	reader     *bufio.Reader
	transcript strings.Builder
}

// send sends a request and returns the bytes of the response, with text that differs from run to run replaced.
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
	text := replaceRunSpecificText(raw.String())
	fmt.Fprintf(&s.transcript, "> %q\n< %q\n", request, text)
	return text
}

// byteReader returns one byte per call, so that a buffered reader on top of it reads nothing beyond the response.
type byteReader struct{ from io.Reader }

func (r *byteReader) Read(b []byte) (int, error) { return r.from.Read(b[:min(len(b), 1)]) }

// The calls to discovery, without repetitions, are those in testdata.
func TestDiscoveryCallsTranscript(t *testing.T) {
	f := newFixture(t)
	proxy := newRecordingProxy(t, f.discoveryServer.Addr())
	f.startBrokerWith(f.configTextFor(proxy.addr(), ""))
	completeCalls := func() []string {
		parts := strings.Split(proxy.recorded(), "\r\n\r\n")
		return parts[:len(parts)-1]
	}
	eventually(t, "a watch follows the first call to discovery", func() bool { return strings.Contains(strings.Join(completeCalls(), ""), "wait_ms=") })
	var calls []string
	for _, call := range completeCalls() {
		call = regexp.MustCompile(`after=\d+`).ReplaceAllString(replaceRunSpecificText(call), "after=REVISION")
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
