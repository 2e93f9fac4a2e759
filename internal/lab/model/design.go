package model

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Design is how one broker chooses among the nodes. It sees what a broker sees: what it has out itself, and the answers to it.
type Design interface {
	Pick(r *rand.Rand, out []int32) int
}

// designs are the plain ones, by name.
var designs = map[string]func() Design{
	"random": func() Design { return random{} },
	"round":  func() Design { return &round{at: -1} },
	"least":  func() Design { return least{} },
	"two":    func() Design { return two{} },
}

// Designs are their names.
func Designs() []string {
	names := make([]string, 0, len(designs))
	for name := range designs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NewDesign makes one by its name.
func NewDesign(name string) (Design, error) {
	d, ok := designs[name]
	if !ok {
		return nil, fmt.Errorf("design %q is unknown; there are %v", name, Designs())
	}
	return d(), nil
}

type random struct{}

func (random) Pick(r *rand.Rand, out []int32) int { return r.IntN(len(out)) }

// round goes through all in turn, from a place of its own so that brokers are not in step.
type round struct{ at int }

func (d *round) Pick(r *rand.Rand, out []int32) int {
	if d.at < 0 {
		d.at = r.IntN(len(out))
	}
	d.at = (d.at + 1) % len(out)
	return d.at
}

// least takes a node with the fewest requests of this broker's out, by lot among several.
type least struct{}

func (least) Pick(r *rand.Rand, out []int32) int {
	from := r.IntN(len(out))
	best := from
	for k := range out {
		if i := (from + k) % len(out); out[i] < out[best] {
			if best = i; out[i] == 0 {
				break
			}
		}
	}
	return best
}

// two takes the better one of two by lot.
type two struct{}

func (two) Pick(r *rand.Rand, out []int32) int {
	a, b := r.IntN(len(out)), r.IntN(len(out))
	if out[b] < out[a] {
		return b
	}
	return a
}
