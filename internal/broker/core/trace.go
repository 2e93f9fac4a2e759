package core

import (
	"context"
	"errors"
	"sync"

	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// trace collects the data that is recorded of one request. On a nil trace, all methods but finish do nothing.
type trace struct {
	clock     *clock.Clock
	startedAt clock.Micros
	request   record.Request
}

// tracePool reuses traces, since every recorded request needs one.
var tracePool = sync.Pool{New: func() any { return &trace{} }}

// newTrace returns the trace of a request that has just arrived.
func newTrace(c *clock.Clock, r *dispatcher.RequestInfo) *trace {
	t := tracePool.Get().(*trace)
	t.clock = c
	t.startedAt = c.Now()
	t.request = record.Request{
		Class:    uint8(r.Class),
		Plan:     uint8(r.Plan),
		Volume:   r.Volume,
		Units:    r.Units,
		Shard:    int64(r.Shard),
		Attempts: t.request.Attempts[:0],
	}
	return t
}

// now returns the current time, or 0 on a nil trace.
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
	t.request.Attempts = append(t.request.Attempts, record.Attempt{
		Node:      node,
		SentAfter: startedAt - t.startedAt,
		Duration:  t.clock.Now() - startedAt,
		Outcome:   uint8(outcome),
	})
}

// finish records the request with r. The trace must not be used afterwards.
func (t *trace) finish(r *record.Recorder, result record.Result, retryAfter clock.Micros) {
	t.request.Result = result
	t.request.Duration = t.clock.Now() - t.startedAt
	t.request.RetryAfter = retryAfter
	r.Request(t.startedAt, &t.request)
	tracePool.Put(t)
}

// recordedResult returns the result under which a response is recorded. ctx is the one passed to Handle.
func recordedResult(ctx context.Context, status Status, deadlineExceeded bool) record.Result {
	switch {
	case status == Success:
		return record.Served
	case errors.Is(context.Cause(ctx), ErrClientDisconnected):
		return record.ClientDisconnected
	case status == Rejection:
		return record.Rejected
	case deadlineExceeded:
		return record.DeadlineExceeded
	}
	return record.Failed
}
