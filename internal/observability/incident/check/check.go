// Package check compares an analysis with what really happened: it finds episodes that are missing or invented, bounds that do
// not contain the truth, and gaps that were filled in, misplaced or invented.
package check

import (
	"fmt"
	"slices"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/timing/clock"
)

// Truth is an episode as it really was. Times are microseconds on the reference's clock.
type Truth struct {
	Kind     incident.Kind
	Subject  string
	Begin    clock.Micros
	End      clock.Micros
	Optional bool // it need not be reported, for instance because nobody was there to see it
}

// Gap is a time in which nothing was recorded of a broker, as it really was.
type Gap struct {
	Broker string
	State  incident.State
	From   clock.Micros
	To     clock.Micros
}

// Options are the tolerances, in microseconds.
type Options struct {
	Slack clock.Micros    // added to every bound, for what a clock cannot tell
	Gap   clock.Micros    // how far a gap's ends may be off: what a broker had not written yet when it died
	Kinds []incident.Kind // only these are compared; nil: all
}

// Compare lists the differences between an analysis and what really happened; nothing if all is right.
func Compare(a *incident.Analysis, truths []Truth, gaps []Gap, o Options) []string {
	c := &comparison{analysis: a, options: o, matched: map[int]bool{}}
	for _, truth := range truths {
		c.findEpisode(truth)
	}
	c.findInventedEpisodes()
	for _, gap := range gaps {
		c.findGap(gap)
	}
	c.findInventedGaps(gaps)
	return c.differences
}

// comparison is the state of one Compare.
type comparison struct {
	analysis    *incident.Analysis
	options     Options
	matched     map[int]bool // episodes that belong to a truth
	differences []string
}

func (c *comparison) report(format string, args ...any) {
	c.differences = append(c.differences, fmt.Sprintf(format, args...))
}

// findEpisode looks for the episodes that a truth was reported as.
func (c *comparison) findEpisode(truth Truth) {
	found := false
	var wrongBounds []string
	for i := range c.analysis.Episodes {
		e := &c.analysis.Episodes[i]
		if !c.mayBe(e, truth) {
			continue
		}
		c.matched[i] = true
		if c.boundsHold(e, truth) {
			found = true
		} else {
			wrongBounds = append(wrongBounds, fmt.Sprintf("%s to %s", e.Begin.Format(), e.End.Format()))
		}
	}
	begin := incident.FormatTime(truth.Begin)
	end := incident.FormatTime(truth.End)
	switch {
	case len(wrongBounds) > 0:
		c.report("%s %s: was from %s to %s, reported as %v", truth.Kind, truth.Subject, begin, end, wrongBounds)
	case !found && !truth.Optional:
		c.report("%s %s from %s to %s: missing", truth.Kind, truth.Subject, begin, end)
	}
}

// mayBe reports whether an episode is of a truth's kind and subject and overlaps it.
func (c *comparison) mayBe(e *incident.Episode, truth Truth) bool {
	slack := c.options.Slack
	return e.Kind == truth.Kind && e.Subject == truth.Subject && e.Begin.Earliest <= truth.End+slack && e.End.Latest >= truth.Begin-slack
}

// boundsHold reports whether the bounds of an episode contain the truth's begin and end.
func (c *comparison) boundsHold(e *incident.Episode, truth Truth) bool {
	slack := c.options.Slack
	begin := e.Begin.Earliest-slack <= truth.Begin && truth.Begin <= e.Begin.Latest+slack
	end := e.End.Earliest-slack <= truth.End && truth.End <= e.End.Latest+slack
	stillOpen := e.Open && truth.End >= c.analysis.To-slack
	return begin && (end || stillOpen)
}

func (c *comparison) findInventedEpisodes() {
	for i := range c.analysis.Episodes {
		e := &c.analysis.Episodes[i]
		compared := c.options.Kinds == nil || slices.Contains(c.options.Kinds, e.Kind)
		if compared && !c.matched[i] {
			c.report("%s %s from %s to %s: invented (%v)", e.Kind, e.Subject, e.Begin.Format(), e.End.Format(), e.Evidence)
		}
	}
}

// findGap looks for the span that a gap was reported as, and for spans that claim knowledge within it.
func (c *comparison) findGap(gap Gap) {
	tolerance := c.options.Gap
	covered := false
	for _, span := range c.analysis.Knowledge {
		if span.Broker != gap.Broker {
			continue
		}
		if span.State == incident.Known && span.From < gap.To-tolerance && span.To > gap.From+tolerance {
			c.report("%s: known from %s to %s, though nothing was recorded from %s to %s", gap.Broker, incident.FormatTime(span.From),
				incident.FormatTime(span.To), incident.FormatTime(gap.From), incident.FormatTime(gap.To))
		}
		if span.State == gap.State && distance(span.From, gap.From) <= tolerance && distance(span.To, gap.To) <= tolerance {
			covered = true
		}
	}
	if !covered {
		c.report("%s: no span %q from %s to %s", gap.Broker, gap.State, incident.FormatTime(gap.From), incident.FormatTime(gap.To))
	}
}

func (c *comparison) findInventedGaps(gaps []Gap) {
	for _, span := range c.analysis.Knowledge {
		if span.State == incident.Known || span.State == incident.NotRecorded || span.State == incident.Stopped {
			continue
		}
		real := slices.ContainsFunc(gaps, func(g Gap) bool {
			return g.Broker == span.Broker && g.State == span.State && span.From < g.To+c.options.Gap && span.To > g.From-c.options.Gap
		})
		if !real {
			c.report("%s: %s from %s to %s: invented", span.Broker, span.State, incident.FormatTime(span.From), incident.FormatTime(span.To))
		}
	}
}

// distance is how far two times lie apart.
func distance(a, b clock.Micros) clock.Micros { return max(a-b, b-a) }
