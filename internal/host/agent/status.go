package agent

import "time"

// State is the state of an instance's process.
type State string

// States of an instance.
const (
	Stopped  State = "stopped"
	Starting State = "starting" // its process is running and is not ready yet
	Running  State = "running"
	Stopping State = "stopping" // draining
	Backoff  State = "backoff"  // it has crashed, and the agent waits before the next start
)

// Status is the status of an instance.
type Status struct {
	Name         string    `json:"name"`
	State        State     `json:"state"`
	ShouldRun    bool      `json:"wanted"` // the desired state
	PID          int       `json:"pid,omitempty"`
	Listen       string    `json:"listen,omitempty"`
	ObjectListen string    `json:"object_listen,omitempty"`
	Restarts     int       `json:"restarts"`        // number of restarts after crashes and failed starts
	Since        time.Time `json:"since"`           // time of the last change of State
	Error        string    `json:"error,omitempty"` // of the last crash or failed start
}
