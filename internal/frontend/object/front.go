// Package object is the object API over HTTP: objects with ranges, and multipart uploads in S3's terms. It keeps
// no state: an upload lives at its storage node, which the upload's id names.
package object

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// Broker is what stands behind this front.
type Broker interface {
	Handle(ctx context.Context, r core.Request[*objectstore.Request]) core.Response[*objectstore.Response]
}

// Server serves the object API.
type Server struct {
	broker Broker
	cfg    *config.Config
	clock  *clock.Clock
	lim    *limits.Limits
	log    *slog.Logger
	server *http.Server
	conns  int
	seq    atomic.Uint64
	held   atomic.Int64    // bytes of bodies held
	until  atomic.Int64    // in a drain: all is answered by then
	base   context.Context // ends when that time is up
	expire context.CancelFunc
}

// New returns a front for at most conns clients at once.
func New(b Broker, cfg *config.Config, conns int, c *clock.Clock, log *slog.Logger) *Server {
	f := &Server{broker: b, cfg: cfg, clock: c, lim: &cfg.Limits, log: log, conns: conns}
	f.base, f.expire = context.WithCancel(context.Background())
	f.server = &http.Server{
		Handler: f, MaxHeaderBytes: f.lim.MaxHeaderBytes, ReadHeaderTimeout: clock.Duration(f.lim.ObjectStallTimeout),
		ConnContext: withConn, ConnState: connState, IdleTimeout: clock.Duration(f.lim.ObjectIdleTimeout), ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return f
}

// Serve accepts clients until the listener is closed, and returns when Drain is over.
func (f *Server) Serve(ln net.Listener) error {
	err := f.server.Serve(newListener(ln, f.conns, f.lim.ClientStallTimeout, f.clock))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain takes new connections for a while longer, closes idle ones and returns when all requests are answered. What was
// taken is answered by Limits.DrainAnswer, unless its answer has begun: the process may be killed after that.
func (f *Server) Drain(ctx context.Context) error {
	f.until.Store(f.clock.Now() + f.lim.DrainAnswerTime)
	last := time.AfterFunc(clock.Duration(f.lim.DrainAnswerTime), f.expire)
	defer last.Stop()
	f.server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(clock.Duration(f.lim.DrainAcceptTime)):
	case <-ctx.Done():
	}
	if err := f.server.Shutdown(ctx); err != nil {
		f.server.Close()
		return err
	}
	return nil
}

// exchange is one client request on its way.
type exchange struct {
	*Server
	w           http.ResponseWriter
	r           *http.Request
	rc          *http.ResponseController
	id          string
	bucket, key string
	came, due   int64
	began       atomic.Bool
	body        []byte
}

// ServeHTTP answers one request.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Server: f, w: w, r: r, rc: http.NewResponseController(w), came: f.clock.Now()}
	x.id = fmt.Sprintf("%s-%x-%d", f.cfg.Name, uint64(x.came), f.seq.Add(1))
	w.Header().Set("X-Amz-Request-Id", x.id)
	if r.URL.Path == "/_health" {
		w.Header().Set("Content-Type", "text/plain")
		io.WriteString(w, "ok\n")
		return
	}
	err := x.serve()
	f.held.Add(-int64(len(x.body)))
	if err == nil {
		return
	}
	if x.began.Load() { // nothing more can be said; a cut connection tells the client that the body is not whole
		panic(http.ErrAbortHandler)
	}
	x.rc.SetWriteDeadline(time.Now().Add(clock.Duration(x.lim.ClientWriteTimeout)))
	writeFault(w, r, x.id, err)
}

