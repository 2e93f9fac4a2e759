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

// span is a time span. Times are relative to the begin of the simulation.
type span struct{ from, to clock.Micros }

func (s span) contains(t clock.Micros) bool { return t >= s.from && t < s.to }

// simulation is a simulated fleet with a known course of events. Nodes and brokers are identified by their numbers,
// volumes by their names.
type simulation struct {
	rng             *rand.Rand
	epoch           clock.Micros // wall-clock time of the begin
	duration        clock.Micros
	brokers         int
	nodes           int
	rate            float64        // requests per second at each broker
	clockOffsets    []clock.Micros // by how much each broker's clock is ahead
	nodeSilences    map[int][]span // the node does not respond
	nodeSlowdowns   map[int][]span // the node's responses take 8 times as long
	nodeSlowStarts  map[int]span   // the node has restarted, and its responses take 2.5 times as long
	nodeDrains      map[int]span
	brokerOutages   map[int][]span  // from the crash of the broker until its restart
	bufferOverflows map[int][]span  // the recorder's buffers are full
	missingFrames   map[int][]span  // the frames are removed from the records
	surges          map[string]span // the volume gets additional requests
	discoveryOutage *span
	wallClockShift  clock.Micros // by how much a broker's wall clock is set before its second incarnation
}

// jitter draws a duration from 0 up to, but not including, limit.
func (sim *simulation) jitter(limit clock.Micros) clock.Micros {
	return clock.Micros(sim.rng.Int64N(int64(limit)))
}

func newSimulation(seed uint64) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 7)), epoch: 1_800_000_000 * sec, duration: 60 * sec, brokers: 3, nodes: 4, rate: 60,
		clockOffsets: make([]clock.Micros, 3), nodeSlowStarts: map[int]span{}, nodeSilences: map[int][]span{}, nodeSlowdowns: map[int][]span{}, nodeDrains: map[int]span{}, brokerOutages: map[int][]span{},
		bufferOverflows: map[int][]span{}, missingFrames: map[int][]span{}, surges: map[string]span{}}
}

// anyContains reports whether any span contains t.
func anyContains(list []span, t clock.Micros) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.contains(t) })
}

// anyBeginsWithin reports whether any span begins after t and not after to.
func anyBeginsWithin(list []span, t, to clock.Micros) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.from > t && s.from <= to })
}

// serveRequest simulates a request that arrives at t, with up to three attempts. It returns its event and the time at
// which it ends.
func (sim *simulation) serveRequest(t clock.Micros, volume string) (record.Event, clock.Micros) {
	q := &record.Request{Class: 0, Plan: 0, Volume: volume, Units: 1}
	at := t
	for n := 0; n < 3; n++ {
		node := sim.rng.IntN(sim.nodes)
		if d, ok := sim.nodeDrains[node]; ok && d.contains(at) {
			node = (node + 1) % sim.nodes
		}
		latency := clock.Micros(sim.rng.ExpFloat64()*8*float64(ms)) + 12*ms
		if anyContains(sim.nodeSlowdowns[node], at) {
			latency *= 8
		}
		if c, ok := sim.nodeSlowStarts[node]; ok && c.contains(at) {
			latency = latency * 5 / 2
		}
		if anyContains(sim.nodeSilences[node], at) || anyBeginsWithin(sim.nodeSilences[node], at, at+latency) {
			q.Attempts = append(q.Attempts, record.Attempt{Node: fmt.Sprint("s-", node), SentAfter: at - t, Duration: 600 * ms, Outcome: uint8(decision.TimedOut)})
			at += 600 * ms
			q.Result = record.DeadlineExceeded
			continue
		}
		q.Attempts = append(q.Attempts, record.Attempt{Node: fmt.Sprint("s-", node), SentAfter: at - t, Duration: latency, Outcome: uint8(decision.Served)})
		at += latency
		q.Result = record.Served
		break
	}
	q.Duration = at - t
	return record.Event{At: t, Kind: record.KindRequest, Request: q}, at
}

// streams runs the simulation and returns the records of all incarnations of all brokers.
func (sim *simulation) streams() (out []*incident.Stream) {
	for b := range sim.brokers {
		startedAt := clock.Micros(0)
		for k := 0; ; k++ {
			stoppedAt, restartedAt := sim.duration, clock.Micros(-1)
			for _, d := range sim.brokerOutages[b] {
				if d.from > startedAt && d.from < stoppedAt {
					stoppedAt, restartedAt = d.from, d.to
				}
			}
			out = append(out, sim.runIncarnation(b, k, startedAt, stoppedAt))
			if restartedAt < 0 || restartedAt >= sim.duration {
				break
			}
			startedAt = restartedAt
		}
	}
	return out
}

