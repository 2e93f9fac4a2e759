package rate

import (
	"math"
	"testing"
	"time"
)

func TestMeterMeasuresASteadyRateAndDecays(t *testing.T) {
	var m Meter
	for now := time.Duration(0); now <= time.Minute; now += 100 * time.Millisecond {
		m.Add(now, 2)
	}
	if r := m.Rate(time.Minute); math.Abs(r-20) > 0.5 {
		t.Errorf("a rate of 20 units per second is measured as %v", r)
	}
	if r := m.Rate(time.Minute + DecayTime); math.Abs(r-20/math.E) > 0.5 {
		t.Errorf("after one time constant the rate is %v, want about %v", r, 20/math.E)
	}
}
