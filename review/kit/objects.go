package kit

import (
	"crypto/md5"
	"encoding/hex"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ObjectNode is a stand-in of a disk node's object server.
type ObjectNode struct {
	Name string
	Addr string

	// Behave, if set, is called for each request once its last byte has come. run carries the request out and returns
	// the answer. Behave returns false to drop the answer and the connection.
	Behave func(r *http.Request, run func() Answer) (answer Answer, ok bool)

	c       *Case
	mu      sync.Mutex
	objects map[string][]byte
	etags   map[string]string
	uploads map[string]map[int][]byte
	count   int
}

// Answer is the answer of an object node.
type Answer struct {
	Status int
	ETag   string
	Body   []byte
}

// StartObjectNode starts an object node.
func (c *Case) StartObjectNode(name string) *ObjectNode {
	n := &ObjectNode{Name: name, c: c, objects: map[string][]byte{}, etags: map[string]string{}, uploads: map[string]map[int][]byte{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	n.Addr = ln.Addr().String()
	server := &http.Server{Handler: n}
	go func() { _ = server.Serve(ln) }()
	c.Cleanup(func() { _ = server.Close() })
	return n
}

// Object returns the content of an object.
func (n *ObjectNode) Object(path string) (content []byte, exists bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	content, exists = n.objects[path]
	return content, exists
}

// ServeHTTP serves one request.
func (n *ObjectNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n.c.Logf("%s: got  %s %s (%d bytes)", n.Name, r.Method, r.URL.RequestURI(), len(body))
	run := func() Answer {
		a := n.run(r, body)
		n.c.Logf("%s: ran  %s %s: status %d", n.Name, r.Method, r.URL.RequestURI(), a.Status)
		return a
	}
	var answer Answer
	if n.Behave != nil {
		var ok bool
		if answer, ok = n.Behave(r, run); !ok {
			n.c.Logf("%s: dropped the connection of %s %s without an answer", n.Name, r.Method, r.URL.RequestURI())
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0) // a reset
				_ = conn.Close()
			}
			return
		}
	} else {
		answer = run()
	}
	if answer.ETag != "" {
		w.Header().Set("ETag", answer.ETag)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(answer.Body)
	}
}

func (n *ObjectNode) run(r *http.Request, body []byte) Answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case r.Method == http.MethodPost && q.Has("uploads"):
		n.count++
		id := fmt.Sprintf("up%d", n.count)
		n.uploads[id] = map[int][]byte{}
		return Answer{Status: 200, Body: []byte("<InitiateMultipartUploadResult><UploadId>" + id + "</UploadId></InitiateMultipartUploadResult>")}
	case q.Has("uploadId"):
		parts := n.uploads[q.Get("uploadId")]
		if parts == nil {
			return Answer{Status: 404, Body: []byte("<Error><Code>NoSuchUpload</Code></Error>")}
		}
		if r.Method == http.MethodPut {
			number, _ := strconv.Atoi(q.Get("partNumber"))
			parts[number] = body
			return Answer{Status: 200, ETag: ETag(body)}
		}
		return n.complete(path, q.Get("uploadId"), parts, body)
	case r.Method == http.MethodPut:
		n.objects[path] = body
		n.etags[path] = ETag(body)
		return Answer{Status: 200, ETag: ETag(body)}
	case r.Method == http.MethodDelete:
		delete(n.objects, path)
		return Answer{Status: 204}
	}
	content, exists := n.objects[path]
	if !exists {
		return Answer{Status: 404, Body: []byte("<Error><Code>NoSuchKey</Code></Error>")}
	}
	return Answer{Status: 200, ETag: n.etags[path], Body: content}
}

func (n *ObjectNode) complete(path, id string, parts map[int][]byte, body []byte) Answer {
	var request struct {
		Part []struct {
			PartNumber int
			ETag       string
		}
	}
	if xml.Unmarshal(body, &request) != nil {
		return Answer{Status: 400, Body: []byte("<Error><Code>MalformedXML</Code></Error>")}
	}
	var content []byte
	sums := md5.New()
	for _, p := range request.Part {
		part, ok := parts[p.PartNumber]
		if !ok || strings.Trim(p.ETag, `"`) != strings.Trim(ETag(part), `"`) {
			return Answer{Status: 400, Body: []byte("<Error><Code>InvalidPart</Code></Error>")}
		}
		content = append(content, part...)
		sum := md5.Sum(part)
		sums.Write(sum[:])
	}
	tag := fmt.Sprintf(`"%x-%d"`, sums.Sum(nil), len(request.Part))
	n.objects[path] = content
	n.etags[path] = tag
	delete(n.uploads, id)
	return Answer{Status: 200, Body: []byte("<CompleteMultipartUploadResult><ETag>" + tag + "</ETag></CompleteMultipartUploadResult>")}
}

// ETag returns the entity tag of a content.
func ETag(b []byte) string {
	sum := md5.Sum(b)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

// StartObjectBroker starts a broker with the operators' deploy/object.json, in which only the addresses are changed,
// and waits until it serves. It returns the process and its address. With both, the block frontend is on too.
func (c *Case) StartObjectBroker(discovery string, both bool) (*Process, string) {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "object.json"))
	Must(err)
	var config map[string]any
	Must(json.Unmarshal(text, &config))
	addr := FreeAddr()
	config["discovery"] = discovery
	config["object"].(map[string]any)["listen"] = addr
	if both {
		config["listen"] = FreeAddr()
	}
	text, err = json.Marshal(config)
	Must(err)
	path := c.WriteFile("broker.json", string(text))
	p := c.Start("broker", c.RunLine(), "LB_CONFIG="+path, "TMPDIR="+c.Dir)
	WaitFor("the broker's start", 30*time.Second, func() bool {
		resp, err := http.Get("http://" + addr + "/_health")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 200
	})
	// The list of disk nodes is there once a request is served.
	WaitFor("a request that is served", 30*time.Second, func() bool {
		resp, err := http.Get("http://" + addr + "/artwork/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 404
	})
	return p, addr
}

// Do makes one call to the object API on a connection of its own and returns status and body.
func (c *Case) Do(method, addr, target string, body []byte) (status int, header http.Header, answer []byte, err error) {
	req, err := http.NewRequest(method, "http://"+addr+target, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Close = true
	c.Logf("client: sent %s %s (%d bytes)", method, target, len(body))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 60 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		c.Logf("client: got  no answer to %s %s: %v", method, target, err)
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	c.Logf("client: got  %d to %s %s: %s", resp.StatusCode, method, target, OneLine(answer))
	return resp.StatusCode, resp.Header, answer, err
}

// OneLine shortens a text for the record.
func OneLine(b []byte) string {
	s := strings.Join(strings.Fields(string(b)), " ")
	if len(s) > 300 {
		s = s[:300] + "..."
	}
	return s
}
