// Package fake has small fakes of the systems around a broker, written from the public specifications: object servers,
// block servers, discovery and clients. Only tests, tools and examples use them, never the broker.
package fake

import (
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ObjectServer is the object server of a storage node, with its objects in memory. It outlives the
// RestartableServer that serves it: after that is killed, another one can serve the same objects.
type ObjectServer struct {
	mu          sync.Mutex
	objects     map[string]*object
	uploads     map[string]*upload
	uploadCount int
	completions map[string]int                                            // number of completed uploads by path
	requests    []string                                                  // "METHOD target" of each request, in order
	hook        func(w http.ResponseWriter, r *http.Request, next func()) // nil if there is none
}

type object struct {
	body        []byte
	etag        string
	contentType string
	modified    time.Time
}

type upload struct {
	path        string
	contentType string
	parts       map[int][]byte
}

// NewObjectServer returns a server without objects.
func NewObjectServer() *ObjectServer {
	return &ObjectServer{objects: map[string]*object{}, uploads: map[string]*upload{}, completions: map[string]int{}}
}

// SetHook has f called for every request. f calls next to serve the request. A nil f removes the hook.
func (s *ObjectServer) SetHook(f func(w http.ResponseWriter, r *http.Request, next func())) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = f
}

// CompletionCount returns the number of multipart uploads completed as the object at path.
func (s *ObjectServer) CompletionCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completions[path]
}

// Requests returns the received requests in order, each as its method and target.
func (s *ObjectServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// Put stores an object.
func (s *ObjectServer) Put(path string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[path] = &object{body: body, etag: etag(body), contentType: "application/octet-stream", modified: time.Now()}
}

// Get returns an object's bytes, or nil if there is no object at path.
func (s *ObjectServer) Get(path string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[path]; o != nil {
		return o.body
	}
	return nil
}

func etag(body []byte) string {
	sum := md5.Sum(body)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

// ServeHTTP serves a request, or passes it to the hook.
func (s *ObjectServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests = append(s.requests, r.Method+" "+r.URL.RequestURI())
	hook := s.hook
	s.mu.Unlock()
	if hook != nil {
		hook(w, r, func() { s.serve(w, r) })
		return
	}
	s.serve(w, r)
}

func (s *ObjectServer) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodPost && q.Has("uploads"):
		s.uploadCount++
		id := fmt.Sprintf("u%d", s.uploadCount)
		s.uploads[id] = &upload{path: r.URL.Path, contentType: r.Header.Get("Content-Type"), parts: map[int][]byte{}}
		writeXML(w, fmt.Sprintf("<InitiateMultipartUploadResult><Bucket>b</Bucket><Key>k</Key><UploadId>%s</UploadId>"+
			"</InitiateMultipartUploadResult>", id))
	case q.Has("uploadId"):
		u := s.uploads[q.Get("uploadId")]
		if u == nil || u.path != r.URL.Path {
			writeError(w, 404, "NoSuchUpload")
			return
		}
		s.serveUpload(w, r, q.Get("uploadId"), u, body)
	case r.Method == http.MethodPut:
		o := &object{body: body, etag: etag(body), contentType: requestContentType(r), modified: time.Now()}
		s.objects[r.URL.Path] = o
		w.Header().Set("ETag", o.etag)
	case r.Method == http.MethodDelete:
		delete(s.objects, r.URL.Path)
		w.WriteHeader(http.StatusNoContent)
	default:
		o := s.objects[r.URL.Path]
		if o == nil {
			writeError(w, 404, "NoSuchKey")
			return
		}
		w.Header().Set("ETag", o.etag)
		w.Header().Set("Content-Type", o.contentType)
		// The standard library implements range and conditional requests according to RFC 9110.
		http.ServeContent(w, r, "", o.modified, bytes.NewReader(o.body))
	}
}

// serveUpload serves a request for an existing multipart upload.
func (s *ObjectServer) serveUpload(w http.ResponseWriter, r *http.Request, id string, u *upload, body []byte) {
	switch r.Method {
	case http.MethodPut:
		n, err := strconv.Atoi(r.URL.Query().Get("partNumber"))
		if err != nil || n < 1 {
			writeError(w, 400, "InvalidArgument")
			return
		}
		u.parts[n] = body
		w.Header().Set("ETag", etag(body))
	case http.MethodDelete:
		delete(s.uploads, id)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		var nums []int
		for n := range u.parts {
			nums = append(nums, n)
		}
		sort.Ints(nums)
		var b strings.Builder
		for _, n := range nums {
			fmt.Fprintf(&b, "<Part><PartNumber>%d</PartNumber><ETag>%s</ETag><Size>%d</Size></Part>", n, etag(u.parts[n]),
				len(u.parts[n]))
		}
		writeXML(w, "<ListPartsResult><UploadId>"+id+"</UploadId>"+b.String()+"</ListPartsResult>")
	case http.MethodPost:
		s.complete(w, id, u, body)
	}
}

// complete creates the object from the parts that the request lists.
func (s *ObjectServer) complete(w http.ResponseWriter, id string, u *upload, body []byte) {
	var request struct {
		Part []struct {
			PartNumber int
			ETag       string
		}
	}
	if xml.Unmarshal(body, &request) != nil {
		writeError(w, 400, "MalformedXML")
		return
	}
	var content []byte
	partSums := md5.New()
	for _, p := range request.Part {
		b, ok := u.parts[p.PartNumber]
		if !ok || strings.Trim(p.ETag, `"`) != strings.Trim(etag(b), `"`) {
			writeError(w, 400, "InvalidPart")
			return
		}
		content = append(content, b...)
		sum := md5.Sum(b)
		partSums.Write(sum[:])
	}
	tag := fmt.Sprintf(`"%x-%d"`, partSums.Sum(nil), len(request.Part))
	s.objects[u.path] = &object{body: content, etag: tag, contentType: u.contentType, modified: time.Now()}
	s.completions[u.path]++
	delete(s.uploads, id)
	writeXML(w, "<CompleteMultipartUploadResult><ETag>&quot;"+strings.Trim(tag, `"`)+
		"&quot;</ETag></CompleteMultipartUploadResult>")
}

func writeXML(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/xml")
	_, _ = io.WriteString(w, xml.Header+text)
}

func writeError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, xml.Header+"<Error><Code>"+code+"</Code></Error>")
}

// ServeWithoutHook serves a request without calling the hook. A hook calls it with a w that drops some or all of the
// response.
func (s *ObjectServer) ServeWithoutHook(w http.ResponseWriter, r *http.Request) { s.serve(w, r) }

func requestContentType(r *http.Request) string {
	if k := r.Header.Get("Content-Type"); k != "" {
		return k
	}
	return "application/octet-stream"
}
