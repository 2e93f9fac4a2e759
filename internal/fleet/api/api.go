// Package api is what manager, agents and the command line say to each other over HTTP, and the client's side of it.
package api

import (
	"errors"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
)

// Errors that cross the wire by their codes.
var (
	ErrEpoch       = errors.New("the manager has restarted")            // what was agreed with its former life is void
	ErrStorage     = errors.New("the manager cannot write its journal") // nothing has changed
	ErrRequest     = errors.New("faulty request")                       // it would fail again
	ErrHistory     = errors.New("the manager has lost history")         // it is not the one that this agent followed
	ErrUnavailable = errors.New("no manager answers")                   // whether it acted is unknown
)

// codes name errors on the wire.
var codes = map[string]error{
	"epoch": ErrEpoch, "storage": ErrStorage, "request": ErrRequest, "conflict": state.ErrConflict, "overlap": state.ErrRolloutActive,
	"unknown": state.ErrNotFound, "fenced": state.ErrFenced, "state": state.ErrInvalidState,
}

// Code is an error's name on the wire, or "request" for any that has none.
func Code(err error) string {
	for code, e := range codes {
		if errors.Is(err, e) {
			return code
		}
	}
	return "request"
}

// ErrorResponse is an error as it crosses the wire.
type ErrorResponse struct {
	Code  string `json:"code"`
	Error string `json:"error"`
}

// Registration is the answer to an agent that begins.
type Registration struct {
	Token   uint64 `json:"token"`
	Epoch   string `json:"epoch"` // of this life of the manager
	Fleet   string `json:"fleet"` // of its journal, for good
	Edition uint64 `json:"edition"`
}

// ReportRequest is an agent's report.
type ReportRequest struct {
	Agent              string          `json:"agent"`
	Token              uint64          `json:"token"`
	Epoch              string          `json:"epoch"`
	Seq                uint64          `json:"seq"`
	AssignmentsVersion uint64          `json:"have"` // version of the assignments that it works by
	Full               bool            `json:"full"`
	Reports            []state.Report  `json:"reports"`
	Metrics            []BrokerMetrics `json:"figures,omitempty"`
}

// BrokerMetrics are what a broker did lately.
type BrokerMetrics struct {
	Name     string         `json:"name"`
	Age      int64          `json:"age_us"` // when they are sent, since the broker said them
	InFlight int64          `json:"open"`   // requests taken and not answered
	Metrics  *control.Stats `json:"figures"`
}

// AssignmentsRequest asks for assignments newer than Have, and waits for some.
type AssignmentsRequest struct {
	Agent        string `json:"agent"`
	Token        uint64 `json:"token"`
	Epoch        string `json:"epoch"`
	KnownVersion uint64 `json:"have"`
	WaitMS       int64  `json:"wait_ms"`
}

// Assignments is the answer.
type Assignments struct {
	Version uint64              `json:"version"`
	Full    bool                `json:"full"` // List is all there is
	List    []state.Assignment  `json:"list"`
	Nodes   []spec.NodeOverride `json:"nodes"`
	Edition uint64              `json:"edition"`
}

// ApplyRequest has the manager want another fleet.
type ApplyRequest struct {
	state.Command
	Spec     spec.Spec      `json:"spec"`
	Strategy state.Strategy `json:"strategy"`
}

// NodesRequest changes the operators' word on storage nodes.
type NodesRequest struct {
	state.Command
	Changes []state.NodeChange `json:"changes"`
}

// SetPhaseRequest pauses, resumes or aborts a rollout; Rev 0 means the one under way.
type SetPhaseRequest struct {
	state.Command
	Revision uint64      `json:"rev"`
	To       state.Phase `json:"to"`
}

// RetireRequest says that an agent and its machine are gone for good.
type RetireRequest struct {
	state.Command
	Agent string `json:"agent"`
}

// RollbackRequest goes back to an earlier revision.
type RollbackRequest struct {
	state.Command
	To        uint64         `json:"to"`
	WithNodes bool           `json:"with_nodes"`
	Strategy  state.Strategy `json:"strategy"`
}

// Reply answers a command.
type Reply struct {
	Result state.Result `json:"result"`
	Plan   *state.Plan  `json:"plan,omitempty"`
}

// Overview is the fleet for people.
type Overview struct {
	Fleet        string                 `json:"fleet"`
	Revision     uint64                 `json:"rev"`
	Settled      bool                   `json:"settled"`
	Unavailable  int                    `json:"unavailable"`
	Enabled      int                    `json:"enabled"`
	NotCurrent   int                    `json:"differing"`
	Instances    []state.InstanceStatus `json:"instances"`
	Agents       []state.AgentStatus    `json:"agents"`
	Rollouts     []state.RolloutStatus  `json:"rollouts"`
	Nodes        []spec.NodeOverride    `json:"nodes"`
	Metrics      []BrokerMetrics        `json:"figures,omitempty"`
	JournalFault string                 `json:"journal,omitempty"` // what is wrong with it
}

// History lists revisions, newest first.
type History struct {
	Revisions []state.Revision `json:"revisions"`
}
