// Package search looks for faults under which a design breaks a rule or falls far behind a reference design, and reduces
// what it finds to a small scenario that is worth keeping.
package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"poppyarch/internal/lab/model"
)

// maxFaults is the largest number of faults that a search adds to a scenario.
const maxFaults = 4

// randomStream tells the random numbers of a search from those of the runs with the same seed.
const randomStream = 7

// Search is one search. The same search always finds the same case.
type Search struct {
	Base       *model.Scenario // its own faults stay
	Design     string
	Reference  string // design to compare with
	Seed       uint64 // of the search, and of the first run of each candidate
	Runs       int    // of each candidate, each with its own seed
	Candidates int
}

// Case is a scenario that a search has found.
type Case struct {
	Scenario *model.Scenario
	Verdict  Verdict
	Plays    int // candidates and smaller cases that were played
}

// Run searches, and reduces the worst candidate. Half of the candidates are drawn at random, half are changes of the worst so
// far. It calls report for each candidate that is the worst so far; candidates count from 0.
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
	return &Case{Scenario: scenario, Verdict: worst.verdict, Plays: worst.plays}, err
}

func (s *Search) check() error {
	for _, design := range []string{s.Design, s.Reference} {
		if err := model.CheckDesign(design); err != nil {
			return err
		}
	}
	if s.Runs < 1 || s.Candidates < 1 {
		return fmt.Errorf("runs and tries: %d and %d cannot be", s.Runs, s.Candidates)
	}
	return nil
}

// findWorst returns the worst candidate, ready to be reduced.
func (s *Search) findWorst(ctx context.Context, report func(candidate int, verdict Verdict)) (*shrinker, error) {
	random := rand.New(rand.NewPCG(s.Seed, randomStream))
	worst := &shrinker{search: s}
	for candidate := range s.Candidates {
		faults := s.nextCandidate(random, worst.faults)
		verdict, err := s.evaluate(ctx, faults)
		if err != nil {
			return nil, err
		}
		worst.plays++
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

// nextCandidate draws faults, or changes those of the worst candidate so far. worst is nil before the first.
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

// mutate returns faults with one added, removed, replaced, or begun at another time.
func (s *Search) mutate(random *rand.Rand, faults []model.Fault) []model.Fault {
	faults = slices.Clone(faults)
	i := random.IntN(len(faults))
	switch choice := random.IntN(4); {
	case choice == 0 && len(faults) < maxFaults:
		return append(faults, s.drawFault(random))
	case choice == 1 && len(faults) > 1:
		return slices.Delete(faults, i, i+1)
	case choice == 2:
		faults[i].At = s.drawFault(random).At
		faults[i].Over = s.drawFault(random).Over
	default:
		faults[i] = s.drawFault(random)
	}
	return faults
}

// scenarioWith returns a copy of the base scenario with further faults.
func (s *Search) scenarioWith(faults []model.Fault) (*model.Scenario, error) {
	scenario, err := s.Base.Copy()
	if err != nil {
		return nil, err
	}
	scenario.Faults = append(scenario.Faults, faults...)
	return scenario, nil
}
