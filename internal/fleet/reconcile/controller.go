// Package reconcile decides what an agent does next with one instance. A Controller is a state machine: its inputs are
// the desired state and the results of actions, its outputs are the next action and the report for the manager. It does
// no I/O and does not read the clock: the current time, in microseconds, and the source of random numbers are passed
// in.
//
// It guarantees that
//   - no process is started while another process of the instance may be running;
//   - a process has ended before one with other start settings is started;
//   - a command goes only to the incarnation of the broker that was probed last, and is repeated with the same id as
//     long as its outcome is unknown;
//   - a report contains only what the broker's current incarnation has stated about itself.
package reconcile

import (
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/host/process"
	"poppyarch/internal/timing/clock"
)

// Desired is the state that an instance should be in.
type Desired struct {
	Run           bool
	Released      bool   // it no longer belongs to this agent, and is forgotten once its process has ended
	StartDigest   string // digest of the start settings
	TargetEdition uint64 // edition that its broker should hold
}

// Phase is what is known about an instance's process.
type Phase uint8

// The phases of an instance's process.
const (
	NoProcess     Phase = iota // no process runs
	StartIntended              // a process may have been started with LaunchID
	Running                    // Process runs
	Draining                   // Process has been asked to drain
)

// Command is a change to the state of one broker incarnation whose outcome is not known yet.
type Command struct {
	ID            string `json:"id"` // idempotency key
	Incarnation   string `json:"boot"`
	BaseEdition   uint64 `json:"base"` // edition that the broker must hold for the command to apply
	TargetEdition uint64 `json:"target"`
}

// Controller is the state machine of one instance. The agent keeps the exported fields in its journal. A Controller is
// not safe for concurrent use.
type Controller struct {
	Name        string
	Desired     Desired
	Phase       Phase
	LaunchID    string           // identifies the launch of the process
	Process     process.Identity // set in the phases Running and Draining
	StartDigest string           // digest of the start settings that Process was started with
	Pending     *Command         // the command whose outcome is unknown, nil if there is none

	config      Config
	random      func() float64
	retryBudget *retry.Budget // shared by all instances of the agent

	status          brokerStatus
	calls           callState
	drain           drainState
	crashes         crashState
	rejectedEdition uint64 // 0 if none was rejected
	lastError       string // for the report
	forgetRequested bool   // Next has returned ForgetInstance
}

// brokerStatus is the status that a broker reported last. The zero value means that nothing is known.
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
	failures      int          // consecutive
	answered      bool         // the process has answered since it was started
	nextProbeAt   clock.Micros // 0 if due immediately
	nextCommandAt clock.Micros // 0 if due immediately
}

// drainState is the progress of ending a process.
type drainState struct {
	startedAt clock.Micros
	killed    bool
}

// crashState counts crashes and paces restarts.
type crashState struct {
	total         int
	recent        []clock.Micros // times of the crashes within the crash window
	runningSince  clock.Micros   // when the last process was started, adopted or failed to start
	backoff       retry.Backoff
	nextRestartAt clock.Micros // 0 if due immediately
}

// New returns the controller of an instance about which nothing is known. random returns numbers from 0 to 1 for
// jitter.
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