// serve routes a request.
func (x *exchange) serve() error {
	r := x.r
	x.bucket, x.key, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if x.bucket == "" || len(x.key) > 1024 || !strings.HasPrefix(r.URL.Path, "/") {
		return errBadURI
	}
	if x.key == "" {
		return errNotImplemented // buckets are set up by the operator
	}
	q, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return errBadURI
	}
	ms := int64(0)
	if v := r.Header.Get("X-Timeout-Ms"); v != "" {
		if ms, err = strconv.ParseInt(v, 10, 64); err != nil || ms <= 0 {
			return errBadTimeout
		}
	}
	for _, h := range []string{"X-Amz-Copy-Source", "X-Amz-Decoded-Content-Length"} {
		if r.Header.Get(h) != "" {
			return errNotImplemented
		}
	}
	has := func(names ...string) bool {
		for _, n := range names {
			if !q.Has(n) {
				return false
			}
		}
		return len(q) == len(names)
	}
	name := x.cfg.Object.Read
	switch {
	case r.Method == http.MethodPost && has("uploadId"):
		name = x.cfg.Object.Complete
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		name = x.cfg.Object.Write
	}
	if until := x.until.Load(); until > 0 && x.clock.Now() >= until {
		x.w.Header().Set("Retry-After", "1")
		return errSlowDown // nothing ran, and nothing would come back in time
	}
	class := x.cfg.Class(name)
	x.due = x.came + x.cfg.Policy.Classes[class].Deadline.Microseconds()
	if ms > 0 {
		x.due = min(x.due, x.came+ms*1000)
	}
	switch m := r.Method; {
	case (m == http.MethodGet || m == http.MethodHead || m == http.MethodDelete) && has():
		return x.object(class, x.shard(), "")
	case m == http.MethodPut && has():
		return x.put(class, x.shard(), "")
	case m == http.MethodPost && has("uploads"):
		return x.create(class)
	case m == http.MethodPut && has("partNumber", "uploadId"):
		return x.part(class, q)
	case m == http.MethodPost && has("uploadId"):
		return x.complete(class, q)
	case m == http.MethodDelete && has("uploadId"):
		shard, own, err := parseUpload(q.Get("uploadId"), x.cfg.Object.Shards)
		if err != nil {
			return err
		}
		return x.object(class, shard, "?uploadId="+url.QueryEscape(own))
	case m == http.MethodGet && q.Has("uploadId"):
		return x.list(class, q)
	case len(q) > 0:
		return errNotImplemented
	}
	return errMethod
}

// shard is where an object lies: the same at every broker, since all hash its name alike.
func (x *exchange) shard() int {
	h := fnv.New64a()
	io.WriteString(h, x.bucket+"/"+x.key)
	return int(h.Sum64() % uint64(x.cfg.Object.Shards))
}

// passOn are the request headers that an object server sees.
var passOn = []string{
	"Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Content-Type",
	"Content-Md5", "Content-Encoding", "Content-Language", "Content-Disposition", "Cache-Control", "Expires",
}

// handBack are the answer's headers that a client sees.
var handBack = []string{
	"Content-Type", "Content-Range", "Content-Encoding", "Content-Language", "Content-Disposition", "Etag",
	"Last-Modified", "Accept-Ranges", "Cache-Control", "Expires", "Vary",
}

// meta reports whether a header is the object's own.
func meta(name string) bool {
	return strings.HasPrefix(name, "X-Amz-Meta-") || strings.HasPrefix(name, "X-Amz-Checksum-")
}

// request words one request for the module and the object server.
func (x *exchange) request(class, shard int, method, query string, due int64) core.Request[*objectstore.Request] {
	h := http.Header{}
	for _, name := range passOn {
		if v := x.r.Header.Values(name); len(v) > 0 {
			h[name] = v
		}
	}
	for name, v := range x.r.Header {
		if meta(name) {
			h[name] = v
		}
	}
	if !validRange(h.Get("Range")) {
		h.Del("Range")
	}
	o := x.cfg.Object
	plan, ok := o.Buckets[x.bucket]
	if !ok {
		plan = o.Plan
	}
	return core.Request[*objectstore.Request]{
		RequestInfo: dispatcher.RequestInfo{
			Class: class, Plan: x.cfg.Plan(plan), Volume: x.bucket, Key: x.key, Units: x.units(), Shard: shard,
			Brokers: x.cfg.Policy.Brokers, Deadline: due,
		},
		NotIdempotent: x.cfg.Policy.Classes[class].Idempotency == decision.NotIdempotent,
		ClientGone:    clientLeft(x.r.Context()),
		Work: &objectstore.Request{Method: method, Target: (&url.URL{Path: "/" + x.bucket + "/" + x.key}).EscapedPath() +
			query, Header: h, Body: x.body},
	}
}

// validRange reports whether a Range header is well-formed. RFC 9110 wants any other ignored, and not every object
// server does so.
func validRange(s string) bool {
	set, ok := strings.CutPrefix(s, "bytes=")
	if !ok {
		return false
	}
	for _, span := range strings.Split(set, ",") {
		first, last, ok := strings.Cut(strings.Trim(span, " \t"), "-")
		a, err1 := strconv.ParseUint(first, 10, 63)
		b, err2 := strconv.ParseUint(last, 10, 63)
		if !ok || first == "" && err2 != nil || first != "" && err1 != nil || first != "" && last != "" &&
			(err2 != nil || b < a) {
			return false
		}
	}
	return true
}

