package incident_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/check"
	"poppyarch/internal/observability/incident/report"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

const (
	ms  = clock.Micros(1000)
	sec = clock.Micros(1_000_000)
)

// span is from one time to another, from the world's begin.
type span struct{ from, to clock.Micros }

func (s span) has(t clock.Micros) bool { return t >= s.from && t < s.to }

// world is an emulated fleet of which everything is known.
type world struct {
	r       *rand.Rand
	zero    clock.Micros
	length  clock.Micros
	brokers int
	nodes   int
	rate    float64        // requests a second at each broker
	clocks  []clock.Micros // how far each broker's clock is ahead
	silent  map[int][]span
	slow    map[int][]span
	cold    map[int]span // it has restarted, and its answers take 2.5 times as long
	drained map[int]span
	dead    map[int][]span
	dropped map[int][]span // the recorder has no room
	cut     map[int][]span // frames are removed
	surge   map[string]span
	discoff *span
	back    clock.Micros // how far a broker's wall clock has been set by its second boot
}

// jitter draws a time from 0 to before max.
func (w *world) jitter(max clock.Micros) clock.Micros { return clock.Micros(w.r.Int64N(int64(max))) }

func newWorld(seed uint64) *world {
	return &world{r: rand.New(rand.NewPCG(seed, 7)), zero: 1_800_000_000 * sec, length: 60 * sec, brokers: 3, nodes: 4, rate: 60,
		clocks: make([]clock.Micros, 3), cold: map[int]span{}, silent: map[int][]span{}, slow: map[int][]span{}, drained: map[int]span{}, dead: map[int][]span{},
		dropped: map[int][]span{}, cut: map[int][]span{}, surge: map[string]span{}}
}

func in(list []span, t clock.Micros) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.has(t) })
}

// ended is the first begin of a span after t, up to to.
func cutsInto(list []span, t, to clock.Micros) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.from > t && s.from <= to })
}

// serve is one request at t: its attempts go to nodes as the world has them.
func (w *world) serve(t clock.Micros, volume string) (record.Event, clock.Micros) {
	q := &record.Request{Class: 0, Plan: 0, Volume: volume, Units: 1}
	at := t
	for n := 0; n < 3; n++ {
		node := w.r.IntN(w.nodes)
		if d, ok := w.drained[node]; ok && d.has(at) {
			node = (node + 1) % w.nodes
		}
		took := clock.Micros(w.r.ExpFloat64()*8*float64(ms)) + 12*ms
		if in(w.slow[node], at) {
			took *= 8
		}
		if c, ok := w.cold[node]; ok && c.has(at) {
			took = took * 5 / 2
		}
		if in(w.silent[node], at) || cutsInto(w.silent[node], at, at+took) {
			q.Attempts = append(q.Attempts, record.Attempt{Node: fmt.Sprint("s-", node), SentAfter: at - t, Duration: 600 * ms, Outcome: uint8(decision.TimedOut)})
			at += 600 * ms
			q.Result = record.DeadlineExceeded
			continue
		}
		q.Attempts = append(q.Attempts, record.Attempt{Node: fmt.Sprint("s-", node), SentAfter: at - t, Duration: took, Outcome: uint8(decision.Served)})
		at += took
		q.Result = record.Served
		break
	}
	q.Duration = at - t
	return record.Event{At: t, Kind: record.KindRequest, Request: q}, at
}

// streams plays the world and returns what its brokers recorded.
func (w *world) streams() (out []*incident.Stream) {
	for b := range w.brokers {
		up := clock.Micros(0)
		for k := 0; ; k++ {
			down, back := w.length, clock.Micros(-1)
			for _, d := range w.dead[b] {
				if d.from > up && d.from < down {
					down, back = d.from, d.to
				}
			}
			out = append(out, w.boot(b, k, up, down))
			if back < 0 || back >= w.length {
				break
			}
			up = back
		}
	}
	return out
}

// bootEvents collects the events of one incarnation of a broker, each with the time at which it is recorded.
type bootEvents struct {
	world *world
	up    clock.Micros
	down  clock.Micros
	items []bootEvent
}

type bootEvent struct {
	end clock.Micros
	e   record.Event
}

// note adds a note, if the broker was up.
func (x *bootEvents) note(t clock.Micros, kind record.Kind, subject, text string, value int64) {
	if t >= x.up && t < x.down {
		e := record.Event{At: t, Kind: kind, Note: &record.Note{Subject: subject, Text: text, Value: value}}
		x.items = append(x.items, bootEvent{t, e})
	}
}

