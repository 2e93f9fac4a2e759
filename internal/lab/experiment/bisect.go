package experiment

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"

	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
)

// Bisection searches for the value of a scenario key at which a design's measure crosses a bound, such as the load at
// which service drops below 0.8. It assumes that the measure is monotonic between From and To.
type Bisection struct {
	Scenario *model.Scenario
	Key      string
	From, To float64
	Design   string
	Measure  string
	Bound    float64
	Runs     int // seeds added at a time
	MaxRuns  int // maximum number of seeds of a step whose interval contains the bound
	Seed     uint64
	Steps    int // maximum number of halvings
}

// Step is the estimate at one value of the key.
type Step struct {
	Value       float64
	Mean        statistics.Estimate
	Above       bool // the mean is at or above the bound
	Significant bool // the interval does not contain the bound
}

// Found holds the two steps between which the measure crosses the bound. Near is on the side of From.
type Found struct {
	Near, Far Step
}

func (b *Bisection) check() error {
	if err := model.CheckDesign(b.Design); err != nil {
		return err
	}
	switch {
	case Measures[b.Measure] == nil:
		return fmt.Errorf("measure: unknown measure %q, want one of %v", b.Measure, measureNames())
	case b.From == b.To:
		return fmt.Errorf("from and to: both are %v, want two different values", b.From)
	case b.Runs < 2:
		return fmt.Errorf("runs: %d, a confidence interval needs at least 2", b.Runs)
	case b.MaxRuns < b.Runs:
		return fmt.Errorf("most: %d is less than runs (%d)", b.MaxRuns, b.Runs)
	case b.Steps < 1:
		return fmt.Errorf("steps: %d, want 1 or more", b.Steps)
	}
	return nil
}

// Run evaluates both ends and then bisects the range between them. It fails if the measure is on the same side of the
// bound at both ends.
func (b *Bisection) Run(ctx context.Context, report func(Step)) (Found, error) {
	if err := b.check(); err != nil {
		return Found{}, err
	}
	var ends [2]Step
	for i, at := range []float64{b.From, b.To} {
		s, err := b.evaluate(ctx, at)
		if err != nil {
			return Found{}, err
		}
		report(s)
		ends[i] = s
	}
	f := Found{Near: ends[0], Far: ends[1]}
	if f.Near.Above == f.Far.Above {
		side := "under"
		if f.Near.Above {
			side = "at or above"
		}
		return f, fmt.Errorf("%s is %s %v at both ends, %v and %v", b.Measure, side, b.Bound, b.From, b.To)
	}
	for range b.Steps {
		middle := (f.Near.Value + f.Far.Value) / 2
		if b.takesIntegersOnly() {
			middle = float64(int(middle))
		}
		if middle == f.Near.Value || middle == f.Far.Value {
			break
		}
		s, err := b.evaluate(ctx, middle)
		if err != nil {
			return f, err
		}
		report(s)
		if s.Above == f.Near.Above {
			f.Near = s
		} else {
			f.Far = s
		}
	}
	return f, nil
}

// takesIntegersOnly reports whether the key accepts integers only.
func (b *Bisection) takesIntegersOnly() bool {
	s, err := b.Scenario.Copy()
	return err != nil || setKey(s, b.Key, "1.5") != nil
}

// evaluate estimates the measure at a value of the key. It adds seeds while the interval contains the bound.
func (b *Bisection) evaluate(ctx context.Context, at float64) (Step, error) {
	s, err := b.Scenario.Copy()
	if err != nil {
		return Step{}, err
	}
	if err := setKey(s, b.Key, strconv.FormatFloat(at, 'g', -1, 64)); err != nil {
		return Step{}, err
	}
	if err := s.Check(); err != nil {
		return Step{}, fmt.Errorf("%s = %v: %w", b.Key, at, err)
	}
	var values []float64
	for {
		n := min(b.Runs, b.MaxRuns-len(values))
		batch, err := measureSeeds(ctx, s, b.Design, b.Seed+uint64(len(values)), n, Measures[b.Measure])
		if err != nil {
			return Step{}, err
		}
		values = append(values, batch...)
		x := Step{Value: at, Mean: statistics.EstimateMean(values)}
		x.Above, x.Significant = x.Mean.Mean >= b.Bound, !x.Mean.Contains(b.Bound)
		if x.Significant || len(values) == b.MaxRuns {
			return x, nil
		}
	}
}

// measureSeeds runs a design with n consecutive seeds in parallel and returns the measure of each run.
func measureSeeds(ctx context.Context, s *model.Scenario, design string, first uint64, n int, measure func(*model.Result) float64) ([]float64, error) {
	out, errs := make([]float64, n), make([]error, n)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if errs[i] = ctx.Err(); errs[i] != nil {
				return
			}
			r, err := model.Run(s, design, first+uint64(i))
			if err != nil {
				errs[i] = err
				return
			}
			out[i] = measure(r)
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}
