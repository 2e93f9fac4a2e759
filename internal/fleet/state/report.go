package state

// ProcessState is what an agent knows of an instance's process.
type ProcessState string

// The states of a process.
const (
	Unknown  ProcessState = ""       // no report
	Absent   ProcessState = "absent" // the agent has neither a process nor files of the instance
	Stopped  ProcessState = "stopped"
	Starting ProcessState = "starting"
	Running  ProcessState = "running"
	Draining ProcessState = "draining"
	Backoff  ProcessState = "backoff" // crashed, waits for its next start
)

// Report is one instance as its agent observed it last.
type Report struct {
	Name            string       `json:"name"`
	Process         ProcessState `json:"proc"`
	PID             int          `json:"pid,omitempty"`
	Incarnation     string       `json:"boot,omitempty"`    // of the broker, as it reports it
	AppliedEdition  uint64       `json:"applied,omitempty"` // that this incarnation applied last, as it reports it
	StartDigest     string       `json:"started,omitempty"` // digest of the start settings of this process
	ListRevision    int64        `json:"list,omitempty"`    // version of the node list in use
	NodeCount       int          `json:"nodes,omitempty"`   // entries of the node list
	Healthy         bool         `json:"healthy,omitempty"` // its front ends answer
	RejectedEdition uint64       `json:"refused,omitempty"` // that this incarnation rejected
	Crashes         int          `json:"crashes,omitempty"`
	Flapping        bool         `json:"flapping,omitempty"` // it crashes again and again
	Error           string       `json:"error,omitempty"`
}

// AgentSync is one call of an agent to its manager with what it has observed.
type AgentSync struct {
	Agent             string
	Token             uint64 // that it got at its registration
	Sequence          uint64 // of the call, counted from 1 since the registration
	AssignmentVersion uint64 // version of its assignments that the reports were made under
	Full              bool   // Reports has every instance of the agent; otherwise those that have changed
	Reports           []Report
}
