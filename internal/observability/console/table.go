// Package console is a live view of a fleet in a terminal. What it shows comes from the manager, which has it from the
// agents; for each figure it says how old it is. It needs 80 columns and no colour.
package console

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

// table is what one view shows: a head, rows, and for each row its name and what is known of it in full.
type table struct {
	head   []string
	right  []bool // columns of numbers
	rows   [][]string
	names  []string
	detail [][]string
	empty  string
}

// age words microseconds; more than a few seconds are marked, since what is old may be wrong.
func age(us int64) string {
	switch {
	case us < 0:
		return "never"
	case us >= 5_000_000:
		return fmt.Sprintf("%.0fs!", float64(us)/1e6)
	}
	return fmt.Sprintf("%.1fs", float64(us)/1e6)
}

func millis(us int64) string { return fmt.Sprintf("%.0f", float64(us)/1000) }

// rate is a count over a span, for one second.
func rate(n uint64, span int64) float64 { return float64(n) * 1e6 / float64(max(span, 1)) }

// per words a rate.
func per(v float64) string {
	if v > 0 && v < 10 {
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.0f", v)
}

func instances(o *api.Overview) table {
	t := table{head: []string{"INSTANCE", "AGENT", "STATE", "HOLDS", "REQ/S", "REF/S", "FAIL/S", "OPEN", "AGE", "WHY"},
		right: []bool{false, false, false, false, true, true, true, true, true, false}, empty: "no instances"}
	figs := map[string]api.BrokerStats{}
	for _, f := range o.Stats {
		figs[f.Name] = f
	}
	for _, i := range o.Instances {
		st, holds := i.ProcessText(), i.ConfigurationText()
		req, ref, fail, open := "-", "-", "-", "-"
		d := []string{
			fmt.Sprintf("agent %s, domain %s, revision %d, edition %d wanted and %d held", i.Agent, i.Domain, i.Revision, i.TargetEdition, i.Report.AppliedEdition),
			fmt.Sprintf("process %s, pid %d, boot %s, crashed %d times", st, i.Report.PID, dash(i.Report.Incarnation), i.Report.Crashes),
			fmt.Sprintf("node list version %d with %d nodes", i.Report.ListRevision, i.Report.NodeCount),
			fmt.Sprintf("known as of %s ago", age(i.Age)),
		}
		if i.Reason != "" {
			d = append(d, "not as wanted: "+i.Reason)
		}
		if i.Report.Error != "" {
			d = append(d, "last error: "+i.Report.Error)
		}
		if f, ok := figs[i.Name]; ok {
			var all, refused, failed uint64
			for _, g := range f.Stats.Requests {
				all += g.Served + g.Rejected + g.Failed
				refused += g.Rejected
				failed += g.Failed
			}
			span := f.Stats.Span
			req, ref, fail, open = per(rate(all, span)), per(rate(refused, span)), per(rate(failed, span)), fmt.Sprint(f.InFlight)
			d = append(d, "", fmt.Sprintf("figures of %.1f s, %s old, %d records dropped since its boot", float64(span)/1e6, age(f.Age), f.Stats.Dropped))
			for _, g := range f.Stats.Requests {
				d = append(d, fmt.Sprintf("  %-14s %-10s %7s/s served, %s late, %s refused, %s failed, p50 %s ms, p99 %s ms", g.Class, g.Plan,
					per(rate(g.Served, span)), per(rate(g.Late, span)), per(rate(g.Rejected, span)), per(rate(g.Failed, span)), millis(g.P50), millis(g.P99)))
			}
			for _, n := range f.Stats.Nodes {
				d = append(d, fmt.Sprintf("  node %-12s %7s/s served, %s silent, %s other, p50 %s ms, p99 %s ms", n.Node, per(rate(n.Served, span)),
					per(rate(n.TimedOut, span)), per(rate(n.Other, span)), millis(n.P50), millis(n.P99)))
			}
		} else {
			d = append(d, "", "no figures: its configuration has no record key, or nothing has come yet")
		}
		t.rows = append(t.rows, []string{i.Name, i.Agent, st, holds, req, ref, fail, open, age(i.Age), i.Reason})
		t.names, t.detail = append(t.names, i.Name), append(t.detail, d)
	}
	return t
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// merged is what all brokers say of one thing.
type merged struct {
	served, silent, other, refused, failed, late float64
	p50, p99, age                                int64
	lines                                        []string
}

func (m *merged) line(old int64, format string, args ...any) {
	m.age = max(m.age, old)
	m.lines = append(m.lines, fmt.Sprintf(format, args...)+", "+age(old)+" old")
}

func nodes(o *api.Overview) table {
	t := table{head: []string{"NODE", "SERVED/S", "SILENT/S", "OTHER/S", "P50 MS", "P99 MS", "BROKERS", "OLDEST", "OPERATORS"},
		right: []bool{false, true, true, true, true, true, true, true, false}, empty: "no figures of nodes: no broker records, or none has asked any"}
	by := map[string]*merged{}
	for _, f := range o.Stats {
		for _, n := range f.Stats.Nodes {
			m := by[n.Node]
			if m == nil {
				m = &merged{}
				by[n.Node] = m
			}
			span := f.Stats.Span
			m.served += rate(n.Served, span)
			m.silent += rate(n.TimedOut, span)
			m.other += rate(n.Other, span)
			m.p50, m.p99 = max(m.p50, n.P50), max(m.p99, n.P99)
			m.line(f.Age, "%s: %s/s served, %s silent, %s other, p50 %s ms, p99 %s ms", f.Name, per(rate(n.Served, span)), per(rate(n.TimedOut, span)),
				per(rate(n.Other, span)), millis(n.P50), millis(n.P99))
		}
	}
	word := map[string]string{}
	for _, n := range o.Nodes {
		word[n.ID] = string(n.State)
		if by[n.ID] == nil {
			by[n.ID] = &merged{age: -1}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		m := by[name]
		t.rows = append(t.rows, []string{name, per(m.served), per(m.silent), per(m.other), millis(m.p50), millis(m.p99), fmt.Sprint(len(m.lines)), age(m.age),
			word[name]})
		t.names, t.detail = append(t.names, name), append(t.detail, append([]string{"p50 and p99 above are the worst broker's", ""}, m.lines...))
	}
	return t
}

func volumes(o *api.Overview) table {
	t := table{head: []string{"VOLUME", "REQ/S", "MAY BE", "LATE/S", "REF/S", "FAIL/S", "BROKERS", "OLDEST"},
		right: []bool{false, true, true, true, true, true, true, true}, empty: "no figures of volumes: no broker records, or nothing was asked"}
	type vol struct {
		merged
		error float64
	}
	by := map[string]*vol{}
	for _, f := range o.Stats {
		for _, v := range f.Stats.Volumes {
			m := by[v.Volume]
			if m == nil {
				m = &vol{}
				by[v.Volume] = m
			}
			span := f.Stats.Span
			m.served += rate(v.Count, span)
			m.error += rate(v.CountError, span)
			m.late += rate(v.Late, span)
			m.refused += rate(v.Rejected, span)
			m.failed += rate(v.Failed, span)
			m.line(f.Age, "%s: %s/s, %s late, %s refused, %s failed", f.Name, per(rate(v.Count, span)), per(rate(v.Late, span)), per(rate(v.Rejected, span)),
				per(rate(v.Failed, span)))
		}
	}
	names := slices.Collect(maps.Keys(by))
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(by[b].served, by[a].served), cmp.Compare(a, b)) })
	for _, name := range names {
		m := by[name]
		least := "exact"
		if m.error > 0 {
			least = "-" + per(m.error)
		}
		t.rows = append(t.rows, []string{name, per(m.served), least, per(m.late), per(m.refused), per(m.failed), fmt.Sprint(len(m.lines)), age(m.age)})
		t.names, t.detail = append(t.names, name), append(t.detail, m.lines)
	}
	return t
}

