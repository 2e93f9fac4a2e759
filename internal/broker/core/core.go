// Package core is a request's life from its arrival to its one final answer. It knows no wire: fronts hand it
// requests, backends make the attempts, and the decision module says what comes next.
package core

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Outcome tells how an attempt ended.
type Outcome = decision.Outcome

// The outcomes a backend may report.
const (
	Served            = decision.Served
	NodeError         = decision.NodeError
	Rejected          = decision.Rejected
	TimedOut          = decision.TimedOut
	ConnectFailed     = decision.ConnectFailed
	ConnectionLost    = decision.ConnectionLost
	Cancelled         = decision.Cancelled
	NotAttempted      = decision.NotAttempted
	MalformedResponse = decision.MalformedResponse
	SendIncomplete    = decision.SendIncomplete
)

// ErrClientDisconnected is the cause with which a front cancels a request whose client went away.
var ErrClientDisconnected = errors.New("client left")

// ErrDeadlineExceeded is the cause with which an attempt ends at its client's deadline, or at that of a drain.
var ErrDeadlineExceeded = errors.New("due")

// OutcomeOf names the outcome of an attempt that ended with its ctx: a node that was silent until the client's time was up
// has timed out, and the module must hear of that; where the client left, it tells nothing.
func OutcomeOf(ctx context.Context) Outcome {
	if context.Cause(ctx) == ErrDeadlineExceeded {
		return TimedOut
	}
	return Cancelled
}

// Request is one request as a front takes it. Work is what its backend shall do; the core only passes it on.
type Request[W any] struct {
	dispatcher.RequestInfo
	NotIdempotent bool // must never run twice
	Work          W
	// Left, where it is set, looks whether the client has gone without its front having noticed yet. It is asked right
	// before each attempt: none may begin for a client that has gone.
	ClientGone func() bool
}

// Attempt is one try at one node.
type Attempt[W any] struct {
	Node          Node
	Work          W
	NotIdempotent bool
	Number        int   // of the request, from 0 on
	Deadline      int64 // the broker stops waiting then
	// MayStart reports whether the attempt may still begin. It is asked once more after dialling, right before the first
	// byte: the node may have begun to drain meanwhile, the client may have gone, the time for a repeat may be over.
	MayStart func() bool
	// ResponseStarted tells that the answer starts to reach the client, which ends the request for the module.
	ResponseStarted func()
}

// Backend makes attempts. Do returns by the attempt's deadline or soon after ctx is done.
type Backend[W, V any] interface {
	Attempt(ctx context.Context, a Attempt[W]) (V, Outcome)
}

// Status is the kind of a final answer.
type Status uint8

// The kinds of answers.
const (
	Success   Status = iota
	Rejection        // nothing ran; trying again is harmless
	Failure          // it may have run
)

// Response is the one final answer of a request.
type Response[V any] struct {
	Status           Status
	Value            V     // of a Success, or of a Failure whose answer had begun
	RetryAfter       int64 // of a Refusal: come again after so many microseconds; 0: no advice
	DeadlineExceeded bool  // of a Failure or a Refusal: the client's time ran out
}

// Broker joins one front's requests with the backend that serves them.
type Broker[W, V any] struct {
	facade  *dispatcher.Dispatcher
	nodes   *EndpointTable
	backend Backend[W, V]
	clock   *clock.Clock
	lim     *limits.Limits
	open    *ConcurrencyLimiter
	rec     *record.Recorder // nil: nothing is recorded
}

// NewBroker returns a broker. Several may share a module, a node table and a gate.
func NewBroker[W, V any](f *dispatcher.Dispatcher, n *EndpointTable, g *ConcurrencyLimiter, b Backend[W, V], c *clock.Clock,
	lim *limits.Limits) *Broker[W, V] {
	return &Broker[W, V]{facade: f, nodes: n, backend: b, clock: c, lim: lim, open: g}
}

// SetRecorder has every request recorded by r. It is called before the first Do.
func (b *Broker[W, V]) SetRecorder(r *record.Recorder) { b.rec = r }

// stories are requests being recorded.
var stories = sync.Pool{New: func() any { return &record.Request{} }}

// Handle carries a request to its final answer, which comes before the request is due. Where ctx is done earlier
// the client has left and the answer reaches nobody.
func (b *Broker[W, V]) Handle(ctx context.Context, r Request[W]) Response[V] {
	if b.rec == nil {
		return b.do(ctx, r, nil, 0)
	}
	at := b.clock.Now()
	q := stories.Get().(*record.Request)
	*q = record.Request{Class: uint8(r.Class), Plan: uint8(r.Plan), Volume: r.Volume, Units: r.Units, Shard: int64(r.Shard), Tries: q.Tries[:0]}
	a := b.do(ctx, r, q, at)
	q.Took, q.Hint = b.clock.Now()-at, a.RetryAfter
	switch {
	case a.Status == Success:
		q.Answer = record.Served
	case errors.Is(context.Cause(ctx), ErrClientDisconnected):
		q.Answer = record.Left
	case a.Status == Rejection:
		q.Answer = record.Refused
	case a.DeadlineExceeded:
		q.Answer = record.Overdue
	default:
		q.Answer = record.Failed
	}
	b.rec.Request(at, q)
	stories.Put(q)
	return a
}

