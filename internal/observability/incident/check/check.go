// Package check compares an analysis with the known course of an incident. It finds missing and spurious episodes,
// bounds that do not contain the actual times, and gaps in the records that are missing, misplaced or spurious.
package check

import (
	"fmt"
	"slices"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/timing/clock"
)

// ActualEpisode is an episode that took place, whether or not the analysis has it. Times are on the reference's clock.
type ActualEpisode struct {
	Kind     incident.Kind
	Subject  string
	Begin    clock.Micros
	End      clock.Micros
	Optional bool // the analysis need not have it, for instance because no broker could observe it
}

// ActualGap is a gap that a broker's records really have. Times are on the reference's clock.
type ActualGap struct {
	Broker string
	State  incident.State
	From   clock.Micros
	To     clock.Micros
}

// Options are the tolerances of a comparison.
type Options struct {
	ClockTolerance clock.Micros    // added to both ends of every bound, for the error of the clocks
	GapTolerance   clock.Micros    // maximum error of a gap's ends, for records not yet written when a broker crashed
	Kinds          []incident.Kind // kinds whose spurious episodes are reported; nil means all kinds
}

// Compare returns a description of each difference between an analysis and the actual episodes and gaps.
func Compare(a *incident.Analysis, episodes []ActualEpisode, gaps []ActualGap, o Options) []string {
	c := &comparison{analysis: a, options: o, matched: map[int]bool{}}
	for _, actual := range episodes {
		c.findEpisode(actual)
	}
	c.findSpuriousEpisodes()
	for _, gap := range gaps {
		c.findGap(gap)
	}
	c.findSpuriousGaps(gaps)
	return c.differences
}

// comparison is the state of a call of Compare.
type comparison struct {
	analysis    *incident.Analysis
	options     Options
	matched     map[int]bool // indices of the episodes that match an actual one
	differences []string
}

func (c *comparison) report(format string, args ...any) {
	c.differences = append(c.differences, fmt.Sprintf(format, args...))
}

// findEpisode marks the reported episodes that match an actual one as matched. It reports a difference if there is none
// or if the bounds of one are wrong.
func (c *comparison) findEpisode(actual ActualEpisode) {
	found := false
	var wrongBounds []string
	for i := range c.analysis.Episodes {
		e := &c.analysis.Episodes[i]
		if !c.mayBe(e, actual) {
			continue
		}
		c.matched[i] = true
		if c.boundsHold(e, actual) {
			found = true
		} else {
			wrongBounds = append(wrongBounds, fmt.Sprintf("%s to %s", e.Begin.Format(), e.End.Format()))
		}
	}
	begin := incident.FormatTime(actual.Begin)
	end := incident.FormatTime(actual.End)
	switch {
	case len(wrongBounds) > 0:
		c.report("%s %s: from %s to %s, reported as %v", actual.Kind, actual.Subject, begin, end, wrongBounds)
	case !found && !actual.Optional:
		c.report("%s %s from %s to %s: missing from the analysis", actual.Kind, actual.Subject, begin, end)
	}
}

// mayBe reports whether an episode has the kind and the subject of an actual one and overlaps it.
func (c *comparison) mayBe(e *incident.Episode, actual ActualEpisode) bool {
	tolerance := c.options.ClockTolerance
	return e.Kind == actual.Kind && e.Subject == actual.Subject && e.Begin.Earliest <= actual.End+tolerance && e.End.Latest >= actual.Begin-tolerance
}

// boundsHold reports whether the bounds of an episode contain the begin and the end of an actual one.
func (c *comparison) boundsHold(e *incident.Episode, actual ActualEpisode) bool {
	tolerance := c.options.ClockTolerance
	begin := e.Begin.Earliest-tolerance <= actual.Begin && actual.Begin <= e.Begin.Latest+tolerance
	end := e.End.Earliest-tolerance <= actual.End && actual.End <= e.End.Latest+tolerance
	stillOpen := e.Open && actual.End >= c.analysis.To-tolerance
	return begin && (end || stillOpen)
}

func (c *comparison) findSpuriousEpisodes() {
	for i := range c.analysis.Episodes {
		e := &c.analysis.Episodes[i]
		compared := c.options.Kinds == nil || slices.Contains(c.options.Kinds, e.Kind)
		if compared && !c.matched[i] {
			c.report("%s %s from %s to %s: spurious episode (evidence: %v)", e.Kind, e.Subject, e.Begin.Format(), e.End.Format(), e.Evidence)
		}
	}
}

// findGap reports a difference if no span matches a gap, or if a span in state Known overlaps it.
func (c *comparison) findGap(gap ActualGap) {
	tolerance := c.options.GapTolerance
	covered := false
	for _, span := range c.analysis.Knowledge {
		if span.Broker != gap.Broker {
			continue
		}
		if span.State == incident.Known && span.From < gap.To-tolerance && span.To > gap.From+tolerance {
			c.report("%s: known from %s to %s, but nothing was recorded from %s to %s", gap.Broker, incident.FormatTime(span.From),
				incident.FormatTime(span.To), incident.FormatTime(gap.From), incident.FormatTime(gap.To))
		}
		if span.State == gap.State && distance(span.From, gap.From) <= tolerance && distance(span.To, gap.To) <= tolerance {
			covered = true
		}
	}
	if !covered {
		c.report("%s: no span in state %q from %s to %s", gap.Broker, gap.State, incident.FormatTime(gap.From), incident.FormatTime(gap.To))
	}
}

func (c *comparison) findSpuriousGaps(gaps []ActualGap) {
	for _, span := range c.analysis.Knowledge {
		if span.State == incident.Known || span.State == incident.NotRecorded || span.State == incident.Stopped {
			continue
		}
		actual := slices.ContainsFunc(gaps, func(g ActualGap) bool {
			return g.Broker == span.Broker && g.State == span.State && span.From < g.To+c.options.GapTolerance && span.To > g.From-c.options.GapTolerance
		})
		if !actual {
			c.report("%s: spurious gap %q from %s to %s", span.Broker, span.State, incident.FormatTime(span.From), incident.FormatTime(span.To))
		}
	}
}

// distance returns the absolute difference of two times.
func distance(a, b clock.Micros) clock.Micros { return max(a-b, b-a) }
