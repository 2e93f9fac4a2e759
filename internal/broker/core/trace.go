package core

import (
	"context"
	"errors"
	"sync"

	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// trace collects what is recorded of one request. All methods but finish may be called on nil and do nothing then.
type trace struct {
	clock     *clock.Clock
	startedAt clock.Micros
	request   record.Request
}

// traces are reused, since there is one for each request.
var traces = sync.Pool{New: func() any { return &trace{} }}

// newTrace returns the trace of a request that has just arrived.
func newTrace(c *clock.Clock, r *dispatcher.RequestInfo) *trace {
	t := traces.Get().(*trace)
	t.clock = c
	t.startedAt = c.Now()
	t.request = record.Request{
		Class:  uint8(r.Class),
		Plan:   uint8(r.Plan),
		Volume: r.Volume,
		Units:  r.Units,
		Shard:  int64(r.Shard),
		Tries:  t.request.Tries[:0],
	}
	return t
}

// now is the present time; 0 without a trace.
func (t *trace) now() clock.Micros {
	if t == nil {
		return 0
	}
	return t.clock.Now()
}

// addAttempt adds an attempt that has just ended.
func (t *trace) addAttempt(node string, startedAt clock.Micros, outcome Outcome) {
	if t == nil {
		return
	}
	t.request.Tries = append(t.request.Tries, record.Try{
		Node:    node,
		Sent:    startedAt - t.startedAt,
		Took:    t.clock.Now() - startedAt,
		Outcome: uint8(outcome),
	})
}

// finish records the request. The trace must not be used afterwards.
func (t *trace) finish(r *record.Recorder, answer record.Answer, retryAfter clock.Micros) {
	t.request.Answer = answer
	t.request.Took = t.clock.Now() - t.startedAt
	t.request.Hint = retryAfter
	r.Request(t.startedAt, &t.request)
	traces.Put(t)
}

// traceAnswer is how a response is recorded. ctx is the client's.
func traceAnswer(ctx context.Context, status Status, deadlineExceeded bool) record.Answer {
	switch {
	case status == Success:
		return record.Served
	case errors.Is(context.Cause(ctx), ErrClientDisconnected):
		return record.Left
	case status == Rejection:
		return record.Refused
	case deadlineExceeded:
		return record.Overdue
	}
	return record.Failed
}
