package object

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

const emptyMD5 = "d41d8cd98f00b204e9800998ecf8427e"

// scriptedBroker returns the responses of a list in order and records the requests.
type scriptedBroker struct {
	responses []core.Response[*objectstore.Response]
	requests  []core.Request[*objectstore.Request]
}

func (b *scriptedBroker) Handle(_ context.Context, r core.Request[*objectstore.Request]) core.Response[*objectstore.Response] {
	b.requests = append(b.requests, r)
	resp := b.responses[0]
	b.responses = b.responses[1:]
	return resp
}

func testServer(b Broker) *Server {
	cfg := &config.Config{
		Name: "broker",
		Policy: decision.Config{
			Classes: []decision.Class{
				{Name: "read", Deadline: time.Minute},
				{Name: "write", Deadline: time.Minute},
				{Name: "complete", Deadline: time.Minute, Idempotency: decision.NotIdempotent},
			},
			Plans: []decision.Plan{{Name: "p"}},
		},
		Object: &config.ObjectFrontend{
			Shards:        2,
			UnitBytes:     1024,
			ReadClass:     "read",
			WriteClass:    "write",
			CompleteClass: "complete",
			DefaultPlan:   "p",
		},
		Limits: limits.Limits{
			MaxTotalBodyBytes:  1 << 20,
			MaxCompletionBytes: 1 << 10,
			MaxParts:           10,
			ReadBackTime:       1_000_000,
			ReadBackInterval:   1000,
			ClientWriteTimeout: 30_000_000,
		},
	}
	return New(b, cfg, testOptions(cfg, 4), clock.New(), slog.New(slog.DiscardHandler))
}

// sendCompletion sends a request that completes upload 1-u with one empty part.
func sendCompletion(s *Server) *httptest.ResponseRecorder {
	body := "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>" + emptyMD5 + "</ETag></Part></CompleteMultipartUpload>"
	r := httptest.NewRequest(http.MethodPost, "/bucket/key?uploadId=1-u", strings.NewReader(body))
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// The object is read back by a separate request of the read class, which may be retried, without the completion's body.
func TestCompletionWithUnknownResultIsReadBackWithTheReadClass(t *testing.T) {
	const etag = `"59adb24ef3cdbe0297f05b395827453f-1"` // MD5 of the MD5 of nothing
	b := &scriptedBroker{responses: []core.Response[*objectstore.Response]{
		{Status: core.Failure},
		{Status: core.Success, Value: &objectstore.Response{Status: http.StatusOK, Header: http.Header{"Etag": {etag}}}},
	}}
	w := sendCompletion(testServer(b))
	if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), "<CompleteMultipartUploadResult") {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	if len(b.requests) != 2 {
		t.Fatalf("%d requests, want 2", len(b.requests))
	}
	if r := b.requests[0]; r.Class != 2 || !r.NotIdempotent || r.Work.Method != http.MethodPost || r.Work.Target != "/bucket/key?uploadId=u" {
		t.Errorf("completion request: class %d, not idempotent %v, %s %s", r.Class, r.NotIdempotent, r.Work.Method, r.Work.Target)
	}
	r := b.requests[1]
	if r.Class != 0 || r.NotIdempotent || r.Work.Method != http.MethodHead || r.Work.Target != "/bucket/key" {
		t.Errorf("read-back request: class %d, not idempotent %v, %s %s", r.Class, r.NotIdempotent, r.Work.Method, r.Work.Target)
	}
	if r.Shard != 1 || len(r.Work.Body) > 0 || len(r.Work.Header) > 0 {
		t.Errorf("read-back request: shard %d, %d bytes of body, header %v", r.Shard, len(r.Work.Body), r.Work.Header)
	}
}

// A rejected completion was not executed, so there is nothing to read back.
func TestRejectedCompletionIsNotReadBack(t *testing.T) {
	b := &scriptedBroker{responses: []core.Response[*objectstore.Response]{{Status: core.Rejection, RetryAfter: 1_500_000}}}
	w := sendCompletion(testServer(b))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "2" || len(b.requests) != 1 {
		t.Errorf("status %d, Retry-After %q, %d requests, want 503, \"2\", 1", w.Code, w.Header().Get("Retry-After"), len(b.requests))
	}
}

// Guards against a final answer that tells the client to come again, because a read of the object was rejected.
func TestAnswerToACompletionDoesNotHaveTheRetryAfterOfItsCheck(t *testing.T) {
	notFound := &objectstore.Response{Status: http.StatusNotFound, Header: http.Header{}}
	b := &scriptedBroker{responses: []core.Response[*objectstore.Response]{
		{Status: core.Success, Value: notFound},
		{Status: core.Rejection, RetryAfter: 1_500_000},
	}}
	w := sendCompletion(testServer(b))
	if w.Code != http.StatusNotFound || w.Header().Get("Retry-After") != "" {
		t.Errorf("status %d, Retry-After %q, want 404 without it", w.Code, w.Header().Get("Retry-After"))
	}
}
