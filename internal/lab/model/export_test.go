package model

import "poppyarch/policy"

// ConfigOf is what the model's brokers are told, but for their seed.
func ConfigOf(s *Scenario) policy.Config {
	r := prepare(s, "", 1)
	r.build()
	r.makeVolumes()
	return r.config
}