// units is the size of a request: of its body, or of the one range it names. The size of a whole object is not
// known before it is read; it counts one.
func (x *exchange) units() float64 {
	size := int64(len(x.body))
	if span, ok := strings.CutPrefix(x.r.Header.Get("Range"), "bytes="); ok && size == 0 {
		first, last, _ := strings.Cut(span, "-")
		a, err1 := strconv.ParseInt(first, 10, 64)
		b, err2 := strconv.ParseInt(last, 10, 64)
		switch {
		case err1 == nil && err2 == nil && b >= a:
			size = b - a + 1
		case first == "" && err2 == nil:
			size = b
		}
	}
	unit := x.cfg.Object.UnitBytes
	n := float64((size + unit - 1) / unit)
	if most := x.cfg.Policy.MaxUnits; most > 0 {
		n = min(n, most)
	}
	return max(n, 1)
}

// ask carries a request out and turns what is no answer of an object server into an error.
func (x *exchange) ask(q core.Request[*objectstore.Request]) (*objectstore.Response, error) {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	defer context.AfterFunc(x.base, func() {
		if !x.began.Load() {
			cancel(core.ErrDeadlineExceeded)
		}
	})()
	a := x.broker.Handle(ctx, q)
	switch {
	case a.Status == core.Success:
		return a.Value, nil
	case x.clock.Now() >= q.Deadline-2*x.lim.AnswerMargin:
		return nil, errTimeout // whatever the last attempt's end was, the client's time is up
	case a.Status == core.Rejection:
		// Whole seconds are all that this header has; rounded up, since the advice is not to come earlier.
		x.w.Header().Set("Retry-After", strconv.FormatInt(max((a.RetryAfter+999_999)/1_000_000, 1), 10))
		return nil, errSlowDown
	case a.DeadlineExceeded:
		return nil, errTimeout
	}
	return nil, errInternal
}

// object reads or deletes, and passes the answer on.
func (x *exchange) object(class, shard int, query string) error {
	q := x.request(class, shard, x.r.Method, query, x.due)
	if x.r.Method == http.MethodGet && query == "" {
		q.Work.Stream = x.stream
	}
	res, err := x.ask(q)
	if err != nil {
		return err
	}
	return x.answer(res)
}

// put stores an object or a part. The body is read before the module sees the request: a node's time is not
// spent on a slow client, and a resent attempt has all of it.
func (x *exchange) put(class, shard int, query string) error {
	if err := x.readBody(x.lim.MaxObjectBytes); err != nil {
		return err
	}
	res, err := x.ask(x.request(class, shard, http.MethodPut, query, x.due))
	if err != nil {
		return err
	}
	return x.answer(res)
}

// readBody takes the body in, within its bound, the bound on all bodies together, and the client's time.
func (x *exchange) readBody(most int64) error {
	n := x.r.ContentLength
	if n < 0 {
		return errNoLength
	}
	if n > most {
		return errTooLarge
	}
	if x.held.Add(n) > x.lim.MaxBodyBytes {
		x.held.Add(-n)
		x.w.Header().Set("Retry-After", "1")
		return errSlowDown
	}
	x.body = make([]byte, n)
	x.rc.SetReadDeadline(time.Now().Add(clock.Duration(x.due - x.clock.Now())))
	_, err := io.ReadFull(x.r.Body, x.body)
	x.rc.SetReadDeadline(time.Time{}) // or the watch for a client that leaves would take it for one
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errTimeout
	}
	if err != nil {
		return errIncomplete
	}
	return nil
}

// header passes an answer's header on.
func (x *exchange) header(res *objectstore.Response, length int) {
	h := x.w.Header()
	for _, name := range handBack {
		if v := res.Header.Values(name); len(v) > 0 {
			h[name] = v
		}
	}
	for name, v := range res.Header {
		if meta(name) {
			h[name] = v
		}
	}
	if v := res.Header.Get("Content-Length"); v != "" && length < 0 {
		h.Set("Content-Length", v)
	} else if length >= 0 && res.Status != http.StatusNoContent && res.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(length))
	}
}

// stream starts an answer that does not fit the buffer.
func (x *exchange) stream(res *objectstore.Response) io.Writer {
	x.began.Store(true)
	x.header(res, -1)
	x.w.WriteHeader(res.Status)
	return &patient{x}
}

// patient writes to the client, who must keep taking.
type patient struct{ x *exchange }

func (p *patient) Write(b []byte) (int, error) {
	p.x.rc.SetWriteDeadline(time.Now().Add(clock.Duration(p.x.lim.ObjectStallTimeout)))
	return p.x.w.Write(b)
}

// answer passes a whole answer on; the body of a streamed one is with the client already.
func (x *exchange) answer(res *objectstore.Response) error {
	if res.Streamed {
		return nil
	}
	length := len(res.Body)
	if x.r.Method == http.MethodHead {
		length = -1 // the length of what a GET would bring
	}
	x.header(res, length)
	x.rc.SetWriteDeadline(time.Now().Add(clock.Duration(x.lim.ClientWriteTimeout)))
	x.w.WriteHeader(res.Status)
	x.w.Write(res.Body)
	return nil
}