// requests adds the requests that arrive between two times at a rate, and end while the broker is up.
func (x *bootEvents) requests(from, to clock.Micros, rate float64, volume func() string) {
	for t := max(from, x.up); t < min(to, x.down); t += clock.Micros(x.world.r.ExpFloat64() / rate * float64(sec)) {
		if e, end := x.world.serve(t, volume()); end < x.down {
			x.items = append(x.items, bootEvent{end, e})
		}
	}
}

// changes adds the notes of what happens in the world.
func (x *bootEvents) changes() {
	w := x.world
	for node, d := range w.drained {
		delay := w.jitter(200 * ms)
		x.note(d.from+delay, record.KindList, fmt.Sprint("s-", node), "draining", 10+int64(node))
		x.note(d.to+w.jitter(200*ms), record.KindList, fmt.Sprint("s-", node), "up", 20+int64(node))
	}
	for node, c := range w.cold {
		x.note(c.from+w.jitter(300*ms), record.KindNode, fmt.Sprint("s-", node), "may have restarted: outcome 4", 0)
	}
	for v := range int64(w.length / (5 * sec)) { // the list changes now and then, so that clocks can be compared
		x.note(clock.Micros(v)*5*sec+2*sec+w.jitter(150*ms), record.KindList, "s-x", fmt.Sprint("moved 10.0.0.", v), 100+v)
	}
	if d := w.discoff; d != nil {
		x.note(d.from+w.jitter(2*sec), record.KindDiscovery, "", "down: status 503", 0)
		x.note(d.to+w.jitter(2*sec), record.KindDiscovery, "", "answers", 0)
	}
}

func (w *world) boot(b, k int, up, down clock.Micros) *incident.Stream {
	events := &bootEvents{world: w, up: up, down: down}
	events.requests(up, down, w.rate, func() string { return fmt.Sprintf("v%d", w.r.IntN(6)) })
	for volume, s := range w.surge {
		events.requests(s.from, s.to, w.rate*2, func() string { return volume })
	}
	events.changes()
	for t := up; t < down; t += 500 * ms {
		events.items = append(events.items, bootEvent{t, record.Event{At: t, Kind: record.KindHeartbeat, Heartbeat: &record.Heartbeat{WallClock: t}}})
	}
	items := events.items
	sort.SliceStable(items, func(x, y int) bool { return items[x].end < items[y].end })
	ahead := w.zero + w.clocks[b]
	if k > 0 {
		ahead += w.back
	}
	s := incident.NewStream(fmt.Sprintf("n%d", b), fmt.Sprintf("boot%d-%d", b, k))
	s.AddEvent(&record.Event{At: up + ahead, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: s.Name, ID: s.BootID, StartedAt: up + ahead, HeartbeatInterval: 500 * ms, SampleFraction: 1,
		Classes: []record.Class{{Name: "artwork-read", LatencyObjective: 400 * ms, Deadline: 2500 * ms, PriorityWeight: 2}}, Plans: []record.Plan{{Name: "basis", PriceFactor: 0.8}}}})
	s.AddFrame(1, up+ahead)
	seq := uint64(1)
	next := 0
	for t := up + 50*ms; t < down; t += 50 * ms { // what was not written when it died is lost with it
		seq++
		missing := in(w.cut[b], t)
		if !missing {
			s.AddFrame(seq, t+ahead)
		}
		var lost record.Lost
		for next < len(items) && items[next].end < t {
			x := items[next]
			next++
			if missing {
				continue
			}
			if in(w.dropped[b], x.end) && x.e.Kind == record.KindRequest {
				if lost.Events == 0 {
					lost.From = x.end + ahead
				}
				lost.Events, lost.Requests, lost.To, lost.Reason = lost.Events+1, lost.Requests+1, x.end+ahead, "full"
				continue
			}
			x.e.At += ahead
			s.AddEvent(&x.e)
		}
		if lost.Events > 0 {
			s.AddEvent(&record.Event{At: t + ahead, Kind: record.KindLost, Lost: &lost})
		}
	}
	return s
}

