package search

import (
	"context"
	"runtime"
	"slices"
	"sync"

	"poppyarch/internal/lab/model"
)

// evaluate plays the design and the reference with faults, once with each seed.
func (s *Search) evaluate(ctx context.Context, faults []model.Fault) (Verdict, error) {
	if err := ctx.Err(); err != nil {
		return Verdict{}, err
	}
	scenario, err := s.scenarioWith(faults)
	if err != nil {
		return Verdict{}, err
	}
	tested := make([]*model.Result, s.Runs)
	reference := make([]*model.Result, s.Runs)
	errs := make([]error, 2*s.Runs)
	running := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	play := func(design string, run int, to **model.Result, err *error) {
		runs.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			*to, *err = model.Play(scenario, design, s.Seed+uint64(run))
		})
	}
	for run := range s.Runs {
		play(s.Design, run, &tested[run], &errs[2*run])
		play(s.Reference, run, &reference[run], &errs[2*run+1])
	}
	runs.Wait()
	for _, err := range errs {
		if err != nil {
			return Verdict{}, err
		}
	}
	return compare(tested, reference), nil
}

// compare returns the rules that the tested design has broken, and its mean shortfall.
func compare(tested, reference []*model.Result) Verdict {
	var v Verdict
	for i := range tested {
		v.Shortfall -= tested[i].Service / float64(len(tested))
		v.Shortfall += reference[i].Service / float64(len(tested))
		for rule := range tested[i].Broken {
			if !slices.Contains(v.Rules, rule) {
				v.Rules = append(v.Rules, rule)
			}
		}
	}
	slices.Sort(v.Rules)
	return v
}
