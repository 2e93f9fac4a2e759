package state

// ProcessState is the state of an instance's process as its agent knows it.
type ProcessState string

// The states of a process.
const (
	ProcessUnknown  ProcessState = ""       // there is no report
	ProcessAbsent   ProcessState = "absent" // the agent has neither a process nor files of the instance
	ProcessStopped  ProcessState = "stopped"
	ProcessStarting ProcessState = "starting"
	ProcessRunning  ProcessState = "running"
	ProcessDraining ProcessState = "draining"
	ProcessBackoff  ProcessState = "backoff" // crashed and waiting for its next start
)

// Report is the latest observation of one instance by its agent.
type Report struct {
	Name            string       `json:"name"`
	Process         ProcessState `json:"proc"`
	PID             int          `json:"pid,omitempty"`
	Incarnation     string       `json:"boot,omitempty"`    // incarnation that the broker reports
	AppliedEdition  uint64       `json:"applied,omitempty"` // edition that this incarnation reports as applied last
	StartDigest     string       `json:"started,omitempty"` // digest of the settings that this process was started with
	ListRevision    int64        `json:"list,omitempty"`    // revision of the node list in use
	NodeCount       int          `json:"nodes,omitempty"`   // length of the node list
	Healthy         bool         `json:"healthy,omitempty"` // its front ends answer
	RejectedEdition uint64       `json:"refused,omitempty"` // edition that this incarnation rejected, or 0
	Crashes         int          `json:"crashes,omitempty"`
	Flapping        bool         `json:"flapping,omitempty"` // the process crashes repeatedly
	Error           string       `json:"error,omitempty"`
}

// AgentSync is one call of an agent to its manager with its reports.
type AgentSync struct {
	Agent             string
	Token             uint64 // issued at the agent's registration
	Sequence          uint64 // number of the call, counted from 1 since the registration
	AssignmentVersion uint64 // version of the agent's assignments when it made the reports
	Full              bool   // Reports covers all of the agent's instances, not only the changed ones
	Reports           []Report
}
