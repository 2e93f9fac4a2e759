// Package check holds an analysis against what really happened: it finds episodes that are missing or invented, bounds
// that do not hold the truth, and gaps that were filled in, misplaced or invented.
package check

import (
	"fmt"

	"poppyarch/internal/observability/incident"
)

// Truth is an episode as it really was. Times are on the reference's clock.
type Truth struct {
	Kind       incident.Kind
	Subject    string
	Begin, End int64
	Maybe      bool // it need not show, for instance where nobody was there to see it
}

// Gap is a time in which nothing was recorded of a broker, as it really was.
type Gap struct {
	Broker   string
	State    incident.State
	From, To int64
}

// Options bounds what is let pass.
type Options struct {
	Slack int64 // added to every bound, for what a clock cannot tell
	Gap   int64 // how far a gap's ends may be off: what a broker had not written yet when it died
	Kinds []incident.Kind
}

// Compare lists what is wrong; nothing where all is right. Only the kinds in o.Kinds are looked at; nil: all.
func Compare(a *incident.Analysis, truths []Truth, gaps []Gap, o Options) (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	looked := func(k incident.Kind) bool {
		for _, x := range o.Kinds {
			if x == k {
				return true
			}
		}
		return o.Kinds == nil
	}
	matched := map[int]bool{}
	for _, t := range truths {
		found := false
		var near []string
		for i := range a.Episodes {
			e := &a.Episodes[i]
			if e.Kind != t.Kind || e.Subject != t.Subject || e.Begin.Lo > t.End+o.Slack || e.End.Hi < t.Begin-o.Slack {
				continue
			}
			matched[i] = true
			begin := e.Begin.Lo-o.Slack <= t.Begin && t.Begin <= e.Begin.Hi+o.Slack
			end := e.Open && t.End >= a.To-o.Slack || e.End.Lo-o.Slack <= t.End && t.End <= e.End.Hi+o.Slack
			if begin && end {
				found = true
			} else {
				near = append(near, fmt.Sprintf("%s to %s", e.Begin.Words(), e.End.Words()))
			}
		}
		switch {
		case len(near) > 0:
			say("%s %s: was from %s to %s, reported as %v", t.Kind, t.Subject, incident.Clockface(t.Begin), incident.Clockface(t.End), near)
		case !found && !t.Maybe:
			say("%s %s from %s to %s: missing", t.Kind, t.Subject, incident.Clockface(t.Begin), incident.Clockface(t.End))
		}
	}
	for i := range a.Episodes {
		if e := &a.Episodes[i]; looked(e.Kind) && !matched[i] {
			say("%s %s from %s to %s: invented (%v)", e.Kind, e.Subject, e.Begin.Words(), e.End.Words(), e.Evidence)
		}
	}
	for _, g := range gaps {
		covered := false
		for _, s := range a.Knowledge {
			if s.Broker != g.Broker {
				continue
			}
			if s.State == incident.Known && s.From < g.To-o.Gap && s.To > g.From+o.Gap {
				say("%s: known from %s to %s, though nothing was recorded from %s to %s", g.Broker, incident.Clockface(s.From), incident.Clockface(s.To),
					incident.Clockface(g.From), incident.Clockface(g.To))
			}
			if s.State == g.State && abs(s.From-g.From) <= o.Gap && abs(s.To-g.To) <= o.Gap {
				covered = true
			}
		}
		if !covered {
			say("%s: no span %q from %s to %s", g.Broker, g.State, incident.Clockface(g.From), incident.Clockface(g.To))
		}
	}
	for _, s := range a.Knowledge {
		if s.State == incident.Known || s.State == incident.NotRecorded || s.State == incident.Stopped {
			continue
		}
		real := false
		for _, g := range gaps {
			real = real || g.Broker == s.Broker && g.State == s.State && s.From < g.To+o.Gap && s.To > g.From-o.Gap
		}
		if !real {
			say("%s: %s from %s to %s: invented", s.Broker, s.State, incident.Clockface(s.From), incident.Clockface(s.To))
		}
	}
	return wrong
}

func abs(v int64) int64 {
	if v < 0 {
		return -v
	}
	return v
}
