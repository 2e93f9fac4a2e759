// Package search looks for troubles under which a design breaks a rule or falls far behind another, and makes what it has found small: a case to keep.
package search

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"poppyarch/internal/lab/model"
)

// Search is one search.
type Search struct {
	Base       *model.Scenario // its own troubles stay
	Design     string
	Reference  string
	Seed       uint64
	Runs       int // seeds of a play
	Candidates int // candidates
}

// Verdict is how a design does on a scenario: rules broken count before everything else.
type Verdict struct {
	Rules     []string // broken, by name
	Shortfall float64  // mean service less than the other design's
}

// worse reports whether b is the better find.
func (b Verdict) worse(o Verdict) bool {
	if (len(b.Rules) > 0) != (len(o.Rules) > 0) {
		return len(b.Rules) > 0
	}
	return b.Shortfall > o.Shortfall
}

// like reports whether a smaller case still shows what was found: a rule that was broken there, or nearly as much lost.
func (b Verdict) like(found Verdict) bool {
	for _, r := range found.Rules {
		if slices.Contains(b.Rules, r) {
			return true
		}
	}
	return len(found.Rules) == 0 && found.Shortfall > 0 && b.Shortfall >= 0.8*found.Shortfall
}

func (b Verdict) String() string {
	if len(b.Rules) > 0 {
		return fmt.Sprintf("breaks %v, %.3f behind", b.Rules, b.Shortfall)
	}
	return fmt.Sprintf("%.3f behind", b.Shortfall)
}

// Case is a scenario, and how bad it is.
type Case struct {
	Scenario *model.Scenario
	Verdict  Verdict
	Plays    int
}

// most troubles of a candidate.
const most = 4

// Run searches: half of the candidates are drawn anew, half are the worst so far with a change; then the worst is made small.
func (h *Search) Run(ctx context.Context, say func(try int, b Verdict)) (*Case, error) {
	for _, d := range []string{h.Design, h.Reference} {
		if err := model.CheckDesign(d); err != nil {
			return nil, err
		}
	}
	if h.Runs < 1 || h.Candidates < 1 {
		return nil, fmt.Errorf("runs and tries: %d and %d cannot be", h.Runs, h.Candidates)
	}
	rng := rand.New(rand.NewPCG(h.Seed, 7))
	best := &Case{}
	var worst []model.Fault
	for try := range h.Candidates {
		var list []model.Fault
		if worst == nil || rng.IntN(2) == 0 {
			for range 1 + rng.IntN(most) {
				list = append(list, h.draw(rng))
			}
		} else {
			list = h.change(rng, worst)
		}
		b, err := h.play(ctx, list)
		if err != nil {
			return nil, err
		}
		best.Plays++
		if worst == nil || b.worse(best.Verdict) {
			worst, best.Verdict = list, b
			say(try, b)
		}
	}
	list, b, err := h.shrink(ctx, worst, best)
	if err != nil {
		return nil, err
	}
	best.Verdict = b
	best.Scenario, err = h.with(list)
	return best, err
}

func (h *Search) with(list []model.Fault) (*model.Scenario, error) {
	s, err := h.Base.Copy()
	if err != nil {
		return nil, err
	}
	s.Faults = append(s.Faults, list...)
	return s, nil
}

// play holds the design against the other, seed by seed.
func (h *Search) play(ctx context.Context, list []model.Fault) (Verdict, error) {
	if err := ctx.Err(); err != nil {
		return Verdict{}, err
	}
	s, err := h.with(list)
	if err != nil {
		return Verdict{}, err
	}
	got, errs := make([]*model.Result, 2*h.Runs), make([]error, 2*h.Runs)
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range got {
		wait.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			got[i], errs[i] = model.Play(s, []string{h.Design, h.Reference}[i%2], h.Seed+uint64(i/2))
		})
	}
	wait.Wait()
	var b Verdict
	for i, r := range got {
		if errs[i] != nil {
			return b, errs[i]
		}
		if i%2 == 1 {
			b.Shortfall += r.Service / float64(h.Runs)
			continue
		}
		b.Shortfall -= r.Service / float64(h.Runs)
		for rule := range r.Broken {
			if !slices.Contains(b.Rules, rule) {
				b.Rules = append(b.Rules, rule)
			}
		}
	}
	slices.Sort(b.Rules)
	return b, nil
}

// draw is any trouble, once, in the middle of the run.
func (h *Search) draw(rng *rand.Rand) model.Fault {
	kinds := model.FaultKinds()
	last := time.Duration(h.Base.Duration)
	part := func(from, to float64) model.Duration {
		d := time.Duration((from + (to-from)*rng.Float64()) * float64(last))
		return model.Duration(max(d.Round(100*time.Millisecond), 100*time.Millisecond))
	}
	t := model.Fault{Kind: kinds[rng.IntN(len(kinds))], Share: 0.1 + 0.9*rng.Float64(), At: part(0.1, 0.6), Duration: part(0.02, 0.3), Over: part(0, 0.2)}
	switch t.Kind {
	case "slow", "lossy", "error":
		t.Factor = 0.05 + 0.85*rng.Float64()
	case "hot", "late":
		t.Factor = 2 + 10*rng.Float64()
	case "load":
		t.Factor = 1.1 + 2*rng.Float64()
	}
	return t
}

// change is a list with one trouble more, less, drawn anew, or at another time.
func (h *Search) change(rng *rand.Rand, list []model.Fault) []model.Fault {
	list = slices.Clone(list)
	i := rng.IntN(len(list))
	switch x := rng.IntN(4); {
	case x == 0 && len(list) < most:
		return append(list, h.draw(rng))
	case x == 1 && len(list) > 1:
		return slices.Delete(list, i, i+1)
	case x == 2:
		list[i].At, list[i].Over = h.draw(rng).At, h.draw(rng).Over
	default:
		list[i] = h.draw(rng)
	}
	return list
}

// shrink takes away whole troubles, and then halves shares and lengths, while what was found still shows.
func (h *Search) shrink(ctx context.Context, list []model.Fault, f *Case) ([]model.Fault, Verdict, error) {
	found, now := f.Verdict, f.Verdict
	accept := func(next []model.Fault) (bool, error) {
		b, err := h.play(ctx, next)
		f.Plays++
		if err != nil || !b.like(found) {
			return false, err
		}
		list, now = next, b
		return true, nil
	}
	for i := 0; i < len(list) && len(list) > 1; {
		ok, err := accept(slices.Delete(slices.Clone(list), i, i+1))
		if err != nil {
			return nil, now, err
		}
		if !ok {
			i++
		}
	}
	for i := range list {
		for _, less := range []func(t *model.Fault) bool{
			func(t *model.Fault) bool { t.Share /= 2; return t.Share > 0.02 },
			func(t *model.Fault) bool { t.Duration /= 2; return t.Duration > model.Duration(20*time.Millisecond) },
			func(t *model.Fault) bool { ok := t.Over > 0; t.Over = 0; return ok },
		} {
			for {
				next := slices.Clone(list)
				if !less(&next[i]) {
					break
				}
				ok, err := accept(next)
				if err != nil {
					return nil, now, err
				}
				if !ok {
					break
				}
			}
		}
	}
	return list, now, nil
}
