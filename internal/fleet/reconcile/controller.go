// Package reconcile decides what an agent does next with one instance. A Controller is a state machine: its inputs are
// the desired state and the results of actions, its outputs are the next action and the report for the manager. It does
// no I/O, reads no clock and draws no random numbers of its own; times come in as microseconds.
//
// It guarantees that
//   - no process is started while another one of the instance may run;
//   - a process has ended before one with other start settings is started;
//   - a command goes only to the incarnation of the broker that was probed last, and is repeated with the same id for as
//     long as its outcome is unknown;
//   - nothing is reported that the present incarnation has not said of itself.
package reconcile

import (
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/host/process"
	"poppyarch/internal/timing/clock"
)

// Desired is the state that an instance should be in.
type Desired struct {
	Run           bool
	Released      bool   // it is no longer this agent's: it is forgotten once its process has ended
	StartDigest   string // of the start settings
	TargetEdition uint64 // edition that its broker should hold
}

// Phase is what is known of an instance's process.
type Phase uint8

// The phases of an instance's process.
const (
	NoProcess     Phase = iota // none runs
	StartIntended              // one may have been started with LaunchID
	Running                    // Process runs
	Draining                   // Process was asked to drain
)

// Command is a change to the state of one broker incarnation whose outcome is not known yet.
type Command struct {
	ID            string `json:"id"` // idempotency key
	Incarnation   string `json:"boot"`
	BaseEdition   uint64 `json:"base"` // edition that the broker must hold for it
	TargetEdition uint64 `json:"target"`
}

// Controller is the state machine of one instance. The exported fields are those that the agent keeps in its journal. A
// Controller is not safe for concurrent use.
type Controller struct {
	Name        string
	Desired     Desired
	Phase       Phase
	LaunchID    string           // identifies the launch of the process
	Process     process.Identity // in the phases Running and Draining
	StartDigest string           // of the start settings of the process
	Pending     *Command         // nil: no command's outcome is unknown

	config      Config
	random      func() float64
	retryBudget *retry.Budget // shared by all instances of the agent

	status          brokerStatus
	calls           callState
	drain           drainState
	crashes         crashState
	rejectedEdition uint64 // 0: none
	lastError       string // for the report
	forgetRequested bool   // ForgetInstance has been given out
}

// brokerStatus is what a broker said at the last probe. The zero value means that nothing is known.
type brokerStatus struct {
	incarnation    string
	appliedEdition uint64
	healthy        bool
	listRevision   int64
	nodeCount      int
	observedAt     clock.Micros
}

func (s *brokerStatus) known() bool { return s.incarnation != "" }

// callState paces the calls to one process.
type callState struct {
	breaker       retry.Breaker
	failures      int          // in a row
	answered      bool         // it has answered since it was started
	nextProbeAt   clock.Micros // 0: at once
	nextCommandAt clock.Micros // 0: at once
}

// drainState is how far the end of a process has come.
type drainState struct {
	startedAt clock.Micros
	killed    bool
}

// crashState counts crashes and paces restarts.
type crashState struct {
	total         int
	recent        []clock.Micros // within the crash window
	runningSince  clock.Micros   // start of the last process
	backoff       retry.Backoff
	nextRestartAt clock.Micros // 0: at once
}

// New returns the controller of an instance of which nothing is known. random returns numbers from 0 to 1 for jitter.
func New(name string, config Config, budget *retry.Budget, random func() float64) *Controller {
	return &Controller{
		Name:        name,
		config:      config,
		random:      random,
		retryBudget: budget,
		calls:       callState{breaker: retry.NewBreaker(config.Breaker)},
		crashes:     crashState{backoff: retry.Backoff{Initial: config.InitialBackoff, Max: config.MaxBackoff}},
	}
}

func (c *Controller) jitter(delay clock.Micros) clock.Micros { return retry.Jitter(delay, c.random()) }
