package search

import (
	"context"
	"runtime"
	"slices"
	"sync"

	"poppyarch/internal/lab/model"
)

// evaluate runs the design and the reference with the given faults, once with each seed.
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
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	start := func(design string, i int, to **model.Result, err *error) {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			*to, *err = model.Run(scenario, design, s.Seed+uint64(i))
		})
	}
	for i := range s.Runs {
		start(s.Design, i, &tested[i], &errs[2*i])
		start(s.Reference, i, &reference[i], &errs[2*i+1])
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return Verdict{}, err
		}
	}
	return compare(tested, reference), nil
}

// compare returns the rules that the tested design broke and its mean shortfall.
func compare(tested, reference []*model.Result) Verdict {
	var v Verdict
	for i := range tested {
		v.Shortfall -= tested[i].ServedValueRatio / float64(len(tested))
		v.Shortfall += reference[i].ServedValueRatio / float64(len(tested))
		for rule := range tested[i].ViolationCounts {
			if !slices.Contains(v.Rules, rule) {
				v.Rules = append(v.Rules, rule)
			}
		}
	}
	slices.Sort(v.Rules)
	return v
}
