package inventory

// Instance is one broker as the inventory describes it. An empty or zero setting leaves that of the configuration file in
// force.
type Instance struct {
	Name         string  `json:"name"`
	Config       string  `json:"config"` // the configuration file that the instance's own is composed from
	Listen       string  `json:"listen,omitempty"`
	ObjectListen string  `json:"object_listen,omitempty"`
	Discovery    string  `json:"discovery,omitempty"`
	Log          string  `json:"log,omitempty"`
	Cores        float64 `json:"cores,omitempty"`
	MemoryMB     int     `json:"memory_mb,omitempty"`
	Sockets      int     `json:"sockets,omitempty"`
	Enabled      bool    `json:"enabled"`

	// For the fleet manager only; an agent without one ignores them.
	Agent         string `json:"agent,omitempty"` // the agent that runs the instance
	FailureDomain string `json:"domain,omitempty"`
	Labels        string `json:"labels,omitempty"`   // KEY=VALUE, separated by commas
	Groups        string `json:"groups,omitempty"`   // of a YAML inventory, separated by commas
	MaxInFlight   int    `json:"max_open,omitempty"` // requests admitted and not answered
}

// WithoutFleetFields is the instance without the settings that only the fleet manager reads.
func (i Instance) WithoutFleetFields() Instance {
	i.Agent = ""
	i.FailureDomain = ""
	i.Labels = ""
	i.Groups = ""
	i.MaxInFlight = 0
	return i
}