// incarnationEvents collects the events of one incarnation of a broker, each with the time at which it is recorded.
type incarnationEvents struct {
	sim       *simulation
	startedAt clock.Micros
	stoppedAt clock.Micros
	items     []recordedEvent
}

type recordedEvent struct {
	recordedAt clock.Micros
	event      record.Event
}

// addNote adds a note if the incarnation is running at t.
func (x *incarnationEvents) addNote(t clock.Micros, kind record.Kind, subject, text string, value int64) {
	if t >= x.startedAt && t < x.stoppedAt {
		e := record.Event{At: t, Kind: kind, Note: &record.Note{Subject: subject, Text: text, Value: value}}
		x.items = append(x.items, recordedEvent{t, e})
	}
}

// addRequests adds the requests that arrive between two times at a rate in requests per second and end before the
// incarnation stops.
func (x *incarnationEvents) addRequests(from, to clock.Micros, rate float64, volume func() string) {
	for t := max(from, x.startedAt); t < min(to, x.stoppedAt); t += clock.Micros(x.sim.rng.ExpFloat64() / rate * float64(sec)) {
		if e, end := x.sim.serveRequest(t, volume()); end < x.stoppedAt {
			x.items = append(x.items, recordedEvent{end, e})
		}
	}
}

// addChanges adds the notes of drains, restarts, list changes and discovery outages.
func (x *incarnationEvents) addChanges() {
	sim := x.sim
	for node, d := range sim.nodeDrains {
		delay := sim.jitter(200 * ms)
		x.addNote(d.from+delay, record.KindEndpointList, fmt.Sprint("s-", node), "draining", 10+int64(node))
		x.addNote(d.to+sim.jitter(200*ms), record.KindEndpointList, fmt.Sprint("s-", node), "up", 20+int64(node))
	}
	for node, c := range sim.nodeSlowStarts {
		x.addNote(c.from+sim.jitter(300*ms), record.KindNode, fmt.Sprint("s-", node), "may have restarted: outcome 4", 0)
	}
	for v := range int64(sim.duration / (5 * sec)) { // the list changes every 5 s, so that clocks can be compared
		x.addNote(clock.Micros(v)*5*sec+2*sec+sim.jitter(150*ms), record.KindEndpointList, "s-x", fmt.Sprint("moved 10.0.0.", v), 100+v)
	}
	if d := sim.discoveryOutage; d != nil {
		x.addNote(d.from+sim.jitter(2*sec), record.KindDiscovery, "", "down: status 503", 0)
		x.addNote(d.to+sim.jitter(2*sec), record.KindDiscovery, "", "answers", 0)
	}
}

// runIncarnation returns the records of one incarnation of a broker. index counts the broker's incarnations from 0.
func (sim *simulation) runIncarnation(broker, index int, startedAt, stoppedAt clock.Micros) *incident.Stream {
	events := &incarnationEvents{sim: sim, startedAt: startedAt, stoppedAt: stoppedAt}
	events.addRequests(startedAt, stoppedAt, sim.rate, func() string { return fmt.Sprintf("v%d", sim.rng.IntN(6)) })
	for volume, s := range sim.surges {
		events.addRequests(s.from, s.to, sim.rate*2, func() string { return volume })
	}
	events.addChanges()
	for t := startedAt; t < stoppedAt; t += 500 * ms {
		events.items = append(events.items, recordedEvent{t, record.Event{At: t, Kind: record.KindHeartbeat, Heartbeat: &record.Heartbeat{WallClock: t}}})
	}
	items := events.items
	sort.SliceStable(items, func(x, y int) bool { return items[x].recordedAt < items[y].recordedAt })
	clockOffset := sim.epoch + sim.clockOffsets[broker]
	if index > 0 {
		clockOffset += sim.wallClockShift
	}
	s := incident.NewStream(fmt.Sprintf("n%d", broker), fmt.Sprintf("boot%d-%d", broker, index))
	s.AddEvent(&record.Event{At: startedAt + clockOffset, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: s.Name, ID: s.IncarnationID, StartedAt: startedAt + clockOffset, HeartbeatInterval: 500 * ms, SampleFraction: 1,
		Classes: []record.Class{{Name: "artwork-read", LatencyObjective: 400 * ms, Deadline: 2500 * ms, PriorityWeight: 2}}, Plans: []record.Plan{{Name: "basis", PriceFactor: 0.8}}}})
	s.AddFrame(1, startedAt+clockOffset)
	seq := uint64(1)
	next := 0
	for t := startedAt + 50*ms; t < stoppedAt; t += 50 * ms { // events after the last frame are lost in the crash
		seq++
		missing := anyContains(sim.missingFrames[broker], t)
		if !missing {
			s.AddFrame(seq, t+clockOffset)
		}
		var lost record.Lost
		for next < len(items) && items[next].recordedAt < t {
			x := items[next]
			next++
			if missing {
				continue
			}
			if anyContains(sim.bufferOverflows[broker], x.recordedAt) && x.event.Kind == record.KindRequest {
				if lost.Events == 0 {
					lost.From = x.recordedAt + clockOffset
				}
				lost.Events, lost.Requests, lost.To, lost.Reason = lost.Events+1, lost.Requests+1, x.recordedAt+clockOffset, "full"
				continue
			}
			x.event.At += clockOffset
			s.AddEvent(&x.event)
		}
		if lost.Events > 0 {
			s.AddEvent(&record.Event{At: t + clockOffset, Kind: record.KindLost, Lost: &lost})
		}
	}
	return s
}