// do is Do; q, where it is not nil, takes the attempts of a request that came at at.
func (b *Broker[W, V]) do(ctx context.Context, r Request[W], q *record.Request, at int64) Response[V] {
	if !b.open.Acquire() {
		return Response[V]{Status: Rejection, RetryAfter: b.lim.BusyRetryAfter} // the process is full: nothing ran
	}
	defer b.open.Release()
	last := r.Deadline - b.lim.AnswerMargin
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	due := time.AfterFunc(clock.Duration(last-b.clock.Now()), func() { cancel(ErrDeadlineExceeded) })
	defer due.Stop()
	id, d := b.facade.Submit(ctx, r.RequestInfo)
	for number := 0; d.Verdict == dispatcher.Forward; number++ {
		var v V
		out := NotAttempted
		sent := int64(0)
		if q != nil {
			sent = b.clock.Now()
		}
		if node, ok := b.nodes.Get(d.Node); ok {
			v, out = b.backend.Attempt(ctx, Attempt[W]{
				Node: node, Work: r.Work, NotIdempotent: r.NotIdempotent, Number: number,
				Deadline: min(b.clock.Now()+d.Timeout, last),
				MayStart: func() bool { return b.mayBegin(node, d.NotAfter) && !gone(r.ClientGone, cancel) },
				ResponseStarted: func() {
					due.Stop() // an answer that has begun has no deadline
					b.facade.ResponseStarted(id)
				},
			})
		}
		if q != nil {
			q.Tries = append(q.Tries, record.Try{Node: d.Node, Sent: sent - at, Took: b.clock.Now() - sent, Outcome: uint8(out)})
		}
		d = b.facade.Report(ctx, id, out)
		if out == Served || d.Verdict == dispatcher.NoFurtherAction {
			// One that began and broke has a value as well: it tells the front that nothing more can be said.
			return Response[V]{Status: kind(out), Value: v, DeadlineExceeded: out != Served && ctx.Err() != nil}
		}
	}
	switch {
	case d.Verdict == dispatcher.Rejected:
		return Response[V]{Status: Rejection, RetryAfter: d.RetryAfter}
	case d.Verdict == dispatcher.NoFurtherAction && context.Cause(ctx) == ErrDeadlineExceeded:
		return Response[V]{Status: Rejection, RetryAfter: b.lim.BusyRetryAfter, DeadlineExceeded: true} // held until its time was up: nothing ran
	}
	return Response[V]{Status: Failure, DeadlineExceeded: d.Verdict == dispatcher.NoFurtherAction}
}

// mayBegin reports whether an attempt may begin now: its node takes new work, and the module's time for it is not over.
func (b *Broker[W, V]) mayBegin(n Node, by int64) bool {
	return b.nodes.Accepts(n) && (by == 0 || b.clock.Now() <= by)
}

// gone reports whether a request's client has left. If so it cancels the request.
func gone(left func() bool, cancel context.CancelCauseFunc) bool {
	if left == nil || !left() {
		return false
	}
	cancel(ErrClientDisconnected)
	return true
}

func kind(o Outcome) Status {
	if o == Served {
		return Success
	}
	return Failure
}

// ConcurrencyLimiter bounds the requests that a process has open over all its fronts.
type ConcurrencyLimiter struct {
	open atomic.Int64
	max  atomic.Int64
}

// NewConcurrencyLimiter returns a gate for so many.
func NewConcurrencyLimiter(n int) *ConcurrencyLimiter {
	g := &ConcurrencyLimiter{}
	g.SetLimit(n)
	return g
}

// SetLimit changes the bound. Whoever is in stays in.
func (g *ConcurrencyLimiter) SetLimit(n int) { g.max.Store(int64(n)) }

// Limit is the bound.
func (g *ConcurrencyLimiter) Limit() int { return int(g.max.Load()) }

// Acquire counts one in, or reports that the gate is full.
func (g *ConcurrencyLimiter) Acquire() bool {
	if g.open.Add(1) > g.max.Load() {
		g.open.Add(-1)
		return false
	}
	return true
}

// Release counts one out.
func (g *ConcurrencyLimiter) Release() { g.open.Add(-1) }

// InFlight is how many are in.
func (g *ConcurrencyLimiter) InFlight() int64 { return g.open.Load() }
