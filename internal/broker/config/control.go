package config

// ControlEndpoint configures the control endpoint.
type ControlEndpoint struct {
	Listen      string `json:"listen"`            // unix:PATH, or HOST:PORT on loopback
	StartDigest string `json:"started,omitempty"` // digest of the start settings, for the agent that starts the broker
}
