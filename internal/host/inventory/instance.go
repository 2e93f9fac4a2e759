package inventory

// Instance is one broker as the inventory describes it. For a setting that is empty or zero, the value in the
// configuration file applies.
type Instance struct {
	Name         string  `json:"name"`
	Config       string  `json:"config"` // file from which the instance's own configuration file is composed
	Listen       string  `json:"listen,omitempty"`
	ObjectListen string  `json:"object_listen,omitempty"`
	Discovery    string  `json:"discovery,omitempty"`
	Log          string  `json:"log,omitempty"`
	Cores        float64 `json:"cores,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Sockets      int     `json:"sockets,omitempty"`
	Enabled      bool    `json:"enabled"`

	// Only the fleet manager uses the fields below; an agent without a manager ignores them.
	Agent         string `json:"agent,omitempty"` // name of the agent that runs the instance
	FailureDomain string `json:"domain,omitempty"`
	Labels        string `json:"labels,omitempty"`   // KEY=VALUE pairs, separated by commas
	Groups        string `json:"groups,omitempty"`   // YAML groups that contain it, separated by commas
	MaxInFlight   int    `json:"max_open,omitempty"` // limit of requests that are admitted and not yet answered
}

// WithoutFleetFields returns the instance without the settings that only the fleet manager uses.
func (i Instance) WithoutFleetFields() Instance {
	i.Agent = ""
	i.FailureDomain = ""
	i.Labels = ""
	i.Groups = ""
	i.MaxInFlight = 0
	return i
}
