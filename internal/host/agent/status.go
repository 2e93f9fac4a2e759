package agent

import "time"

// State is what an instance is doing.
type State string

// The states.
const (
	Stopped  State = "stopped"
	Starting State = "starting" // its process runs and is not ready yet
	Running  State = "running"
	Stopping State = "stopping" // draining
	Backoff  State = "backoff"  // it crashed and waits for its next start
)

// Status is an instance as the agent sees it.
type Status struct {
	Name         string    `json:"name"`
	State        State     `json:"state"`
	ShouldRun    bool      `json:"wanted"` // the desired state
	PID          int       `json:"pid,omitempty"`
	Listen       string    `json:"listen,omitempty"`
	ObjectListen string    `json:"object_listen,omitempty"`
	Restarts     int       `json:"restarts"`        // after crashes
	Since        time.Time `json:"since"`           // of State
	Error        string    `json:"error,omitempty"` // of the last crash or failed start
}