// expected returns the actual episodes and gaps of the simulation, on a clock that is clockOffset ahead.
func (sim *simulation) expected(clockOffset clock.Micros) (episodes []check.ActualEpisode, gaps []check.ActualGap) {
	begin := sim.epoch + clockOffset
	for n, list := range sim.nodeSilences {
		for _, s := range list {
			episodes = append(episodes, check.ActualEpisode{Kind: incident.NodeSilent, Subject: fmt.Sprint("s-", n), Begin: begin + s.from, End: begin + s.to})
		}
	}
	for n, list := range sim.nodeSlowdowns {
		for _, s := range list {
			episodes = append(episodes, check.ActualEpisode{Kind: incident.NodeSlow, Subject: fmt.Sprint("s-", n), Begin: begin + s.from, End: begin + s.to})
		}
	}
	for n, s := range sim.nodeSlowStarts {
		episodes = append(episodes, check.ActualEpisode{Kind: incident.NodeSlowStart, Subject: fmt.Sprint("s-", n), Begin: begin + s.from, End: begin + s.to})
	}
	for n, s := range sim.nodeDrains {
		episodes = append(episodes, check.ActualEpisode{Kind: incident.NodeDrain, Subject: fmt.Sprint("s-", n), Begin: begin + s.from, End: begin + s.to})
	}
	for v, s := range sim.surges {
		episodes = append(episodes, check.ActualEpisode{Kind: incident.VolumeSurge, Subject: v, Begin: begin + s.from, End: begin + s.to})
	}
	for b, list := range sim.brokerOutages {
		for _, s := range list {
			episodes = append(episodes, check.ActualEpisode{Kind: incident.BrokerDead, Subject: fmt.Sprint("n", b), Begin: begin + s.from, End: begin + min(s.to, sim.duration)})
			gaps = append(gaps, check.ActualGap{Broker: fmt.Sprint("n", b), State: incident.Dead, From: begin + s.from, To: begin + min(s.to, sim.duration)})
		}
	}
	if s := sim.discoveryOutage; s != nil {
		episodes = append(episodes, check.ActualEpisode{Kind: incident.DiscoveryDown, Subject: "discovery", Begin: begin + s.from, End: begin + s.to})
	}
	for b, list := range sim.missingFrames {
		for _, s := range list {
			gaps = append(gaps, check.ActualGap{Broker: fmt.Sprint("n", b), State: incident.Missing, From: begin + s.from, To: begin + s.to})
		}
	}
	for b, list := range sim.bufferOverflows {
		for _, s := range list {
			for t := s.from; t < s.to; t += 50 * ms { // each frame reports its own losses
				gaps = append(gaps, check.ActualGap{Broker: fmt.Sprint("n", b), State: incident.Lost, From: begin + t, To: begin + t + 50*ms})
			}
		}
	}
	return episodes, gaps
}

// comparedKinds are the kinds of which the simulation knows all episodes, so that any other episode is spurious. Broker
// drains are not simulated.
var comparedKinds = []incident.Kind{incident.BrokerDead, incident.NodeSilent, incident.NodeSlowStart, incident.NodeDown, incident.NodeSlow, incident.NodeDrain, incident.VolumeSurge,
	incident.DiscoveryDown, incident.Rejections, incident.Rollout}

