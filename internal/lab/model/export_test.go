package model

import "poppyarch/internal/broker/decision"

// ConfigOf is what the model's brokers are told, but for their seed.
func ConfigOf(s *Scenario) decision.Config {
	r := prepare(s, "", 1)
	r.build()
	r.makeVolumes()
	return r.config
}
