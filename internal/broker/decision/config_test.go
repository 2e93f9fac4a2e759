package decision

import (
	"testing"
	"time"
)

// The capacity of a node in slow start grows linearly from its initial to its full capacity.
func TestSlowStartCapacityGrowsWithAge(t *testing.T) {
	c := Config{SlowStartCapacityUnits: 10, SlowStartFraction: 0.25, SlowStartDuration: 15 * time.Second}
	for age, want := range map[time.Duration]float64{-time.Second: 10, 0: 10, 5 * time.Second: 20, 15 * time.Second: 40} {
		if got := c.SlowStartCapacity(age); got != want {
			t.Errorf("capacity %v after the start: %v units, want %v", age, got, want)
		}
	}
	c.SlowStartFraction, c.SlowStartDuration = 0, time.Second
	if got := c.SlowStartCapacity(time.Second); got != 10 {
		t.Errorf("without a slow-start fraction: %v units, want 10", got)
	}
}

func TestWithDefaultsDoesNotChangeTheCallersPlans(t *testing.T) {
	plans := []Plan{{Weight: 0}, {Weight: 3}}
	c := Config{Plans: plans}.WithDefaults()
	if c.Brokers != 1 || c.MaxAttempts != 1 || c.MeanUnits != 1 || c.Plans[0].Weight != 1 || c.Plans[1].Weight != 3 || plans[0].Weight != 0 {
		t.Errorf("got %+v; the caller's plans are %+v", c, plans)
	}
}