// analyzeAndCompare checks that the analysis of the simulation's records has the actual episodes and gaps and no
// others, and that reports of it can be written.
func (sim *simulation) analyzeAndCompare(t *testing.T, description string) {
	t.Helper()
	o := incident.DefaultOptions()
	a := incident.Analyse(sim.streams(), o)
	referenceOffset, maxClockError := clock.Micros(0), clock.Micros(0)
	for i, c := range a.Clocks {
		if strings.Contains(c.Text, "reference") {
			var reference int
			_, _ = fmt.Sscanf(a.Clocks[i].Broker, "n%d", &reference)
			referenceOffset = sim.clockOffsets[reference]
		}
		maxClockError = max(maxClockError, c.Error)
	}
	episodes, gaps := sim.expected(referenceOffset)
	differences := check.Compare(a, episodes, gaps, check.Options{ClockTolerance: maxClockError + 50*ms, GapTolerance: maxClockError + 600*ms, Kinds: comparedKinds})
	for _, x := range differences {
		t.Errorf("%s: %s", description, x)
	}
	if err := report.HTML(io.Discard, a, "x"); err != nil {
		t.Error(err)
	}
	if err := report.Text(io.Discard, a); err != nil {
		t.Error(err)
	}
}

// Scripted faults, single and overlapping: the analysis has every fault within its bounds, no spurious ones, and the
// gaps in the records.
func TestScriptedIncidents(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		for name, configure := range map[string]func(*simulation){
			"no faults":   func(sim *simulation) {},
			"silent node": func(sim *simulation) { sim.nodeSilences[1] = []span{{20 * sec, 31 * sec}} },
			"broker crashes while a node is silent": func(sim *simulation) {
				sim.nodeSilences[2] = []span{{20 * sec, 35 * sec}}
				sim.brokerOutages[0] = []span{{19 * sec, 27 * sec}}
			},
			"all brokers are down when a silence begins": func(sim *simulation) {
				sim.nodeSilences[2] = []span{{21 * sec, 35 * sec}}
				for b := range 3 {
					sim.brokerOutages[b] = []span{{20*sec + clock.Micros(b)*100*ms, 24*sec + clock.Micros(b)*300*ms}}
				}
			},
			"broker restarts within a heartbeat interval": func(sim *simulation) { sim.brokerOutages[1] = []span{{30 * sec, 30*sec + 300*ms}} },
			"buffer overflow during a surge": func(sim *simulation) {
				sim.surges["v3"] = span{25 * sec, 34 * sec}
				sim.bufferOverflows[1] = []span{{28 * sec, 30 * sec}}
			},
			"missing frames": func(sim *simulation) { sim.missingFrames[2] = []span{{15 * sec, 22 * sec}} },
			"drain and silent node": func(sim *simulation) {
				sim.nodeDrains[0] = span{14 * sec, 40 * sec}
				sim.nodeSilences[3] = []span{{20 * sec, 30 * sec}}
			},
			"silent node with a slow start after it": func(sim *simulation) {
				sim.nodeSilences[2] = []span{{15 * sec, 24 * sec}}
				sim.nodeSlowStarts[2] = span{24 * sec, 33 * sec}
			},
			"wall clock set back between two incarnations": func(sim *simulation) {
				sim.brokerOutages[1] = []span{{20 * sec, 26 * sec}}
				sim.wallClockShift = -4 * sec
			},
			"slow node": func(sim *simulation) { sim.nodeSlowdowns[1] = []span{{20 * sec, 32 * sec}} },
			"discovery outage while a broker is down": func(sim *simulation) {
				sim.discoveryOutage = &span{20 * sec, 33 * sec}
				sim.brokerOutages[2] = []span{{25 * sec, 29 * sec}}
			},
			"clocks with offsets": func(sim *simulation) {
				sim.clockOffsets = []clock.Micros{0, 3 * sec, -2 * sec}
				sim.nodeSilences[1] = []span{{20 * sec, 31 * sec}}
			},
			"several simultaneous faults": func(sim *simulation) {
				sim.nodeSilences[1] = []span{{12 * sec, 24 * sec}, {40 * sec, 48 * sec}}
				sim.brokerOutages[0] = []span{{13 * sec, 19 * sec}, {44 * sec, 70 * sec}}
				sim.surges["v2"] = span{30 * sec, 38 * sec}
				sim.missingFrames[1] = []span{{32 * sec, 34 * sec}}
				sim.nodeDrains[3] = span{25 * sec, 50 * sec}
			},
		} {
			sim := newSimulation(seed)
			configure(sim)
			sim.analyzeAndCompare(t, fmt.Sprintf("%s, seed %d", name, seed))
			if t.Failed() {
				return
			}
		}
	}
}

