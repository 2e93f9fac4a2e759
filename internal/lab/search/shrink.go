package search

import (
	"context"
	"slices"
	"time"

	"poppyarch/internal/lab/model"
)

// Limits below which faults are not shrunk any further.
const (
	minProbability = 0.02
	minDuration    = model.Duration(20 * time.Millisecond)
)

// reductions make a fault smaller in place. Each returns false if the fault cannot become smaller in that way.
var reductions = []func(*model.Fault) bool{halveProbability, halveDuration, removeSpread}

func halveProbability(f *model.Fault) bool {
	f.Probability /= 2
	return f.Probability > minProbability
}

func halveDuration(f *model.Fault) bool {
	f.Duration /= 2
	return f.Duration > minDuration
}

// removeSpread makes a fault start at all its targets at the same time.
func removeSpread(f *model.Fault) bool {
	spread := f.StartSpread > 0
	f.StartSpread = 0
	return spread
}

// shrinker makes a case smaller while it still reproduces its finding.
type shrinker struct {
	search      *Search
	finding     Verdict
	faults      []model.Fault // faults of the smallest case so far
	verdict     Verdict       // verdict on that case
	evaluations int
}

// shrink removes faults, and then reduces each remaining one.
func (k *shrinker) shrink(ctx context.Context) error {
	if err := k.removeFaults(ctx); err != nil {
		return err
	}
	for i := range k.faults {
		for _, reduce := range reductions {
			if err := k.reduceFault(ctx, i, reduce); err != nil {
				return err
			}
		}
	}
	return nil
}

func (k *shrinker) removeFaults(ctx context.Context) error {
	for i := 0; i < len(k.faults) && len(k.faults) > 1; {
		removed, err := k.tryCase(ctx, slices.Delete(slices.Clone(k.faults), i, i+1))
		if err != nil {
			return err
		}
		if !removed {
			i++
		}
	}
	return nil
}

// reduceFault reduces a fault repeatedly while the finding is still reproduced.
func (k *shrinker) reduceFault(ctx context.Context, i int, reduce func(*model.Fault) bool) error {
	for {
		smaller := slices.Clone(k.faults)
		if !reduce(&smaller[i]) {
			return nil
		}
		reduced, err := k.tryCase(ctx, smaller)
		if err != nil || !reduced {
			return err
		}
	}
}

// tryCase evaluates a smaller case and keeps it if it reproduces the finding.
func (k *shrinker) tryCase(ctx context.Context, faults []model.Fault) (bool, error) {
	verdict, err := k.search.evaluate(ctx, faults)
	k.evaluations++
	if err != nil || !verdict.reproduces(k.finding) {
		return false, err
	}
	k.faults = faults
	k.verdict = verdict
	return true, nil
}
