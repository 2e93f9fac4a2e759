package incident

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// Minimum numbers of samples, and thresholds, for a deviation from the usual values to count as an episode.
const (
	minResponses          = 5  // responses of a node within a second, to compute a median
	minSlowStartResponses = 3  // responses of a node within a second, to end its slow start
	minSeconds            = 10 // seconds with data of a node or a volume, to compute its usual value
	minRejections         = 5  // rejections within a second
	minSurge              = 10 // requests per second above the usual rate

	// slowStartFactor is the multiple of its usual median latency below which a node's slow start is over.
	slowStartFactor = 1.5
	// minUsualMedian is the lower limit of a node's usual median latency.
	minUsualMedian clock.Micros = 500
	// maxGap is the maximum distance between two consecutive deviating seconds of one episode.
	maxGap = 2 * second
	// minDeviation is the minimum time between the first and the last second of an episode. A single deviating second
	// may be due to a short pause, so it does not make an episode.
	minDeviation = second
)

// joinSeconds joins seconds that are at most maxGap apart into spans, given as their first and last second.
func joinSeconds(seconds []clock.Micros) []Bound {
	slices.Sort(seconds)
	var spans []Bound
	for _, s := range seconds {
		if last := len(spans) - 1; last >= 0 && s-spans[last].Latest <= maxGap {
			spans[last].Latest = s
		} else {
			spans = append(spans, exactly(s))
		}
	}
	return spans
}

// addDeviations adds an episode for each span of joined seconds that is at least minDeviation long.
func (v *analyzer) addDeviations(kind Kind, subject string, seconds []clock.Micros, evidence string) {
	for _, span := range joinSeconds(seconds) {
		if span.Latest-span.Earliest < minDeviation {
			continue
		}
		v.addEpisode(Episode{
			Kind:     kind,
			Subject:  subject,
			Begin:    Bound{span.Earliest - second, span.Earliest + second},
			End:      Bound{span.Latest, span.Latest + 2*second},
			Evidence: []string{evidence},
		})
	}
}

// medianLatency returns a node's latencies by second, over all brokers, and the median of the seconds' medians. The
// median is 0 if too few seconds have data.
func (v *analyzer) medianLatency(node string) (latencies map[clock.Micros]*sketch.Sketch, usual clock.Micros) {
	latencies = map[clock.Micros]*sketch.Sketch{}
	for i, s := range v.streams {
		n := s.nodes[node]
		if n == nil {
			continue
		}
		for sec, latency := range n.latency {
			at := secondOf(sec + v.clocks[i].Offset)
			if latencies[at] == nil {
				latencies[at] = &sketch.Sketch{}
			}
			latencies[at].Merge(latency)
		}
	}
	var medians []clock.Micros
	for _, latency := range latencies {
		if latency.Count() >= minResponses {
			medians = append(medians, quantile(latency, 0.5))
		}
	}
	if len(medians) < minSeconds {
		return latencies, 0
	}
	slices.Sort(medians)
	return latencies, max(medians[len(medians)/2], minUsualMedian)
}

// findSlowNodes adds episodes of seconds in which a node's median latency was far above its usual one.
func (v *analyzer) findSlowNodes() {
	for _, name := range v.analysis.Nodes {
		latencies, usual := v.medianLatency(name)
		if usual == 0 {
			continue
		}
		var slow []clock.Micros
		worst := clock.Micros(0)
		for at, latency := range latencies {
			if latency.Count() < minResponses {
				continue
			}
			if median := quantile(latency, 0.5); float64(median) > v.options.SlowFactor*float64(usual) {
				slow = append(slow, at)
				worst = max(worst, median)
			}
		}
		evidence := fmt.Sprintf("median answers of up to %d ms, usually %d ms", worst/millisecond, usual/millisecond)
		v.addDeviations(NodeSlow, name, slow, evidence)
	}
}

// requestRates returns the requests of each volume by second, over all brokers. Sampled counts are scaled up.
func (v *analyzer) requestRates() map[string]map[clock.Micros]float64 {
	volumes := map[string]map[clock.Micros]float64{}
	for i, s := range v.streams {
		sampled := s.Incarnation.SampleFraction
		if sampled <= 0 {
			sampled = 1
		}
		for name, requests := range s.volumes {
			rates := volumes[name]
			if rates == nil {
				rates = map[clock.Micros]float64{}
				volumes[name] = rates
			}
			for sec, n := range requests {
				rates[secondOf(sec+v.clocks[i].Offset)] += float64(n) / sampled
			}
		}
	}
	return volumes
}

// findSurges adds episodes of seconds in which a volume's request rate was far above its usual one.
func (v *analyzer) findSurges() {
	volumes := v.requestRates()
	for _, name := range slices.Sorted(maps.Keys(volumes)) {
		rates := volumes[name]
		usual, known := v.usualRate(rates)
		if !known {
			continue
		}
		var surging []clock.Micros
		worst := 0.0
		for sec, rate := range rates {
			if rate > v.options.SurgeFactor*usual && rate >= usual+minSurge {
				surging = append(surging, sec)
				worst = max(worst, rate)
			}
		}
		v.addDeviations(VolumeSurge, name, surging, fmt.Sprintf("up to %.0f requests a second, usually %.0f", worst, usual))
	}
}

// usualRate returns the median rate over all seconds, including those without a request.
func (v *analyzer) usualRate(rates map[clock.Micros]float64) (usual float64, known bool) {
	var all []float64
	for sec := secondOf(v.analysis.From); sec <= v.analysis.To; sec += second {
		all = append(all, rates[sec])
	}
	if len(all) < minSeconds {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// findRejections adds episodes of seconds in which more than RejectedShare of the requests were rejected.
func (v *analyzer) findRejections() {
	var rejecting []clock.Micros
	worst := 0.0
	for _, s := range v.analysis.Seconds {
		responses := s.Served + s.Rejected + s.Failed
		if s.Rejected < minRejections || float64(s.Rejected) <= v.options.RejectedShare*float64(responses) {
			continue
		}
		rejecting = append(rejecting, s.Begin)
		worst = max(worst, float64(s.Rejected)/float64(responses))
	}
	for _, span := range joinSeconds(rejecting) {
		v.addEpisode(Episode{
			Kind:     Rejections,
			Subject:  "clients",
			Begin:    Bound{span.Earliest, span.Earliest + second},
			End:      Bound{span.Latest, span.Latest + second},
			Evidence: []string{fmt.Sprintf("up to %.0f %% of a second's answers", 100*worst)},
		})
	}
}
