package reconcile

import (
	"time"

	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/timing/clock"
)

// Config holds the intervals and limits by which a Controller decides.
type Config struct {
	HealthyProbeInterval   clock.Micros // between two probes of a healthy broker
	UnhealthyProbeInterval clock.Micros // and of one that is not
	StatusTTL              clock.Micros // age at which a broker's last status counts no more
	DrainTimeout           clock.Micros // from the request to drain to the kill

	InitialBackoff    clock.Micros // before the restart after a crash; doubles with each further one
	MaxBackoff        clock.Micros // bound of the doubling
	StableRunTime     clock.Micros // a run of this length ends the doubling
	CrashWindow       clock.Micros // in which crashes are counted
	FlappingThreshold int          // crashes within the window that make an instance flap

	Breaker retry.BreakerConfig // of the calls to one broker
}

// DefaultConfig suits brokers whose longest deadline is some seconds.
func DefaultConfig() Config {
	return Config{
		HealthyProbeInterval:   clock.FromDuration(time.Second),
		UnhealthyProbeInterval: clock.FromDuration(50 * time.Millisecond),
		StatusTTL:              clock.FromDuration(3 * time.Second),
		DrainTimeout:           clock.FromDuration(15 * time.Second),

		InitialBackoff:    clock.FromDuration(500 * time.Millisecond),
		MaxBackoff:        clock.FromDuration(30 * time.Second),
		StableRunTime:     clock.FromDuration(60 * time.Second),
		CrashWindow:       clock.FromDuration(60 * time.Second),
		FlappingThreshold: 3,

		Breaker: retry.BreakerConfig{
			Threshold:   5,
			InitialOpen: clock.FromDuration(500 * time.Millisecond),
			MaxOpen:     clock.FromDuration(10 * time.Second),
		},
	}
}
