package console

import (
	"fmt"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

// instancesTable shows the instances with their desired and reported state.
func instancesTable(o *api.Overview) table {
	t := table{
		columns: []column{
			textColumn("INSTANCE"), textColumn("AGENT"), textColumn("STATE"), textColumn("HOLDS"), numberColumn("REQ/S"),
			numberColumn("REF/S"), numberColumn("FAIL/S"), numberColumn("OPEN"), numberColumn("AGE"), textColumn("WHY"),
		},
		empty: "no instances",
	}
	stats := map[string]*api.BrokerStats{}
	for i := range o.Stats {
		stats[o.Stats[i].Name] = &o.Stats[i]
	}
	for i := range o.Instances {
		t.rows = append(t.rows, instanceRow(&o.Instances[i], stats[o.Instances[i].Name]))
	}
	return t
}

// instanceRow describes an instance. stats is nil if its broker reports none.
func instanceRow(i *state.InstanceStatus, stats *api.BrokerStats) row {
	detail := instanceDetail(i)
	requests, rejected, failed, inFlight := "-", "-", "-", "-"
	if stats == nil {
		detail = append(detail, "", "no statistics: its configuration has no record key, or no report has arrived yet")
	} else {
		sum := sumRequests(stats)
		span := stats.Stats.Span
		requests = formatCount(sum.all, span)
		rejected = formatCount(sum.rejected, span)
		failed = formatCount(sum.failed, span)
		inFlight = fmt.Sprint(stats.InFlight)
		detail = append(detail, statsDetail(stats)...)
	}
	cells := []string{
		i.Name, i.Agent, i.ProcessText(), i.ConfigurationText(), requests, rejected, failed, inFlight, formatAge(i.Age), i.Reason,
	}
	return row{name: i.Name, cells: cells, detail: detail}
}

func instanceDetail(i *state.InstanceStatus) []string {
	detail := []string{
		fmt.Sprintf("agent %s, domain %s, revision %d, target edition %d, applied edition %d", i.Agent, i.Domain, i.Revision, i.TargetEdition,
			i.Report.AppliedEdition),
		fmt.Sprintf("process %s, pid %d, boot %s, crashed %d times", i.ProcessText(), i.Report.PID, orDash(i.Report.Incarnation), i.Report.Crashes),
		fmt.Sprintf("node list revision %d with %d nodes", i.Report.ListRevision, i.Report.NodeCount),
		fmt.Sprintf("age of the last report: %s", formatAge(i.Age)),
	}
	if i.Reason != "" {
		detail = append(detail, "not as wanted: "+i.Reason)
	}
	if i.Report.Error != "" {
		detail = append(detail, "last error: "+i.Report.Error)
	}
	return detail
}

// requestSum counts the requests of all classes and plans.
type requestSum struct{ all, rejected, failed uint64 }

func sumRequests(b *api.BrokerStats) requestSum {
	var sum requestSum
	for _, r := range b.Stats.Requests {
		sum.all += r.Served + r.Rejected + r.Failed
		sum.rejected += r.Rejected
		sum.failed += r.Failed
	}
	return sum
}

// statsDetail describes the requests that a broker has handled recently by class and plan, and its attempts by storage
// node.
func statsDetail(b *api.BrokerStats) []string {
	span := b.Stats.Span
	detail := []string{"", fmt.Sprintf("statistics over %.1f s, %s old, %d records dropped since its boot", seconds(span), formatAge(b.Age), b.Stats.Dropped)}
	for _, r := range b.Stats.Requests {
		detail = append(detail, fmt.Sprintf("  %-14s %-10s %7s/s served, %s late, %s refused, %s failed, p50 %s ms, p99 %s ms", r.Class, r.Plan,
			formatCount(r.Served, span), formatCount(r.Late, span), formatCount(r.Rejected, span), formatCount(r.Failed, span),
			formatMillis(r.P50), formatMillis(r.P99)))
	}
	for _, n := range b.Stats.Nodes {
		detail = append(detail, fmt.Sprintf("  node %-12s %7s/s served, %s timed out, %s other, p50 %s ms, p99 %s ms", n.Node,
			formatCount(n.Served, span), formatCount(n.TimedOut, span), formatCount(n.Other, span), formatMillis(n.P50), formatMillis(n.P99)))
	}
	return detail
}
