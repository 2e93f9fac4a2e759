// Package search looks for faults under which a design breaks a rule or falls far behind a reference design, and
// shrinks what it finds to a small scenario that can be kept as a test case.
package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"poppyarch/internal/lab/model"
)

// maxFaults is the maximum number of faults that a search adds to a scenario.
const maxFaults = 4

// randomStream separates the random numbers of a search from those of runs with the same seed.
const randomStream = 7

// Search is the configuration of a search. Equal configurations always find the same case.
type Search struct {
	Base       *model.Scenario // its own faults are kept
	Design     string
	Reference  string // design that Design is compared with
	Seed       uint64 // of the search, and of the first run of each candidate
	Runs       int    // runs of each candidate, with consecutive seeds
	Candidates int    // candidates to evaluate
}

// Case is a scenario that a search has found.
type Case struct {
	Scenario    *model.Scenario
	Verdict     Verdict
	Evaluations int // evaluations of candidates and of smaller cases
}

// Run evaluates candidates and shrinks the worst one. Half of the candidates are drawn at random, half are mutations
// of the worst so far. Run calls report for each candidate that is the worst so far; candidates are numbered from 0.
func (s *Search) Run(ctx context.Context, report func(candidate int, verdict Verdict)) (*Case, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	worst, err := s.findWorst(ctx, report)
	if err != nil {
		return nil, err
	}
	if err := worst.shrink(ctx); err != nil {
		return nil, err
	}
	scenario, err := s.scenarioWith(worst.faults)
	return &Case{Scenario: scenario, Verdict: worst.verdict, Evaluations: worst.evaluations}, err
}

func (s *Search) check() error {
	for _, design := range []string{s.Design, s.Reference} {
		if err := model.CheckDesign(design); err != nil {
			return err
		}
	}
	if s.Runs < 1 || s.Candidates < 1 {
		return fmt.Errorf("runs and tries: %d and %d, both must be 1 or more", s.Runs, s.Candidates)
	}
	return nil
}

// findWorst returns the worst candidate, ready for shrinking.
func (s *Search) findWorst(ctx context.Context, report func(candidate int, verdict Verdict)) (*shrinker, error) {
	random := rand.New(rand.NewPCG(s.Seed, randomStream))
	worst := &shrinker{search: s}
	for candidate := range s.Candidates {
		faults := s.nextCandidate(random, worst.faults)
		verdict, err := s.evaluate(ctx, faults)
		if err != nil {
			return nil, err
		}
		worst.evaluations++
		if worst.faults != nil && !verdict.worse(worst.finding) {
			continue
		}
		worst.faults = faults
		worst.finding = verdict
		worst.verdict = verdict
		report(candidate, verdict)
	}
	return worst, nil
}

// nextCandidate draws faults or mutates those of the worst candidate so far. worst is nil before the first candidate.
func (s *Search) nextCandidate(random *rand.Rand, worst []model.Fault) []model.Fault {
	if worst != nil && random.IntN(2) != 0 {
		return s.mutate(random, worst)
	}
	var faults []model.Fault
	for range 1 + random.IntN(maxFaults) {
		faults = append(faults, s.drawFault(random))
	}
	return faults
}

// mutate returns a copy of faults with one fault added, removed, replaced or moved in time.
func (s *Search) mutate(random *rand.Rand, faults []model.Fault) []model.Fault {
	faults = slices.Clone(faults)
	i := random.IntN(len(faults))
	switch choice := random.IntN(4); {
	case choice == 0 && len(faults) < maxFaults:
		return append(faults, s.drawFault(random))
	case choice == 1 && len(faults) > 1:
		return slices.Delete(faults, i, i+1)
	case choice == 2:
		faults[i].StartsAt = s.drawFault(random).StartsAt
		faults[i].StartSpread = s.drawFault(random).StartSpread
	default:
		faults[i] = s.drawFault(random)
	}
	return faults
}

// scenarioWith returns a copy of the base scenario with additional faults.
func (s *Search) scenarioWith(faults []model.Fault) (*model.Scenario, error) {
	scenario, err := s.Base.Copy()
	if err != nil {
		return nil, err
	}
	scenario.Faults = append(scenario.Faults, faults...)
	return scenario, nil
}
