package core

import (
	"context"
	"errors"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/timing/clock"
)

// Outcome is the result of an attempt.
type Outcome = decision.Outcome

// The outcomes that a backend may report.
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

// ErrClientDisconnected is the cause with which a frontend cancels a request whose client has disconnected.
var ErrClientDisconnected = errors.New("client disconnected")

// ErrDeadlineExceeded is the cause with which a request is cancelled at its client's deadline or at the drain deadline.
var ErrDeadlineExceeded = errors.New("request deadline exceeded")

// OutcomeOf returns the outcome of an attempt that ended because its ctx was done: TimedOut if the node did not respond
// by the deadline, which counts as a fault of the node, or else Cancelled, which does not.
func OutcomeOf(ctx context.Context) Outcome {
	if errors.Is(context.Cause(ctx), ErrDeadlineExceeded) {
		return TimedOut
	}
	return Cancelled
}

// Request is a request of a frontend. Work is passed to the backend unchanged.
type Request[W any] struct {
	dispatcher.RequestInfo
	NotIdempotent bool // whether the request must not be executed twice
	Work          W
	// ClientDisconnected reports whether the client has disconnected, even if its frontend has not detected that yet.
	// It is called right before each attempt, which is not made if it reports true. It may be nil, and may take some
	// milliseconds.
	ClientDisconnected func() bool
}

// Attempt is one attempt of a request at one node.
type Attempt[W any] struct {
	Node          Node
	Work          W
	NotIdempotent bool
	Number        int // index among the request's attempts, from 0
	Deadline      clock.Micros
	// MayStart reports whether the attempt may still start. The backend calls it when it is connected, before it sends
	// anything: in the meantime the node may have started to drain, the client may have disconnected, and the time
	// for a retry may have passed.
	MayStart func() bool
	// ResponseStarted is called when sending the response to the client starts. After that no other attempt is made.
	ResponseStarted func()
}

// Backend makes attempts. Attempt returns by the attempt's deadline, or soon after ctx is done.
type Backend[W, V any] interface {
	Attempt(ctx context.Context, a Attempt[W]) (V, Outcome)
}

// Status is the kind of a response.
type Status uint8

// The kinds of responses.
const (
	Success   Status = iota
	Rejection        // not executed, or safe to retry
	Failure          // it may have been executed
)

// Response is the one final response to a request.
type Response[V any] struct {
	Status           Status
	Value            V            // of a Success, or of a Failure whose response had started
	MayHaveRun       bool         // an attempt was made that may have been executed
	RetryAfter       clock.Micros // of a Rejection: wait before a retry; 0 if not given
	DeadlineExceeded bool         // of a Failure or a Rejection: whether the request's deadline passed
}
