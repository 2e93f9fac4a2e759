package search

import (
	"math/rand/v2"
	"time"

	"poppyarch/internal/lab/model"
)

// timeStep is the unit that the times of drawn faults are rounded to, and their minimum.
const timeStep = 100 * time.Millisecond

// drawFault draws a fault that occurs once and starts in the first 60% of the run.
func (s *Search) drawFault(random *rand.Rand) model.Fault {
	kinds := model.FaultKinds()
	f := model.Fault{
		Kind:        kinds[random.IntN(len(kinds))],
		Probability: uniform(random, 0.1, 1),
		StartsAt:    s.drawTime(random, 0.1, 0.6),
		Duration:    s.drawTime(random, 0.02, 0.3),
		StartSpread: s.drawTime(random, 0, 0.2),
	}
	switch f.Kind {
	case "slow", "lossy", "error":
		f.Factor = uniform(random, 0.05, 0.9)
	case "hot", "late":
		f.Factor = uniform(random, 2, 12)
	case "load":
		f.Factor = uniform(random, 1.1, 3.1)
	}
	return f
}

// drawTime draws a time between two fractions of the run's duration.
func (s *Search) drawTime(random *rand.Rand, from, to float64) model.Duration {
	t := time.Duration(uniform(random, from, to) * float64(time.Duration(s.Base.Duration)))
	return model.Duration(max(t.Round(timeStep), timeStep))
}

func uniform(random *rand.Rand, from, to float64) float64 {
	return from + (to-from)*random.Float64()
}
