package incident

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Bounds on the times between a change and the note that a broker records of it.
const (
	// maxHangingCall is the maximum time that a watch call hangs before the broker cancels it.
	maxHangingCall clock.Micros = 2_500_000
	// maxDiscoveryBackoff is the maximum time between two polls while discovery is down, plus the duration of a call.
	maxDiscoveryBackoff clock.Micros = 4_500_000
	// maxRestartDelay is the maximum time between a node's restart and a broker's note of it.
	maxRestartDelay = 5 * second
	// restartGap is the minimum time between two restarts of a node; notes closer together are of the same restart.
	restartGap = 10 * second
)

// timedNote is a broker's note with its time on the reference's clock.
type timedNote struct {
	note
	broker string
}

// findNotedEpisodes finds the episodes that brokers record as notes: drains, discovery outages, node restarts and
// rollouts.
func (v *analyzer) findNotedEpisodes() {
	var notes []timedNote
	for i, s := range v.streams {
		for _, n := range s.notes {
			n.at += v.clocks[i].Offset
			notes = append(notes, timedNote{note: n, broker: s.Name})
		}
	}
	sort.SliceStable(notes, func(a, b int) bool { return notes[a].at < notes[b].at })
	v.findNodeDrains(notes)
	v.findDiscoveryOutages(notes)
	v.findNodeRestarts(notes)
	v.findRollouts(notes)
	v.findBrokerDrains()
}

func (v *analyzer) findBrokerDrains() {
	for i, s := range v.streams {
		for _, n := range s.notes {
			if n.kind != record.KindDrain {
				continue
			}
			v.addEpisode(Episode{
				Kind:     BrokerDrain,
				Subject:  s.Name,
				Begin:    exactly(n.at + v.clocks[i].Offset),
				End:      exactly(s.end() + v.clocks[i].Offset),
				Open:     !s.stopped,
				Evidence: []string{"boot " + s.IncarnationID + " noted it"},
			})
		}
	}
}

// drainNotifications is a drain of which brokers were notified.
type drainNotifications struct {
	first, last clock.Micros // times of the first and the last notification
	brokers     []string
}

