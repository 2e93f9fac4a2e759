// Package core processes requests from their arrival to their one final response. It is independent of protocols:
// frontends submit requests, backends make attempts, and the decision module decides what to do next.
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
	recorder   *record.Recorder // nil if requests are not recorded
}

// NewBroker returns a broker. Several brokers may share a dispatcher, an endpoint table and a limiter.
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

// SetRecorder makes the broker record every request with r. It must be called before Handle.
func (b *Broker[W, V]) SetRecorder(r *record.Recorder) { b.recorder = r }

// Pending is a submitted request. Wait must be called once; it returns the final response before the request's
// deadline. If ctx is done earlier, the client has disconnected and the response is not sent.
type Pending[V any] interface {
	Wait(ctx context.Context) Response[V]
}

// Handle processes a request and returns its final response before its deadline. If ctx is done earlier, the client has
// disconnected and the response is not sent.
func (b *Broker[W, V]) Handle(ctx context.Context, r Request[W]) Response[V] {
	return b.Submit(r).Wait(ctx)
}

// Submit passes a request to the decision module, or rejects it at the limit of requests in flight. It does not block on
// decisions. Requests are executed in the order of the calls where their classes are ordered, so a frontend must call
// Submit in the order in which it has received the requests.
func (b *Broker[W, V]) Submit(r Request[W]) Pending[V] {
	e := &execution[W, V]{broker: b, request: r, deadline: r.Deadline - b.lim.ResponseMargin}
	if b.recorder != nil {
		e.trace = newTrace(b.clock, &r.RequestInfo)
	}
	e.admitted = b.limiter.Acquire()
	if e.admitted {
		e.submitted = b.dispatcher.Submit(r.RequestInfo)
	}
	return e
}

// Wait implements Pending.
func (e *execution[W, V]) Wait(ctx context.Context) Response[V] {
	resp := e.execute(ctx)
	resp.MayHaveRun = e.mayHaveRun
	if e.trace != nil {
		e.trace.finish(e.broker.recorder, recordedResult(ctx, resp.Status, resp.DeadlineExceeded), resp.RetryAfter)
	}
	return resp
}

// execute makes the attempts that the dispatcher decides on.
func (e *execution[W, V]) execute(ctx context.Context) Response[V] {
	b := e.broker
	if !e.admitted {
		return Response[V]{Status: Rejection, RetryAfter: b.lim.BusyRetryAfter}
	}
	defer b.limiter.Release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.cancel = cancel
	e.expiry = time.AfterFunc(clock.Duration(e.deadline-b.clock.Now()), func() { cancel(ErrDeadlineExceeded) })
	defer e.expiry.Stop()

	d := b.dispatcher.Await(ctx, e.submitted)
	for number := 0; d.Verdict == dispatcher.Forward; number++ {
		startedAt := e.trace.now()
		value, outcome := e.attempt(ctx, d, number)
		e.mayHaveRun = e.mayHaveRun || !outcome.NotExecuted()
		e.trace.addAttempt(d.Node, startedAt, outcome)
		d = b.dispatcher.Report(ctx, e.submitted.ID, outcome)
		if outcome == Served {
			return Response[V]{Status: Success, Value: value}
		}
		if d.Verdict == dispatcher.NoFurtherAction && !e.mayHaveRun && errors.Is(context.Cause(ctx), ErrClientDisconnected) {
			return Response[V]{Status: Rejection, RetryAfter: b.lim.BusyRetryAfter, DeadlineExceeded: true}
		}
		if d.Verdict == dispatcher.NoFurtherAction {
			// If the response had started, its value tells the frontend that nothing more can be sent.
			return Response[V]{Status: Failure, Value: value, DeadlineExceeded: ctx.Err() != nil}
		}
	}
	return b.responseWithoutAttempt(ctx, d)
}

// responseWithoutAttempt returns the response to a request for which no further attempt is made.
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

// execution is a request from Submit until its final response.
type execution[W, V any] struct {
	broker    *Broker[W, V]
	request   Request[W]
	trace     *trace // nil if requests are not recorded
	admitted  bool   // the limit of requests in flight was not reached
	submitted dispatcher.Submitted
	deadline  clock.Micros

	// Set by execute.
	expiry     *time.Timer // cancels the request at its deadline
	cancel     context.CancelCauseFunc
	mayHaveRun bool // an attempt was made that may have been executed
}

// attempt makes one attempt as the dispatcher has decided, unless the node has been removed from the endpoint list.
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

// mayStart reports whether an attempt may start now. notAfter is the latest time for that, or 0 for no limit. If the
// client has disconnected, mayStart cancels the request.
func (e *execution[W, V]) mayStart(node Node, notAfter clock.Micros) bool {
	if e.request.ClientDisconnected != nil && e.request.ClientDisconnected() { // may take time, so it comes first
		e.cancel(ErrClientDisconnected)
		return false
	}
	if !e.broker.endpoints.Accepts(node) {
		return false
	}
	return notAfter == 0 || e.broker.clock.Now() <= notAfter
}

// responseStarted reports the start of the response to the dispatcher and stops the timer of the request's deadline,
// which does not apply to a response that has started.
func (e *execution[W, V]) responseStarted() {
	e.expiry.Stop()
	e.broker.dispatcher.ResponseStarted(e.submitted.ID)
}
