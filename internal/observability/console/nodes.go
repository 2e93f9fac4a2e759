package console

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/timing/clock"
)

// nodeSum combines the reports of all brokers on one storage node. Rates are per second; each quantile is the highest
// that a broker reports.
type nodeSum struct {
	brokerLines
	served   float64
	timedOut float64
	other    float64
	p50      clock.Micros
	p99      clock.Micros
}

// nodesTable shows the storage nodes, with the combined reports of all brokers.
func nodesTable(o *api.Overview) table {
	t := table{
		columns: []column{
			textColumn("NODE"), numberColumn("SERVED/S"), numberColumn("SILENT/S"), numberColumn("OTHER/S"), numberColumn("P50 MS"),
			numberColumn("P99 MS"), numberColumn("BROKERS"), numberColumn("OLDEST"), textColumn("OPERATORS"),
		},
		empty: "no node statistics: no broker has a record key, or none has contacted a node",
	}
	sums := sumNodes(o)
	overrides := map[string]string{}
	for _, n := range o.Nodes {
		overrides[n.ID] = string(n.State)
		if sums[n.ID] == nil {
			sums[n.ID] = &nodeSum{brokerLines: brokerLines{oldestAge: -1}}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		n := sums[name]
		cells := []string{
			name, formatRate(n.served), formatRate(n.timedOut), formatRate(n.other), formatMillis(n.p50), formatMillis(n.p99),
			fmt.Sprint(len(n.lines)), formatAge(n.oldestAge), overrides[name],
		}
		t.rows = append(t.rows, row{name: name, cells: cells, detail: slices.Concat(worstQuantilesNote, n.lines)})
	}
	return t
}

func sumNodes(o *api.Overview) map[string]*nodeSum {
	sums := map[string]*nodeSum{}
	for _, broker := range o.Stats {
		span := broker.Stats.Span
		for _, n := range broker.Stats.Nodes {
			sum := sums[n.Node]
			if sum == nil {
				sum = &nodeSum{}
				sums[n.Node] = sum
			}
			sum.served += perSecond(n.Served, span)
			sum.timedOut += perSecond(n.TimedOut, span)
			sum.other += perSecond(n.Other, span)
			sum.p50 = max(sum.p50, n.P50)
			sum.p99 = max(sum.p99, n.P99)
			sum.add(broker.Age, "%s: %s/s served, %s timed out, %s other, p50 %s ms, p99 %s ms", broker.Name, formatCount(n.Served, span),
				formatCount(n.TimedOut, span), formatCount(n.Other, span), formatMillis(n.P50), formatMillis(n.P99))
		}
	}
	return sums
}