func classes(o *api.Overview) table {
	t := table{head: []string{"CLASS", "PLAN", "SERVED/S", "LATE/S", "REF/S", "FAIL/S", "P50 MS", "P99 MS", "OLDEST"},
		right: []bool{false, false, true, true, true, true, true, true, true}, empty: "no figures: no broker records, or nothing was asked"}
	by := map[[2]string]*merged{}
	for _, f := range o.Stats {
		for _, g := range f.Stats.Requests {
			k := [2]string{g.Class, g.Plan}
			m := by[k]
			if m == nil {
				m = &merged{}
				by[k] = m
			}
			span := f.Stats.Span
			m.served += rate(g.Served, span)
			m.late += rate(g.Late, span)
			m.refused += rate(g.Rejected, span)
			m.failed += rate(g.Failed, span)
			m.p50, m.p99 = max(m.p50, g.P50), max(m.p99, g.P99)
			m.line(f.Age, "%s: %s/s served, %s late, %s refused, %s failed, p50 %s ms, p99 %s ms", f.Name, per(rate(g.Served, span)), per(rate(g.Late, span)),
				per(rate(g.Rejected, span)), per(rate(g.Failed, span)), millis(g.P50), millis(g.P99))
		}
	}
	keys := slices.SortedFunc(maps.Keys(by), func(a, b [2]string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	for _, k := range keys {
		m := by[k]
		t.rows = append(t.rows, []string{k[0], k[1], per(m.served), per(m.late), per(m.refused), per(m.failed), millis(m.p50), millis(m.p99), age(m.age)})
		t.names = append(t.names, k[0]+" "+k[1])
		t.detail = append(t.detail, append([]string{"p50 and p99 above are the worst broker's", ""}, m.lines...))
	}
	return t
}

func rollouts(o *api.Overview) table {
	t := table{head: []string{"REV", "PHASE", "WAVE", "RELEASED", "AS WANTED", "FAILED", "REASON"},
		right: []bool{true, false, true, true, true, true, false}, empty: "no rollouts yet"}
	for _, r := range o.Rollouts {
		reason := r.Reason
		if r.Blocked != "" {
			reason = "held: " + r.Blocked
		}
		wave := "-"
		if r.Waves > 0 {
			wave = fmt.Sprintf("%d/%d", min(r.Wave+1, r.Waves), r.Waves)
		}
		t.rows = append(t.rows, []string{fmt.Sprint(r.Revision), string(r.Phase), wave, fmt.Sprintf("%d/%d", r.Released, r.Size), fmt.Sprint(r.Current),
			fmt.Sprint(len(r.Failed)), reason})
		d := []string{fmt.Sprintf("rollout of revision %d is %s", r.Revision, r.Phase)}
		if reason != "" {
			d = append(d, reason)
		}
		if r.Phase == state.Active && r.Soaking > 0 {
			d = append(d, "soaking for "+age(r.Soaking))
		}
		if len(r.Waiting) > 0 {
			d = append(d, "waiting for "+strings.Join(r.Waiting, " "))
		}
		for _, name := range slices.Sorted(maps.Keys(r.Failed)) {
			d = append(d, "failed: "+name+": "+r.Failed[name])
		}
		t.names, t.detail = append(t.names, fmt.Sprint("rollout ", r.Revision)), append(t.detail, d)
	}
	return t
}
