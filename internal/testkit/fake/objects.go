// Package fake has small stand-ins for the systems around a broker, written from the public specifications:
// object servers, block nodes and discovery. Tests and the example use them; the broker never does.
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

// Objects is the state of one object server, which outlives its process: a Node serves it until it is killed, and
// another may serve it again.
type Objects struct {
	mu          sync.Mutex
	objects     map[string]*object
	uploads     map[string]*upload
	seq         int
	completions map[string]int                                            // by path
	requests    []string                                                  // as they came, "METHOD target"
	hook        func(w http.ResponseWriter, r *http.Request, next func()) // may break an answer
}

type object struct {
	body []byte
	etag string
	kind string
	at   time.Time
}

type upload struct {
	path  string
	kind  string
	parts map[int][]byte
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{objects: map[string]*object{}, uploads: map[string]*upload{}, completions: map[string]int{}}
}

// SetHook puts f before every request; f calls next to have it served.
func (s *Objects) SetHook(f func(w http.ResponseWriter, r *http.Request, next func())) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = f
}

// Completions counts the uploads that became the object at path.
func (s *Objects) Completions(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completions[path]
}

// Requests lists what came, as METHOD and target.
func (s *Objects) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// Put stores an object.
func (s *Objects) Put(path string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[path] = &object{body: body, etag: etag(body), kind: "application/octet-stream", at: time.Now()}
}

// Get returns an object's bytes, nil where there is none.
func (s *Objects) Get(path string) []byte {
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

// ServeHTTP serves one request.
func (s *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func (s *Objects) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodPost && q.Has("uploads"):
		s.seq++
		id := fmt.Sprintf("u%d", s.seq)
		s.uploads[id] = &upload{path: r.URL.Path, kind: r.Header.Get("Content-Type"), parts: map[int][]byte{}}
		document(w, fmt.Sprintf("<InitiateMultipartUploadResult><Bucket>b</Bucket><Key>k</Key><UploadId>%s</UploadId>"+
			"</InitiateMultipartUploadResult>", id))
	case q.Has("uploadId"):
		u := s.uploads[q.Get("uploadId")]
		if u == nil || u.path != r.URL.Path {
			fail(w, 404, "NoSuchUpload")
			return
		}
		s.upload(w, r, q.Get("uploadId"), u, body)
	case r.Method == http.MethodPut:
		o := &object{body: body, etag: etag(body), kind: kind(r), at: time.Now()}
		s.objects[r.URL.Path] = o
		w.Header().Set("ETag", o.etag)
	case r.Method == http.MethodDelete:
		delete(s.objects, r.URL.Path)
		w.WriteHeader(http.StatusNoContent)
	default:
		o := s.objects[r.URL.Path]
		if o == nil {
			fail(w, 404, "NoSuchKey")
			return
		}
		w.Header().Set("ETag", o.etag)
		w.Header().Set("Content-Type", o.kind)
		// The standard library knows ranges and conditions as RFC 9110 has them.
		http.ServeContent(w, r, "", o.at, bytes.NewReader(o.body))
	}
}

// upload serves a request for one upload.
func (s *Objects) upload(w http.ResponseWriter, r *http.Request, id string, u *upload, body []byte) {
	switch r.Method {
	case http.MethodPut:
		n, err := strconv.Atoi(r.URL.Query().Get("partNumber"))
		if err != nil || n < 1 {
			fail(w, 400, "InvalidArgument")
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
		document(w, "<ListPartsResult><UploadId>"+id+"</UploadId>"+b.String()+"</ListPartsResult>")
	case http.MethodPost:
		s.complete(w, id, u, body)
	}
}

// complete joins the parts that a call names.
func (s *Objects) complete(w http.ResponseWriter, id string, u *upload, body []byte) {
	var c struct {
		Part []struct {
			PartNumber int
			ETag       string
		}
	}
	if xml.Unmarshal(body, &c) != nil {
		fail(w, 400, "MalformedXML")
		return
	}
	var whole []byte
	sum := md5.New()
	for _, p := range c.Part {
		b, ok := u.parts[p.PartNumber]
		if !ok || strings.Trim(p.ETag, `"`) != strings.Trim(etag(b), `"`) {
			fail(w, 400, "InvalidPart")
			return
		}
		whole = append(whole, b...)
		one := md5.Sum(b)
		sum.Write(one[:])
	}
	tag := fmt.Sprintf(`"%x-%d"`, sum.Sum(nil), len(c.Part))
	s.objects[u.path] = &object{body: whole, etag: tag, kind: u.kind, at: time.Now()}
	s.completions[u.path]++
	delete(s.uploads, id)
	document(w, "<CompleteMultipartUploadResult><ETag>&quot;"+strings.Trim(tag, `"`)+
		"&quot;</ETag></CompleteMultipartUploadResult>")
}

func document(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/xml")
	_, _ = io.WriteString(w, xml.Header+text)
}

func fail(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, xml.Header+"<Error><Code>"+code+"</Code></Error>")
}

// Cut serves a request on w, which may swallow some or all of the answer, past the hook.
func (s *Objects) Cut(w http.ResponseWriter, r *http.Request) { s.serve(w, r) }

func kind(r *http.Request) string {
	if k := r.Header.Get("Content-Type"); k != "" {
		return k
	}
	return "application/octet-stream"
}
