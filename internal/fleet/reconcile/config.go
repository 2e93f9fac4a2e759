package reconcile

import (
	"time"

	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/timing/clock"
)

// Config holds the intervals and limits by which a Controller decides.
type Config struct {
	HealthyProbeInterval   clock.Micros // time between probes of a healthy broker
	UnhealthyProbeInterval clock.Micros // time between probes of an unhealthy broker
	StatusTTL              clock.Micros // age at which a broker's last status expires
	DrainTimeout           clock.Micros // time from the request to drain until the process is killed

	InitialBackoff    clock.Micros // delay of the restart after the first crash; doubles with each further crash
	MaxBackoff        clock.Micros // upper limit of that delay
	StableRunTime     clock.Micros // a process that has run for this long resets the delay to InitialBackoff
	CrashWindow       clock.Micros // period within which crashes are counted
	FlappingThreshold int          // crashes within CrashWindow at which an instance is reported as flapping

	Breaker retry.BreakerConfig // for the calls to one broker
}

// DefaultConfig returns a configuration for brokers whose longest request deadline is a few seconds.
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