// Randomly drawn faults, for combinations that the scripted incidents do not have.
func TestRandomIncidents(t *testing.T) {
	for seed := uint64(100); seed < 130; seed++ {
		sim := newSimulation(seed)
		between := func(from, to clock.Micros) clock.Micros { return from + sim.jitter(to-from) }
		randomSpan := func() span { s := between(8*sec, 35*sec); return span{s, s + between(5*sec, 14*sec)} }
		for _, b := range sim.rng.Perm(3)[:sim.rng.IntN(3)] {
			sim.brokerOutages[b] = []span{randomSpan()}
		}
		for _, n := range sim.rng.Perm(4)[:sim.rng.IntN(3)] {
			sim.nodeSilences[n] = []span{randomSpan()}
		}
		if sim.rng.IntN(2) == 0 {
			sim.surges[fmt.Sprint("v", sim.rng.IntN(6))] = randomSpan()
		}
		if sim.rng.IntN(3) == 0 {
			sim.discoveryOutage = &span{20 * sec, between(27*sec, 40*sec)}
		}
		for b := range sim.clockOffsets {
			sim.clockOffsets[b] = between(-2*sec, 2*sec)
		}
		sim.analyzeAndCompare(t, fmt.Sprint("seed ", seed))
		if t.Failed() {
			return
		}
	}
}

// check.Compare reports each kind of difference.
func TestCompareFindsDifferences(t *testing.T) {
	sim := newSimulation(3)
	sim.nodeSilences[1] = []span{{20 * sec, 31 * sec}}
	sim.brokerOutages[0] = []span{{40 * sec, 45 * sec}}
	a := incident.Analyse(sim.streams(), incident.DefaultOptions())
	episodes, gaps := sim.expected(0)
	o := check.Options{ClockTolerance: 600 * ms, GapTolerance: 600 * ms, Kinds: comparedKinds}
	if wrong := check.Compare(a, episodes, gaps, o); len(wrong) > 0 {
		t.Fatal(wrong)
	}
	expect := func(description, text string, a *incident.Analysis, episodes []check.ActualEpisode, gaps []check.ActualGap) {
		t.Helper()
		if wrong := strings.Join(check.Compare(a, episodes, gaps, o), "\n"); !strings.Contains(wrong, text) {
			t.Errorf("%s: differences are %q, want one with %q", description, wrong, text)
		}
	}
	expect("a reported episode that is not an actual one", "spurious episode", a, episodes[:0], gaps)
	expect("an actual episode that is not reported", "missing from the analysis", a, append(slices.Clone(episodes), check.ActualEpisode{Kind: incident.NodeSilent, Subject: "s-3", Begin: 1, End: 2}), gaps)
	wrongBegin := slices.Clone(episodes)
	wrongBegin[0].Begin -= 5 * sec
	expect("an actual episode whose begin is out of bounds", "reported as", a, wrongBegin, gaps)
	expect("a gap that overlaps a span in state known", "known from", a, episodes, []check.ActualGap{{Broker: "n1", State: incident.Dead, From: sim.epoch + 10*sec, To: sim.epoch + 15*sec}})
	expect("a reported gap that is not an actual one", "spurious gap", a, episodes, nil)
}

// Diff matches the episodes that both analyses have and lists those that only one has.
func TestDiff(t *testing.T) {
	first, second := newSimulation(1), newSimulation(1)
	first.nodeSilences[1] = []span{{20 * sec, 31 * sec}}
	second.nodeSilences[1] = []span{{20 * sec, 26 * sec}}
	second.brokerOutages[0] = []span{{40 * sec, 45 * sec}}
	var got []string
	for _, c := range incident.Diff(incident.Analyse(first.streams(), incident.DefaultOptions()), incident.Analyse(second.streams(), incident.DefaultOptions())) {
		if c.Kind != incident.NodeSlowStart {
			got = append(got, c.PresentIn+" "+string(c.Kind)+" "+c.Subject)
		}
	}
	if want := []string{"in both node silent s-1", "only in the second broker dead n0"}; !slices.Equal(got, want) {
		t.Errorf("changes are %q, want %q", got, want)
	}
}
