package object

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

const (
	maxKeyBytes   = 1024
	timeoutHeader = "X-Timeout-Ms"
	// drainRetryAfter, memoryRetryAfter and expiredRetryAfter are values of the Retry-After header, in seconds.
	drainRetryAfter   = "1"
	memoryRetryAfter  = "1"
	expiredRetryAfter = "1"
	// maxQueryFields limits the names in a query. The operations of the API have three at most.
	maxQueryFields = 16
)

// unsupportedHeaders belong to operations that this server does not implement.
var unsupportedHeaders = []string{"X-Amz-Copy-Source", "X-Amz-Decoded-Content-Length"}

// exchange is one HTTP request and its response.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	id      string

	bucket string
	key    string
	query  url.Values
	class  int // number of the request's class in the configuration
	body   []byte

	headBytes       int
	reserved        int64 // bytes that are counted for the request
	receivedAt      clock.Micros
	deadline        clock.Micros
	responseStarted atomic.Bool // if true, the response can no longer be replaced by an error
}

// serve parses the request and executes its operation. The error is an apiError, unless the response has begun.
func (x *exchange) serve() error {
	if err := x.reserveHead(); err != nil {
		return err
	}
	if err := x.parseURL(); err != nil {
		return err
	}
	timeout, err := parseTimeout(x.r.Header.Get(timeoutHeader))
	if err != nil {
		return err
	}
	for _, name := range unsupportedHeaders {
		if x.r.Header.Get(name) != "" {
			return errNotImplemented
		}
	}
	if x.server.drainDeadlinePassed() {
		return x.draining()
	}
	op := operationOf(x.r.Method, x.query)
	x.setClass(op)
	x.setDeadline(timeout)
	if x.deadline <= x.server.clock.Now() {
		x.w.Header().Set("Retry-After", expiredRetryAfter)
		return errExpired
	}
	return x.execute(op)
}

// parseURL splits the URL into bucket, key and query.
func (x *exchange) parseURL() error {
	path, absolute := strings.CutPrefix(x.r.URL.Path, "/")
	x.bucket, x.key, _ = strings.Cut(path, "/")
	if x.bucket == "" || len(x.key) > maxKeyBytes || !absolute {
		return errInvalidURI
	}
	if x.key == "" {
		return errNotImplemented // no operations on buckets, which the operator sets up
	}
	if strings.Count(x.r.URL.RawQuery, "&") >= maxQueryFields {
		return errInvalidURI
	}
	query, err := url.ParseQuery(x.r.URL.RawQuery)
	if err != nil {
		return errInvalidURI
	}
	x.query = query
	return nil
}

// parseTimeout parses the header with which a client limits the duration of its request. It returns 0 if the header is
// absent.
func parseTimeout(header string) (clock.Micros, error) {
	if header == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errInvalidTimeout
	}
	return clock.FromMillis(ms), nil
}

// setClass sets the request's class according to its operation and method.
func (x *exchange) setClass(op operation) {
	cfg := x.server.cfg
	name := cfg.Object.ReadClass
	switch {
	case op == opCompleteUpload:
		name = cfg.Object.CompleteClass
	case x.r.Method != http.MethodGet && x.r.Method != http.MethodHead:
		name = cfg.Object.WriteClass
	}
	x.class = cfg.ClassIndex(name)
}

// setDeadline sets the request's deadline: that of its class or that of the client's timeout, whichever is earlier. A
// timeout of 0 means that the client has set none.
func (x *exchange) setDeadline(timeout clock.Micros) {
	x.deadline = x.receivedAt + clock.FromDuration(x.server.cfg.Policy.Classes[x.class].Deadline)
	if timeout != 0 {
		x.deadline = min(x.deadline, x.receivedAt+timeout)
	}
}

// answerDue returns when the request must be answered: at its deadline, or at the drain deadline if that is earlier.
func (x *exchange) answerDue() clock.Micros {
	if drainDeadline := x.server.drainDeadline.Load(); drainDeadline > 0 {
		return min(x.deadline, drainDeadline)
	}
	return x.deadline
}

// shard returns the shard that stores the object. It depends only on the object's name, so that all brokers agree on
// it.
func (x *exchange) shard() int {
	h := fnv.New64a()
	_, _ = io.WriteString(h, x.bucket+"/"+x.key) // writing to a hash never fails
	return int(h.Sum64() % uint64(x.server.cfg.Object.Shards))
}

// forward passes a request to the broker. It returns the response of an object server, or an apiError if there is none.
func (x *exchange) forward(req core.Request[*objectstore.Request]) (*objectstore.Response, error) {
	if x.server.drainDeadlinePassed() {
		return nil, x.draining()
	}
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(x.server.base, func() {
		if !x.responseStarted.Load() {
			cancel(core.ErrDeadlineExceeded)
		}
	})
	defer stop()
	resp := x.server.broker.Handle(ctx, req)
	switch {
	case resp.Status == core.Success:
		return resp.Value, nil
	case x.server.clock.Now() >= req.Deadline-2*x.server.lim.ResponseMargin:
		return nil, errTimeout // whatever the outcome of the last attempt, the client's deadline has passed
	case resp.Status == core.Rejection:
		x.w.Header().Set("Retry-After", strconv.FormatInt(retryAfterSeconds(resp.RetryAfter), 10))
		return nil, errSlowDown
	case resp.DeadlineExceeded:
		return nil, errTimeout
	}
	return nil, errInternal
}

// retryAfterSeconds returns the value of a Retry-After header: whole seconds, rounded up, at least 1.
func retryAfterSeconds(retryAfter clock.Micros) int64 {
	seconds := clock.Duration(retryAfter+999_999) / time.Second
	return max(int64(seconds), 1)
}

// setWriteTimeout sets the time limit for the following writes to the client.
func (x *exchange) setWriteTimeout(timeout clock.Micros) {
	_ = x.control.SetWriteDeadline(time.Now().Add(clock.Duration(timeout))) // fails only on a closed connection
}