// findNodeDrains merges the brokers' notifications of a node's drain. Each arrives within the notification time, so the
// drain began at most that long before the first one.
func (v *analyzer) findNodeDrains(notes []timedNote) {
	drains := map[string]*drainNotifications{} // drains that have not ended, by node
	for i := range notes {
		n := &notes[i]
		if n.kind != record.KindEndpointList {
			continue
		}
		drain := drains[n.subject]
		switch {
		case n.text == "draining" || strings.HasPrefix(n.text, "known draining"):
			if drain == nil {
				drain = &drainNotifications{first: n.at}
				drains[n.subject] = drain
			}
			drain.last = n.at
			drain.brokers = appendMissing(drain.brokers, n.broker)
		case (n.text == "up" || n.text == "gone") && drain != nil:
			delete(drains, n.subject)
			v.addNodeDrain(n.subject, drain, Bound{n.at - v.options.NotificationTime, n.at}, false)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(drains)) {
		v.addNodeDrain(node, drains[node], exactly(v.analysis.To), true)
	}
}

func (v *analyzer) addNodeDrain(node string, drain *drainNotifications, end Bound, open bool) {
	v.addEpisode(Episode{
		Kind:    NodeDrain,
		Subject: node,
		Begin:   Bound{drain.first - v.options.NotificationTime, drain.first},
		End:     end,
		Open:    open,
		Evidence: []string{
			fmt.Sprintf("told to %s from %s to %s", strings.Join(drain.brokers, " "), FormatTime(drain.first), FormatTime(drain.last)),
		},
	})
}

// findDiscoveryOutages finds the times in which brokers could not reach discovery. An outage ends with the first
// successful call of any broker.
func (v *analyzer) findDiscoveryOutages(notes []timedNote) {
	var begin Bound
	var brokers []string // brokers that found discovery down
	for i := range notes {
		n := &notes[i]
		if n.kind != record.KindDiscovery {
			continue
		}
		if n.isDiscoveryFailure() {
			if len(brokers) == 0 {
				begin = Bound{n.at - maxHangingCall, n.at}
			}
			brokers = appendMissing(brokers, n.broker)
			continue
		}
		if len(brokers) > 0 {
			v.addDiscoveryOutage(begin, Bound{max(n.at-maxDiscoveryBackoff, begin.Latest), n.at}, brokers, false)
			brokers = nil
		}
	}
	if len(brokers) > 0 {
		v.addDiscoveryOutage(begin, exactly(v.analysis.To), brokers, true)
	}
}

func (v *analyzer) addDiscoveryOutage(begin, end Bound, brokers []string, open bool) {
	v.addEpisode(Episode{
		Kind:     DiscoveryDown,
		Subject:  "discovery",
		Begin:    begin,
		End:      end,
		Open:     open,
		Evidence: []string{"found by " + strings.Join(brokers, " ")},
	})
}

// findNodeRestarts finds restarts of nodes and adds their slow starts.
func (v *analyzer) findNodeRestarts(notes []timedNote) {
	latest := map[string]clock.Micros{}
	for i := range notes {
		n := &notes[i]
		started := n.kind == record.KindEndpointList && strings.HasPrefix(n.text, "started ")
		restarted := n.kind == record.KindNode && strings.HasPrefix(n.text, "may have restarted")
		if !started && !restarted {
			continue
		}
		if at, ok := latest[n.subject]; ok && n.at-at < restartGap {
			continue
		}
		latest[n.subject] = n.at
		v.addSlowStart(n)
	}
}

// addSlowStart adds the slow start that begins with a restart. It ends in the first second in which the node's median
// latency is close to its usual one.
func (v *analyzer) addSlowStart(n *timedNote) {
	e := Episode{
		Kind:     NodeSlowStart,
		Subject:  n.subject,
		Begin:    Bound{n.at - maxRestartDelay, n.at},
		End:      Bound{n.at, v.analysis.To},
		Open:     true,
		Evidence: []string{n.broker + ": " + n.text},
	}
	if node := v.nodes[n.subject]; node != nil {
		if i := sort.Search(len(node.responses), func(i int) bool { return node.responses[i] >= n.at }) - 1; i >= 0 {
			e.Begin.Earliest = max(e.Begin.Earliest, node.responses[i])
		}
	}
	latencies, usual := v.medianLatency(n.subject)
	for _, sec := range slices.Sorted(maps.Keys(latencies)) {
		latency := latencies[sec]
		if sec <= n.at || latency.Count() < minSlowStartResponses {
			continue
		}
		if float64(latency.Quantile(0.5)) <= slowStartFactor*float64(usual) {
			e.End = Bound{max(sec-second, n.at), sec + second}
			e.Open = false
			e.Evidence = append(e.Evidence, fmt.Sprintf("as quick as usual (%d ms) in the second from %s", usual/millisecond, FormatTime(sec)))
			break
		}
	}
	v.addEpisode(e)
}

// rollout holds the times at which brokers first applied a revision of the fleet.
type rollout struct {
	from, to clock.Micros
	brokers  []string
}

// findRollouts adds an episode for each revision of the fleet, from its first application by any broker until the last
// broker has applied it for the first time.
func (v *analyzer) findRollouts(notes []timedNote) {
	rollouts := map[string]*rollout{}
	for i := range notes {
		n := &notes[i]
		if n.kind != record.KindControl || n.text != "taken" || n.subject == "0" {
			continue
		}
		r := rollouts[n.subject]
		if r == nil {
			r = &rollout{from: n.at}
			rollouts[n.subject] = r
		}
		if slices.Contains(r.brokers, n.broker) {
			continue // the broker applied it again: it has restarted, or node overrides have changed
		}
		r.to = n.at
		r.brokers = append(r.brokers, n.broker)
	}
	for _, revision := range slices.Sorted(maps.Keys(rollouts)) {
		r := rollouts[revision]
		v.addEpisode(Episode{
			Kind:     Rollout,
			Subject:  "revision " + revision,
			Begin:    exactly(r.from),
			End:      exactly(r.to),
			Evidence: []string{"taken by " + strings.Join(r.brokers, " ")},
		})
	}
}

// appendMissing appends a name unless the list has it already.
func appendMissing(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}
