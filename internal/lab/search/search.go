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

// Hunt is one search.
type Hunt struct {
	Base    *model.Scenario // its own troubles stay
	Design  string
	Against string
	Seed    uint64
	Runs    int // seeds of a play
	Tries   int // candidates
}

// Bad is how a design does on a scenario: rules broken count before everything else.
type Bad struct {
	Rules  []string // broken, by name
	Behind float64  // mean service less than the other design's
}

// worse reports whether b is the better find.
func (b Bad) worse(o Bad) bool {
	if (len(b.Rules) > 0) != (len(o.Rules) > 0) {
		return len(b.Rules) > 0
	}
	return b.Behind > o.Behind
}

// like reports whether a smaller case still shows what was found: a rule that was broken there, or nearly as much lost.
func (b Bad) like(found Bad) bool {
	for _, r := range found.Rules {
		if slices.Contains(b.Rules, r) {
			return true
		}
	}
	return len(found.Rules) == 0 && found.Behind > 0 && b.Behind >= 0.8*found.Behind
}

func (b Bad) String() string {
	if len(b.Rules) > 0 {
		return fmt.Sprintf("breaks %v, %.3f behind", b.Rules, b.Behind)
	}
	return fmt.Sprintf("%.3f behind", b.Behind)
}

// Find is a scenario, and how bad it is.
type Find struct {
	Scenario *model.Scenario
	Bad      Bad
	Plays    int
}

// most troubles of a candidate.
const most = 4

// Run searches: half of the candidates are drawn anew, half are the worst so far with a change; then the worst is made small.
func (h *Hunt) Run(ctx context.Context, say func(try int, b Bad)) (*Find, error) {
	for _, d := range []string{h.Design, h.Against} {
		if err := model.CheckDesign(d); err != nil {
			return nil, err
		}
	}
	if h.Runs < 1 || h.Tries < 1 {
		return nil, fmt.Errorf("runs and tries: %d and %d cannot be", h.Runs, h.Tries)
	}
	rng := rand.New(rand.NewPCG(h.Seed, 7))
	best := &Find{}
	var worst []model.Trouble
	for try := range h.Tries {
		var list []model.Trouble
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
		if worst == nil || b.worse(best.Bad) {
			worst, best.Bad = list, b
			say(try, b)
		}
	}
	list, b, err := h.shrink(ctx, worst, best)
	if err != nil {
		return nil, err
	}
	best.Bad = b
	best.Scenario, err = h.with(list)
	return best, err
}

func (h *Hunt) with(list []model.Trouble) (*model.Scenario, error) {
	s, err := h.Base.Copy()
	if err != nil {
		return nil, err
	}
	s.Trouble = append(s.Trouble, list...)
	return s, nil
}

// play holds the design against the other, seed by seed.
func (h *Hunt) play(ctx context.Context, list []model.Trouble) (Bad, error) {
	if err := ctx.Err(); err != nil {
		return Bad{}, err
	}
	s, err := h.with(list)
	if err != nil {
		return Bad{}, err
	}
	got, errs := make([]*model.Result, 2*h.Runs), make([]error, 2*h.Runs)
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range got {
		wait.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			got[i], errs[i] = model.Play(s, []string{h.Design, h.Against}[i%2], h.Seed+uint64(i/2))
		})
	}
	wait.Wait()
	var b Bad
	for i, r := range got {
		if errs[i] != nil {
			return b, errs[i]
		}
		if i%2 == 1 {
			b.Behind += r.Service / float64(h.Runs)
			continue
		}
		b.Behind -= r.Service / float64(h.Runs)
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
func (h *Hunt) draw(rng *rand.Rand) model.Trouble {
	kinds := model.Kinds()
	last := time.Duration(h.Base.Last)
	part := func(from, to float64) model.Span {
		d := time.Duration((from + (to-from)*rng.Float64()) * float64(last))
		return model.Span(max(d.Round(100*time.Millisecond), 100*time.Millisecond))
	}
	t := model.Trouble{Kind: kinds[rng.IntN(len(kinds))], Share: 0.1 + 0.9*rng.Float64(), At: part(0.1, 0.6), Last: part(0.02, 0.3), Over: part(0, 0.2)}
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
func (h *Hunt) change(rng *rand.Rand, list []model.Trouble) []model.Trouble {
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
func (h *Hunt) shrink(ctx context.Context, list []model.Trouble, f *Find) ([]model.Trouble, Bad, error) {
	found, now := f.Bad, f.Bad
	accept := func(next []model.Trouble) (bool, error) {
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
		for _, less := range []func(t *model.Trouble) bool{
			func(t *model.Trouble) bool { t.Share /= 2; return t.Share > 0.02 },
			func(t *model.Trouble) bool { t.Last /= 2; return t.Last > model.Span(20*time.Millisecond) },
			func(t *model.Trouble) bool { ok := t.Over > 0; t.Over = 0; return ok },
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
