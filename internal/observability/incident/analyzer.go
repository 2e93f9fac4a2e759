package incident

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"poppyarch/internal/timing/clock"
)

// analyzer holds the state of Analyse. Times are on the reference's clock, except within streams.
type analyzer struct {
	options  Options
	analysis *Analysis
	streams  []*Stream            // sorted by broker and start
	clocks   []Clock              // of each stream, in the order of streams
	nodes    map[string]*nodeView // by name
}

// nodeView holds the attempts of all brokers at one node.
type nodeView struct {
	responses    []clock.Micros
	timedOut     []attempt
	refused      []attempt
	usualLatency clock.Micros // highest latency that counts as usual: the largest usualQuantile of any incarnation
}

// Analyse analyses the records of a fleet. The order of streams does not matter; streams without a frame are ignored.
func Analyse(streams []*Stream, o Options) *Analysis {
	v := newAnalyzer(streams, o)
	v.summarize()
	v.collectKnowledge()
	v.mergeStreams()
	v.findBrokerDeaths()
	v.findNodeOutages()
	v.findSlowNodes()
	v.findSurges()
	v.findNotedEpisodes()
	v.findRejections()
	v.finish()
	return v.analysis
}

func newAnalyzer(streams []*Stream, o Options) *analyzer {
	streams = slices.DeleteFunc(slices.Clone(streams), func(s *Stream) bool { return len(s.frames) == 0 })
	slices.SortFunc(streams, func(a, b *Stream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.start(), b.start()), cmp.Compare(a.IncarnationID, b.IncarnationID))
	})
	clocks := compareClocks(streams, o.NotificationTime, o.MaxClockSkew)
	return &analyzer{
		options: o,
		analysis: &Analysis{
			Clocks:         clocks,
			Knowledge:      []Span{},
			Episodes:       []Episode{},
			Seconds:        []Second{},
			SampleFraction: 1,
			groups:         map[clock.Micros]map[string]*GroupImpact{},
		},
		streams: streams,
		clocks:  clocks,
		nodes:   map[string]*nodeView{},
	}
}

// summarize sets the time span, the brokers, the number of events and the sample fraction of the analysis.
func (v *analyzer) summarize() {
	a := v.analysis
	for i, s := range v.streams {
		a.Events += s.events
		if s.Incarnation.SampleFraction > 0 {
			a.SampleFraction = min(a.SampleFraction, s.Incarnation.SampleFraction)
		}
		offset := v.clocks[i].Offset
		if begin := s.start() + offset; a.From == 0 || begin < a.From {
			a.From = begin
		}
		a.To = max(a.To, s.end()+offset)
		a.Brokers = appendMissing(a.Brokers, s.Name)
	}
	if v.options.Now == 0 {
		v.options.Now = a.To
	}
	a.To = max(a.To, min(v.options.Now, a.To+second))
}

// addEpisode adds an episode, and lists the gaps in the records that make its bounds uncertain.
func (v *analyzer) addEpisode(e Episode) {
	e.Begin.Latest = max(e.Begin.Latest, e.Begin.Earliest)
	e.End.Latest = max(e.End.Latest, e.End.Earliest)
	if !e.Kind.fromOwnRecords() {
		v.addUncertainties(&e, e.Begin)
		v.addUncertainties(&e, e.End)
	}
	v.analysis.Episodes = append(v.analysis.Episodes, e)
}

// fromOwnRecords reports whether episodes of a kind are found in the records of a broker itself. Gaps in the records of
// other brokers do not make their bounds uncertain.
func (k Kind) fromOwnRecords() bool {
	return k == BrokerDead || k == BrokerDrain || k == Rollout
}

// addUncertainties lists the gaps in the records of other brokers that overlap a bound.
func (v *analyzer) addUncertainties(e *Episode, b Bound) {
	for _, gap := range v.describeGaps(b.Earliest, b.Latest) {
		if !strings.HasPrefix(gap, e.Subject+": ") {
			e.Uncertainties = appendMissing(e.Uncertainties, gap)
		}
	}
}

// describeGaps describes the gaps in the records that overlap a time span.
func (v *analyzer) describeGaps(from, to clock.Micros) []string {
	var gaps []string
	for _, s := range v.analysis.Knowledge {
		if s.State != Known && s.State != NotRecorded && s.From < to && s.To > from {
			gaps = append(gaps, fmt.Sprintf("%s: %s from %s to %s", s.Broker, s.State, FormatTime(s.From), FormatTime(s.To)))
		}
	}
	return gaps
}
