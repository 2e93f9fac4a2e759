// Package api defines the HTTP interface between the manager, its agents and the command line: the paths, the messages,
// the errors and their codes, and the client.
package api

import (
	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
)

// PathPrefix precedes every path below.
const PathPrefix = "/v1/"

// Paths of the calls. Each call is a POST of a JSON request.
const (
	PathRegister        = "agents/register"
	PathReport          = "agents/report"
	PathAssignments     = "agents/assignments"
	PathRetire          = "agents/retire"
	PathConfig          = "configs"
	PathApply           = "apply"
	PathRollback        = "rollback"
	PathChangeNodes     = "nodes"
	PathSetRolloutPhase = "steer"
	PathOverview        = "overview"
	PathHistory         = "history"
	PathWait            = "wait"
)

// RegisterRequest makes the caller the newest agent of its name.
type RegisterRequest struct {
	Agent       string `json:"agent"`
	SeenEdition uint64 `json:"seen"` // 0, or the highest edition seen from another manager before
}

// Registration answers a RegisterRequest.
type Registration struct {
	Token   uint64 `json:"token"`   // fencing token; a newer agent of the same name gets a higher one
	Epoch   string `json:"epoch"`   // identifies the manager's incarnation
	FleetID string `json:"fleet"`   // identifies the manager's journal permanently
	Edition uint64 `json:"edition"` // the manager's newest edition
}

// ReportRequest reports what an agent has observed of its instances.
type ReportRequest struct {
	Agent              string         `json:"agent"`
	Token              uint64         `json:"token"`
	Epoch              string         `json:"epoch"`
	Seq                uint64         `json:"seq"`
	AssignmentsVersion uint64         `json:"have"` // version of the assignments that the agent follows
	Full               bool           `json:"full"` // Reports has every instance, not only those that have changed
	Reports            []state.Report `json:"reports"`
	Stats              []BrokerStats  `json:"figures,omitempty"`
}

// ReportResponse answers a ReportRequest.
type ReportResponse struct{}

// BrokerStats holds the recent statistics of a broker.
type BrokerStats struct {
	Name     string         `json:"name"`
	Age      clock.Micros   `json:"age_us"` // time from the measurement to the sending of the message
	InFlight int64          `json:"open"`   // number of requests in flight
	Stats    *control.Stats `json:"figures"`
}

// AssignmentsRequest asks for assignments newer than a version, and waits until there are some.
type AssignmentsRequest struct {
	Agent        string `json:"agent"`
	Token        uint64 `json:"token"`
	Epoch        string `json:"epoch"`
	KnownVersion uint64 `json:"have"` // 0 if the agent has none
	WaitMS       int64  `json:"wait_ms"`
}

// Assignments answers an AssignmentsRequest.
type Assignments struct {
	Version uint64              `json:"version"`
	Full    bool                `json:"full"` // List has every instance of the agent, not only those that have changed
	List    []state.Assignment  `json:"list"`
	Nodes   []spec.NodeOverride `json:"nodes"`
	Edition uint64              `json:"edition"`
}

// ConfigRequest asks for the text of a configuration.
type ConfigRequest struct {
	Digest string `json:"digest"`
}

// ConfigResponse answers a ConfigRequest.
type ConfigResponse struct {
	Text string `json:"text"`
}

// ApplyRequest sets the desired state of the fleet.
type ApplyRequest struct {
	state.Command
	Spec     spec.Spec      `json:"spec"`
	Strategy state.Strategy `json:"strategy"`
}

// NodeOverridesRequest changes the operators' overrides of storage nodes.
type NodeOverridesRequest struct {
	state.Command
	Changes []state.NodeOverrideChange `json:"changes"`
}

// SetPhaseRequest pauses, resumes or aborts a rollout.
type SetPhaseRequest struct {
	state.Command
	Revision uint64      `json:"rev"` // revision of the rollout; 0 means the active one
	To       state.Phase `json:"to"`
}

// RetireRequest declares that an agent and its machine have failed permanently.
type RetireRequest struct {
	state.Command
	Agent string `json:"agent"`
}

// RollbackRequest sets the desired state of an earlier revision.
type RollbackRequest struct {
	state.Command
	To        uint64         `json:"to"`
	WithNodes bool           `json:"with_nodes"` // restore the node overrides too
	Strategy  state.Strategy `json:"strategy"`
}

// Reply answers the requests that carry a command.
type Reply struct {
	Result state.Result `json:"result"`
	Plan   *state.Plan  `json:"plan,omitempty"`
}

// OverviewRequest asks for an Overview of the instances that the names and terms select; see spec.Selector.
type OverviewRequest struct {
	Names []string `json:"names"`
	Terms []string `json:"terms"`
}

// Overview is the state of the fleet for operators.
type Overview struct {
	FleetID      string                 `json:"fleet"`
	Revision     uint64                 `json:"rev"`
	Settled      bool                   `json:"settled"`     // the observed state equals the desired state
	Unavailable  int                    `json:"unavailable"` // enabled instances not known to serve, or about to stop
	Enabled      int                    `json:"enabled"`     // enabled instances that have served
	NotCurrent   int                    `json:"differing"`   // instances that are not in their desired state
	Instances    []state.InstanceStatus `json:"instances"`
	Agents       []state.AgentStatus    `json:"agents"`
	Rollouts     []state.RolloutStatus  `json:"rollouts"`
	Nodes        []spec.NodeOverride    `json:"nodes"`
	Stats        []BrokerStats          `json:"figures,omitempty"`
	JournalFault string                 `json:"journal,omitempty"` // empty if there is none
}

// HistoryRequest asks for the newest revisions.
type HistoryRequest struct {
	Limit int `json:"most"`
}

// History lists revisions, newest first.
type History struct {
	Revisions []state.Revision `json:"revisions"`
}

// WaitRequest waits until the rollout of a revision has ended, a rollout is paused, or the fleet has settled.
type WaitRequest struct {
	Revision uint64 `json:"rev"` // 0 means until the fleet has settled
	WaitMS   int64  `json:"wait_ms"`
}

// WaitResponse answers a WaitRequest, including one whose wait has timed out.
type WaitResponse struct {
	Settled  bool                  `json:"settled"`
	Rollouts []state.RolloutStatus `json:"rollouts"`
}
