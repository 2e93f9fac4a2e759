package model

import (
	"fmt"
	"math/rand/v2"

	"poppyarch/internal/lab/engine"
	"poppyarch/internal/lab/measure"
	"poppyarch/internal/sketch"
)

// batches is how many parts of a run the intervals are drawn from.
const batches = 20

// Result is what one run showed, after its warming up. Times are seconds.
type Result struct {
	Design   string         `json:"design"`
	Seed     uint64         `json:"seed"`
	Asked    measure.Figure `json:"asked"`    // requests a second
	Served   measure.Figure `json:"served"`   // in time
	Time     measure.Figure `json:"time"`     // from a request to its answer, of those served
	Inside   measure.Figure `json:"inside"`   // requests at all nodes together
	Median   float64        `json:"median"`   // of the time
	P99      float64        `json:"p99"`      //
	Full     int            `json:"full"`     // turned away by a full room
	GivenUp  int            `json:"given_up"` // by their clients
	Events   uint64         `json:"events"`
	Requests int            `json:"requests"`
}

type broker struct {
	design Design
	rng    *rand.Rand
	out    []int32
}

type run struct {
	s                 *Scenario
	e                 *engine.Engine
	nodes             []*Node
	brokers           []*broker
	from              int64
	asked, times      *measure.Batches
	served            *measure.Batches
	inside            *measure.Level
	latency           sketch.Sketch // microseconds
	full, given, seen int
}

// Play runs a scenario with one design at all brokers. The same seed brings the same clients and troubles to every design.
func Play(s *Scenario, design string, seed uint64) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	from, to := s.Warm.us(), s.Last.us()
	r := &run{s: s, e: engine.New(seed), from: from, asked: measure.NewBatches(from, to, batches), times: measure.NewBatches(from, to, batches),
		served: measure.NewBatches(from, to, batches), inside: measure.NewLevel(from, to, batches)}
	level := func(by float64) { r.inside.Add(r.e.Now(), by) }
	for _, k := range s.Nodes {
		for range k.Count {
			r.nodes = append(r.nodes, &Node{Cores: k.Cores, Speed: k.Speed, Room: k.Room, e: r.e, level: level})
		}
	}
	for i := range s.Brokers {
		d, err := NewDesign(design)
		if err != nil {
			return nil, err
		}
		r.brokers = append(r.brokers, &broker{design: d, rng: r.e.Stream(fmt.Sprint("broker ", i)), out: make([]int32, len(r.nodes))})
	}
	r.troubles()
	r.clients()
	r.e.Run(to)
	res := &Result{Design: design, Seed: seed, Asked: r.asked.Rate(), Served: r.served.Rate(), Time: r.times.Mean(), Inside: r.inside.Mean(to),
		Full: r.full, GivenUp: r.given, Events: r.e.Count(), Requests: r.seen}
	res.Median, res.P99 = float64(r.latency.Quantile(0.5))/1e6, float64(r.latency.Quantile(0.99))/1e6
	return res, nil
}

// clients come at times of their own, whatever becomes of those before them.
func (r *run) clients() {
	when, size, who := r.e.Stream("arrivals"), r.s.Load.work(r.e.Stream("work")), r.e.Stream("brokers")
	mean := 1e6 / r.s.Load.Rate
	at := 0.0 // kept as it is: rounded each time, short distances would change the rate
	var next func()
	next = func() {
		r.ask(r.brokers[who.IntN(len(r.brokers))], size())
		at += when.ExpFloat64() * mean
		r.e.At(int64(at), next)
	}
	at = when.ExpFloat64() * mean
	r.e.At(int64(at), next)
}

// ask is one request, from its client's view.
func (r *run) ask(b *broker, size float64) {
	r.seen++
	began := r.e.Now()
	r.asked.Add(began, 1)
	i := b.design.Pick(b.rng, b.out)
	w := &Work{Size: size}
	w.done = func() {
		b.out[i]--
		w.gone = true // its client waits no longer
		if took := r.e.Now() - began; began >= r.from {
			r.times.Add(began, float64(took)/1e6)
			r.latency.Add(took)
		}
		r.served.Add(r.e.Now(), 1)
	}
	if !r.nodes[i].Take(w) {
		r.full++
		return
	}
	b.out[i]++
	if p := r.s.Load.Patience.us(); p > 0 {
		r.e.After(p, func() {
			if !w.gone {
				w.gone = true
				b.out[i]-- // the broker has ended the attempt; the node may go on with it
				r.given++
				w.done = func() {}
			}
		})
	}
}

// troubles come to their nodes at times of each node's own.
func (r *run) troubles() {
	for k, p := range r.s.Trouble {
		lot := r.e.Stream(fmt.Sprint("trouble ", k))
		for i, n := range r.nodes {
			if lot.Float64() >= p.Share {
				continue
			}
			when := r.e.Stream(fmt.Sprint("trouble ", k, " of node ", i))
			var next func()
			next = func() {
				if p.Kind == "pause" {
					n.Pause(p.Last.us())
				} else {
					n.Silence()
					r.e.After(p.Last.us(), n.Speak)
				}
				r.e.After(p.Last.us()+int64(when.ExpFloat64()*float64((p.Every-p.Last).us())), next)
			}
			r.e.After(int64(when.ExpFloat64()*float64((p.Every-p.Last).us())), next)
		}
	}
}