// truths lists what was played, on the clock of broker ref.
func (w *world) truths(ahead clock.Micros) (out []check.Truth, gaps []check.Gap) {
	z := w.zero + ahead
	for n, list := range w.silent {
		for _, s := range list {
			out = append(out, check.Truth{Kind: incident.NodeSilent, Subject: fmt.Sprint("s-", n), Begin: z + s.from, End: z + s.to})
		}
	}
	for n, list := range w.slow {
		for _, s := range list {
			out = append(out, check.Truth{Kind: incident.NodeSlow, Subject: fmt.Sprint("s-", n), Begin: z + s.from, End: z + s.to})
		}
	}
	for n, s := range w.cold {
		out = append(out, check.Truth{Kind: incident.NodeSlowStart, Subject: fmt.Sprint("s-", n), Begin: z + s.from, End: z + s.to})
	}
	for n, s := range w.drained {
		out = append(out, check.Truth{Kind: incident.NodeDrain, Subject: fmt.Sprint("s-", n), Begin: z + s.from, End: z + s.to})
	}
	for v, s := range w.surge {
		out = append(out, check.Truth{Kind: incident.VolumeSurge, Subject: v, Begin: z + s.from, End: z + s.to})
	}
	for b, list := range w.dead {
		for _, s := range list {
			out = append(out, check.Truth{Kind: incident.BrokerDead, Subject: fmt.Sprint("n", b), Begin: z + s.from, End: z + min(s.to, w.length)})
			gaps = append(gaps, check.Gap{Broker: fmt.Sprint("n", b), State: incident.Dead, From: z + s.from, To: z + min(s.to, w.length)})
		}
	}
	if s := w.discoff; s != nil {
		out = append(out, check.Truth{Kind: incident.DiscoveryDown, Subject: "discovery", Begin: z + s.from, End: z + s.to})
	}
	for b, list := range w.cut {
		for _, s := range list {
			gaps = append(gaps, check.Gap{Broker: fmt.Sprint("n", b), State: incident.Missing, From: z + s.from, To: z + s.to})
		}
	}
	for b, list := range w.dropped {
		for _, s := range list {
			for t := s.from; t < s.to; t += 50 * ms { // told frame by frame
				gaps = append(gaps, check.Gap{Broker: fmt.Sprint("n", b), State: incident.Lost, From: z + t, To: z + t + 50*ms})
			}
		}
	}
	return out, gaps
}

// kinds that the emulated worlds have; the rest would be invented.
var kinds = []incident.Kind{incident.BrokerDead, incident.NodeSilent, incident.NodeSlowStart, incident.NodeDown, incident.NodeSlow, incident.NodeDrain, incident.VolumeSurge,
	incident.DiscoveryDown, incident.Rejections, incident.Rollout}

func (w *world) check(t *testing.T, what string) {
	t.Helper()
	o := incident.DefaultOptions()
	a := incident.Analyse(w.streams(), o)
	ahead, most := clock.Micros(0), clock.Micros(0)
	for i, c := range a.Clocks {
		if strings.Contains(c.Text, "reference") {
			_, _ = fmt.Sscanf(a.Clocks[i].Broker, "n%d", &ahead)
			ahead = w.clocks[ahead]
		}
		most = max(most, c.Error)
	}
	truths, gaps := w.truths(ahead)
	wrong := check.Compare(a, truths, gaps, check.Options{Slack: most + 50*ms, Gap: most + 600*ms, Kinds: kinds})
	for _, x := range wrong {
		t.Errorf("%s: %s", what, x)
	}
	if err := report.HTML(io.Discard, a, "x"); err != nil {
		t.Error(err)
	}
	if err := report.Text(io.Discard, a); err != nil {
		t.Error(err)
	}
}

// Overlapping failures as the issue names them, each for itself and together: every one is reported within its bounds, none is
// invented, and gaps are where they were.
func TestScriptedIncidents(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		for name, play := range map[string]func(*world){
			"calm":        func(w *world) {},
			"node silent": func(w *world) { w.silent[1] = []span{{20 * sec, 31 * sec}} },
			"broker dies while a node goes silent": func(w *world) {
				w.silent[2] = []span{{20 * sec, 35 * sec}}
				w.dead[0] = []span{{19 * sec, 27 * sec}}
			},
			"nobody saw the silence begin": func(w *world) {
				w.silent[2] = []span{{21 * sec, 35 * sec}}
				for b := range 3 {
					w.dead[b] = []span{{20*sec + clock.Micros(b)*100*ms, 24*sec + clock.Micros(b)*300*ms}}
				}
			},
			"dies and returns within a heartbeat": func(w *world) { w.dead[1] = []span{{30 * sec, 30*sec + 300*ms}} },
			"overflow in a surge": func(w *world) {
				w.surge["v3"] = span{25 * sec, 34 * sec}
				w.dropped[1] = []span{{28 * sec, 30 * sec}}
			},
			"frames gone":       func(w *world) { w.cut[2] = []span{{15 * sec, 22 * sec}} },
			"drain and silence": func(w *world) { w.drained[0] = span{14 * sec, 40 * sec}; w.silent[3] = []span{{20 * sec, 30 * sec}} },
			"silent, and back cold": func(w *world) {
				w.silent[2] = []span{{15 * sec, 24 * sec}}
				w.cold[2] = span{24 * sec, 33 * sec}
			},
			"a wall clock set back between two boots": func(w *world) {
				w.dead[1] = []span{{20 * sec, 26 * sec}}
				w.back = -4 * sec
			},
			"slow node": func(w *world) { w.slow[1] = []span{{20 * sec, 32 * sec}} },
			"discovery down while a broker is dead": func(w *world) {
				w.discoff = &span{20 * sec, 33 * sec}
				w.dead[2] = []span{{25 * sec, 29 * sec}}
			},
			"clocks apart": func(w *world) {
				w.clocks = []clock.Micros{0, 3 * sec, -2 * sec}
				w.silent[1] = []span{{20 * sec, 31 * sec}}
			},
			"everything at once": func(w *world) {
				w.silent[1] = []span{{12 * sec, 24 * sec}, {40 * sec, 48 * sec}}
				w.dead[0] = []span{{13 * sec, 19 * sec}, {44 * sec, 70 * sec}}
				w.surge["v2"] = span{30 * sec, 38 * sec}
				w.cut[1] = []span{{32 * sec, 34 * sec}}
				w.drained[3] = span{25 * sec, 50 * sec}
			},
		} {
			w := newWorld(seed)
			play(w)
			w.check(t, fmt.Sprintf("%s, seed %d", name, seed))
			if t.Failed() {
				return
			}
		}
	}
}

