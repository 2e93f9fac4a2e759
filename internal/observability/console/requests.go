package console

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/timing/clock"
)

// volumeSum combines the reports of all brokers on one volume. Rates are per second.
type volumeSum struct {
	brokerLines
	requests   float64
	countError float64 // upper bound of the error of requests, which may be too high
	late       float64
	rejected   float64
	failed     float64
}

// volumesTable shows the volumes with the most requests, sorted by their rate.
func volumesTable(o *api.Overview) table {
	t := table{
		columns: []column{
			textColumn("VOLUME"), numberColumn("REQ/S"), numberColumn("MAY BE"), numberColumn("LATE/S"), numberColumn("REF/S"),
			numberColumn("FAIL/S"), numberColumn("BROKERS"), numberColumn("OLDEST"),
		},
		empty: "no volume statistics: no broker has a record key, or there were no requests",
	}
	sums := sumVolumes(o)
	names := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b].requests, sums[a].requests), cmp.Compare(a, b))
	})
	for _, name := range names {
		v := sums[name]
		margin := "exact"
		if v.countError > 0 {
			margin = "-" + formatRate(v.countError)
		}
		cells := []string{
			name, formatRate(v.requests), margin, formatRate(v.late), formatRate(v.rejected), formatRate(v.failed),
			fmt.Sprint(len(v.lines)), formatAge(v.oldestAge),
		}
		t.rows = append(t.rows, row{name: name, cells: cells, detail: v.lines})
	}
	return t
}

func sumVolumes(o *api.Overview) map[string]*volumeSum {
	sums := map[string]*volumeSum{}
	for _, broker := range o.Stats {
		span := broker.Stats.Span
		for _, v := range broker.Stats.Volumes {
			sum := sums[v.Volume]
			if sum == nil {
				sum = &volumeSum{}
				sums[v.Volume] = sum
			}
			sum.requests += perSecond(v.Count, span)
			sum.countError += perSecond(v.CountError, span)
			sum.late += perSecond(v.Late, span)
			sum.rejected += perSecond(v.Rejected, span)
			sum.failed += perSecond(v.Failed, span)
			sum.add(broker.Age, "%s: %s/s, %s late, %s refused, %s failed", broker.Name, formatCount(v.Count, span),
				formatCount(v.Late, span), formatCount(v.Rejected, span), formatCount(v.Failed, span))
		}
	}
	return sums
}

// classKey holds the names of a class and a plan.
type classKey struct{ class, plan string }

func compareClassKeys(a, b classKey) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.plan, b.plan))
}

// classSum combines the reports of all brokers on one class and plan. Rates are per second; each quantile is the
// highest that a broker reports.
type classSum struct {
	brokerLines
	served   float64
	late     float64
	rejected float64
	failed   float64
	p50      clock.Micros
	p99      clock.Micros
}

// classesTable shows the rates and latencies of requests by class and plan.
func classesTable(o *api.Overview) table {
	t := table{
		columns: []column{
			textColumn("CLASS"), textColumn("PLAN"), numberColumn("SERVED/S"), numberColumn("LATE/S"), numberColumn("REF/S"),
			numberColumn("FAIL/S"), numberColumn("P50 MS"), numberColumn("P99 MS"), numberColumn("OLDEST"),
		},
		empty: "no class statistics: no broker has a record key, or there were no requests",
	}
	sums := sumClasses(o)
	for _, key := range slices.SortedFunc(maps.Keys(sums), compareClassKeys) {
		c := sums[key]
		cells := []string{
			key.class, key.plan, formatRate(c.served), formatRate(c.late), formatRate(c.rejected), formatRate(c.failed),
			formatMillis(c.p50), formatMillis(c.p99), formatAge(c.oldestAge),
		}
		t.rows = append(t.rows, row{name: key.class + " " + key.plan, cells: cells, detail: slices.Concat(worstQuantilesNote, c.lines)})
	}
	return t
}

func sumClasses(o *api.Overview) map[classKey]*classSum {
	sums := map[classKey]*classSum{}
	for _, broker := range o.Stats {
		span := broker.Stats.Span
		for _, r := range broker.Stats.Requests {
			key := classKey{r.Class, r.Plan}
			sum := sums[key]
			if sum == nil {
				sum = &classSum{}
				sums[key] = sum
			}
			sum.served += perSecond(r.Served, span)
			sum.late += perSecond(r.Late, span)
			sum.rejected += perSecond(r.Rejected, span)
			sum.failed += perSecond(r.Failed, span)
			sum.p50 = max(sum.p50, r.P50)
			sum.p99 = max(sum.p99, r.P99)
			sum.add(broker.Age, "%s: %s/s served, %s late, %s refused, %s failed, p50 %s ms, p99 %s ms", broker.Name,
				formatCount(r.Served, span), formatCount(r.Late, span), formatCount(r.Rejected, span), formatCount(r.Failed, span),
				formatMillis(r.P50), formatMillis(r.P99))
		}
	}
	return sums
}
