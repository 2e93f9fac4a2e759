package model

import "poppyarch/internal/broker/decision"

// ConfigOf returns the configuration of the simulated brokers, apart from their seeds and zones.
func ConfigOf(s *Scenario) decision.Config {
	r := prepare(s, "", 1)
	r.build()
	r.makeVolumes()
	return r.config
}