// Worlds that the analysis was not written against: drawn at random.
func TestDrawnIncidents(t *testing.T) {
	for seed := uint64(100); seed < 130; seed++ {
		w := newWorld(seed)
		at := func(from, to clock.Micros) clock.Micros { return from + w.jitter(to-from) }
		long := func() span { s := at(8*sec, 35*sec); return span{s, s + at(5*sec, 14*sec)} }
		for _, b := range w.r.Perm(3)[:w.r.IntN(3)] {
			w.dead[b] = []span{long()}
		}
		for _, n := range w.r.Perm(4)[:w.r.IntN(3)] {
			w.silent[n] = []span{long()}
		}
		if w.r.IntN(2) == 0 {
			w.surge[fmt.Sprint("v", w.r.IntN(6))] = long()
		}
		if w.r.IntN(3) == 0 {
			w.discoff = &span{20 * sec, at(27*sec, 40*sec)}
		}
		for b := range w.clocks {
			w.clocks[b] = at(-2*sec, 2*sec)
		}
		w.check(t, fmt.Sprint("seed ", seed))
		if t.Failed() {
			return
		}
	}
}

// The checker finds what it is for.
func TestCheckerFindsFaults(t *testing.T) {
	w := newWorld(3)
	w.silent[1] = []span{{20 * sec, 31 * sec}}
	w.dead[0] = []span{{40 * sec, 45 * sec}}
	a := incident.Analyse(w.streams(), incident.DefaultOptions())
	truths, gaps := w.truths(0)
	o := check.Options{Slack: 600 * ms, Gap: 600 * ms, Kinds: kinds}
	if wrong := check.Compare(a, truths, gaps, o); len(wrong) > 0 {
		t.Fatal(wrong)
	}
	expect := func(what, word string, a *incident.Analysis, truths []check.Truth, gaps []check.Gap) {
		t.Helper()
		if wrong := strings.Join(check.Compare(a, truths, gaps, o), "\n"); !strings.Contains(wrong, word) {
			t.Errorf("%s: %q", what, wrong)
		}
	}
	expect("an episode that nobody played", "invented", a, truths[:0], gaps)
	expect("an episode that is not there", "missing", a, append(slices.Clone(truths), check.Truth{Kind: incident.NodeSilent, Subject: "s-3", Begin: 1, End: 2}), gaps)
	off := slices.Clone(truths)
	off[0].Begin -= 5 * sec
	expect("a wrong begin", "reported as", a, off, gaps)
	expect("a gap that is filled in", "known from", a, truths, []check.Gap{{Broker: "n1", State: incident.Dead, From: w.zero + 10*sec, To: w.zero + 15*sec}})
	expect("a gap that nobody made", "invented", a, truths, nil)
}

// Two incidents against each other.
func TestDiff(t *testing.T) {
	x, y := newWorld(1), newWorld(1)
	x.silent[1] = []span{{20 * sec, 31 * sec}}
	y.silent[1] = []span{{20 * sec, 26 * sec}}
	y.dead[0] = []span{{40 * sec, 45 * sec}}
	var got []string
	for _, c := range incident.Diff(incident.Analyse(x.streams(), incident.DefaultOptions()), incident.Analyse(y.streams(), incident.DefaultOptions())) {
		if c.Kind != incident.NodeSlowStart {
			got = append(got, c.PresentIn+" "+string(c.Kind)+" "+c.Subject)
		}
	}
	if want := []string{"in both node silent s-1", "only in the second broker dead n0"}; !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
}
