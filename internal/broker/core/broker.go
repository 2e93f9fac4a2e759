// Package core carries a request from its arrival to its one final response. It is independent of protocols: frontends
// hand it requests, backends make attempts, and the decision module says what to do next.
package core

import (
	"context"
	"errors"
	"time"

	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Broker connects a frontend with the backend that serves its requests.
type Broker[W, V any] struct {
	dispatcher *dispatcher.Dispatcher
	endpoints  *EndpointTable
	limiter    *ConcurrencyLimiter
	backend    Backend[W, V]
	clock      *clock.Clock
	lim        *limits.Limits
	recorder   *record.Recorder // nil: requests are not recorded
}

// NewBroker returns a broker. Several may share a dispatcher, an endpoint table and a limiter.
func NewBroker[W, V any](d *dispatcher.Dispatcher, endpoints *EndpointTable, limiter *ConcurrencyLimiter, backend Backend[W, V],
	c *clock.Clock, lim *limits.Limits) *Broker[W, V] {
	return &Broker[W, V]{
		dispatcher: d,
		endpoints:  endpoints,
		limiter:    limiter,
		backend:    backend,
		clock:      c,
		lim:        lim,
	}
}

// SetRecorder has every request recorded by r. It must be called before the first Handle.
func (b *Broker[W, V]) SetRecorder(r *record.Recorder) { b.recorder = r }

// Handle carries a request out and returns its final response before its deadline. If ctx is done earlier the client
// has disconnected, and nobody gets the response.
func (b *Broker[W, V]) Handle(ctx context.Context, r Request[W]) Response[V] {
	if b.recorder == nil {
		return b.handle(ctx, r, nil)
	}
	t := newTrace(b.clock, &r.RequestInfo)
	resp := b.handle(ctx, r, t)
	t.finish(b.recorder, traceAnswer(ctx, resp.Status, resp.DeadlineExceeded), resp.RetryAfter)
	return resp
}

// handle is Handle. The request's attempts are added to t, unless it is nil.
func (b *Broker[W, V]) handle(ctx context.Context, r Request[W], t *trace) Response[V] {
	if !b.limiter.Acquire() {
		return Response[V]{Status: Rejection, RetryAfter: b.lim.BusyRetryAfter}
	}
	defer b.limiter.Release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline := r.Deadline - b.lim.AnswerMargin
	expiry := time.AfterFunc(clock.Duration(deadline-b.clock.Now()), func() { cancel(ErrDeadlineExceeded) })
	defer expiry.Stop()

	id, d := b.dispatcher.Submit(ctx, r.RequestInfo)
	e := &execution[W, V]{
		broker:   b,
		request:  r,
		id:       id,
		deadline: deadline,
		expiry:   expiry,
		cancel:   cancel,
	}
	for number := 0; d.Verdict == dispatcher.Forward; number++ {
		startedAt := t.now()
		value, outcome := e.attempt(ctx, d, number)
		t.addAttempt(d.Node, startedAt, outcome)
		d = b.dispatcher.Report(ctx, id, outcome)
		if outcome == Served {
			return Response[V]{Status: Success, Value: value}
		}
		if d.Verdict == dispatcher.NoFurtherAction {
			// A response that had begun has a value: it tells the frontend that nothing more can be sent.
			return Response[V]{Status: Failure, Value: value, DeadlineExceeded: ctx.Err() != nil}
		}
	}
	return b.responseWithoutAttempt(ctx, d)
}

// responseWithoutAttempt is the response to a request for which no further attempt is made.
func (b *Broker[W, V]) responseWithoutAttempt(ctx context.Context, d dispatcher.Decision) Response[V] {
	switch d.Verdict {
	case dispatcher.Rejected:
		return Response[V]{Status: Rejection, RetryAfter: d.RetryAfter}
	case dispatcher.NoFurtherAction:
		if errors.Is(context.Cause(ctx), ErrDeadlineExceeded) { // queued until its deadline
			return Response[V]{Status: Rejection, RetryAfter: b.lim.BusyRetryAfter, DeadlineExceeded: true}
		}
		return Response[V]{Status: Failure, DeadlineExceeded: true}
	}
	return Response[V]{Status: Failure}
}

// execution is one request while attempts are made.
type execution[W, V any] struct {
	broker   *Broker[W, V]
	request  Request[W]
	id       uint64 // of the dispatcher
	deadline clock.Micros
	expiry   *time.Timer // cancels the request at its deadline
	cancel   context.CancelCauseFunc
}

// attempt makes one attempt as the dispatcher has decided. A node that has left the endpoint list meanwhile gets none.
func (e *execution[W, V]) attempt(ctx context.Context, d dispatcher.Decision, number int) (value V, outcome Outcome) {
	node, ok := e.broker.endpoints.Get(d.Node)
	if !ok {
		return value, NotAttempted
	}
	return e.broker.backend.Attempt(ctx, Attempt[W]{
		Node:            node,
		Work:            e.request.Work,
		NotIdempotent:   e.request.NotIdempotent,
		Number:          number,
		Deadline:        min(e.broker.clock.Now()+d.Timeout, e.deadline),
		MayStart:        func() bool { return e.mayStart(node, d.NotAfter) },
		ResponseStarted: e.responseStarted,
	})
}

// mayStart reports whether an attempt may start now. notAfter is the latest time for it; 0: there is none. If the client
// has disconnected the request is cancelled.
func (e *execution[W, V]) mayStart(node Node, notAfter clock.Micros) bool {
	if !e.broker.endpoints.Accepts(node) {
		return false
	}
	if notAfter != 0 && e.broker.clock.Now() > notAfter {
		return false
	}
	if e.request.ClientGone != nil && e.request.ClientGone() {
		e.cancel(ErrClientDisconnected)
		return false
	}
	return true
}

// responseStarted ends the request for the dispatcher: a response that has begun has no deadline.
func (e *execution[W, V]) responseStarted() {
	e.expiry.Stop()
	e.broker.dispatcher.ResponseStarted(e.id)
}
