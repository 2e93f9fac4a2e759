package server

import (
	"poppyarch/internal/broker/control"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/observability/record"
)

// stats converts the recorder's latest summary to statistics for the control endpoint. It returns nil if there is none.
func (r *recording) stats() *control.Stats {
	if r == nil {
		return nil
	}
	summary := r.recorder.Latest()
	if summary == nil {
		return nil
	}
	out := &control.Stats{
		Span:     summary.Span,
		Requests: []control.RequestStats{},
		Nodes:    []control.NodeStats{},
		Dropped:  r.recorder.Dropped(),
	}
	for i := range summary.Groups {
		if s, ok := r.requestStats(&summary.Groups[i]); ok {
			out.Requests = append(out.Requests, s)
		}
	}
	for _, v := range summary.Volumes {
		out.Volumes = append(out.Volumes, control.VolumeStats{
			Volume:     v.Volume,
			Count:      v.Count,
			CountError: v.CountError,
			Rejected:   v.Rejected,
			Failed:     v.Failed,
			Late:       v.Late,
		})
	}
	for i := range summary.Nodes {
		out.Nodes = append(out.Nodes, nodeStats(&summary.Nodes[i]))
	}
	return out
}

// requestStats converts the counts of one class and plan; ok is false if the class or plan is not configured.
func (r *recording) requestStats(g *record.Group) (stats control.RequestStats, ok bool) {
	classes, plans := r.cfg.Policy.Classes, r.cfg.Policy.Plans
	if int(g.Class) >= len(classes) || int(g.Plan) >= len(plans) {
		return control.RequestStats{}, false
	}
	q := record.QuantilesOf(&g.Latency)
	return control.RequestStats{
		Class:    classes[g.Class].Name,
		Plan:     plans[g.Plan].Name,
		Served:   g.Results[record.Served],
		Late:     g.Late,
		Rejected: g.Results[record.Rejected],
		Failed:   g.Results[record.Failed] + g.Results[record.DeadlineExceeded],
		P50:      q.P50,
		P99:      q.P99,
	}, true
}

func nodeStats(n *record.NodeCount) control.NodeStats {
	q := record.QuantilesOf(&n.Latency)
	stats := control.NodeStats{
		Node:     n.Node,
		Served:   n.Outcomes[core.Served],
		TimedOut: n.Outcomes[core.TimedOut],
		P50:      q.P50,
		P99:      q.P99,
	}
	for outcome, count := range n.Outcomes {
		if core.Outcome(outcome) != core.Served && core.Outcome(outcome) != core.TimedOut {
			stats.Other += count
		}
	}
	return stats
}
