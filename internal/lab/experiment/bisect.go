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

// Bisection looks for the figure of a scenario at which a design's measure crosses a bound, such as the load at which service falls under 0.8. The
// measure is taken to go one way between the two ends.
type Bisection struct {
	Scenario *model.Scenario
	Key      string
	From, To float64
	Design   string
	Measure  string
	Bound    float64
	Runs     int // seeds at a time
	Most     int // seeds for a step at which the bound lies within the interval
	Seed     uint64
	Steps    int
}

// Step is one figure that was played.
type Step struct {
	At    float64
	Mean  statistics.Figure
	Above bool // the mean is at the bound or above
	Sure  bool // and its interval does not hold the bound
}

// Found is where the crossing lies: between two figures that were played, the first on the side of From.
type Found struct {
	Near, Far Step
}

func (b *Bisection) check() error {
	if err := model.CheckDesign(b.Design); err != nil {
		return err
	}
	switch {
	case Measures[b.Measure] == nil:
		return fmt.Errorf("measure: %q is unknown; there are %v", b.Measure, measureNames())
	case b.From == b.To:
		return fmt.Errorf("from and to: both are %v", b.From)
	case b.Runs < 2:
		return fmt.Errorf("runs: %d cannot be, an interval takes two", b.Runs)
	case b.Most < b.Runs:
		return fmt.Errorf("most: %d is less than runs, %d", b.Most, b.Runs)
	case b.Steps < 1:
		return fmt.Errorf("steps: %d cannot be", b.Steps)
	}
	return nil
}

// Run plays both ends and then halves what lies between. It is an error if both ends lie on one side.
func (b *Bisection) Run(ctx context.Context, say func(Step)) (Found, error) {
	if err := b.check(); err != nil {
		return Found{}, err
	}
	var ends [2]Step
	for i, at := range []float64{b.From, b.To} {
		s, err := b.play(ctx, at)
		if err != nil {
			return Found{}, err
		}
		say(s)
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
		middle := (f.Near.At + f.Far.At) / 2
		if b.whole() {
			middle = float64(int(middle))
		}
		if middle == f.Near.At || middle == f.Far.At {
			break
		}
		s, err := b.play(ctx, middle)
		if err != nil {
			return f, err
		}
		say(s)
		if s.Above == f.Near.Above {
			f.Near = s
		} else {
			f.Far = s
		}
	}
	return f, nil
}

// whole reports whether the key takes whole numbers only.
func (b *Bisection) whole() bool {
	s, err := b.Scenario.Copy()
	return err != nil || set(s, b.Key, "1.5") != nil
}

// play adds seeds while the interval holds the bound.
func (b *Bisection) play(ctx context.Context, at float64) (Step, error) {
	s, err := b.Scenario.Copy()
	if err != nil {
		return Step{}, err
	}
	if err := set(s, b.Key, strconv.FormatFloat(at, 'g', -1, 64)); err != nil {
		return Step{}, err
	}
	if err := s.Check(); err != nil {
		return Step{}, fmt.Errorf("%s = %v: %w", b.Key, at, err)
	}
	var values []float64
	for {
		n := min(b.Runs, b.Most-len(values))
		part, err := seeds(ctx, s, b.Design, b.Seed+uint64(len(values)), n, Measures[b.Measure])
		if err != nil {
			return Step{}, err
		}
		values = append(values, part...)
		x := Step{At: at, Mean: statistics.Of(values)}
		x.Above, x.Sure = x.Mean.Mean >= b.Bound, !x.Mean.Holds(b.Bound)
		if x.Sure || len(values) == b.Most {
			return x, nil
		}
	}
}

// seeds plays a design with n seeds, side by side.
func seeds(ctx context.Context, s *model.Scenario, design string, from uint64, n int, of func(*model.Result) float64) ([]float64, error) {
	out, errs := make([]float64, n), make([]error, n)
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if errs[i] = ctx.Err(); errs[i] != nil {
				return
			}
			r, err := model.Play(s, design, from+uint64(i))
			if err != nil {
				errs[i] = err
				return
			}
			out[i] = of(r)
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}
