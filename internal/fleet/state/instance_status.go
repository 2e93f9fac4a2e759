package state

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// AgeUnknown is the age of a report or call that has not been received.
const AgeUnknown clock.Micros = -1

// InstanceStatus is the status of one instance for operators.
type InstanceStatus struct {
	Name          string       `json:"name"`
	Agent         string       `json:"agent"`
	Domain        string       `json:"domain"`
	Enabled       bool         `json:"enabled"`
	Revision      uint64       `json:"rev"`           // revision whose rollout released it
	TargetEdition uint64       `json:"target"`        // edition that its broker should hold
	Current       bool         `json:"current"`       // it is known to be running, stopped or absent as desired
	Available     bool         `json:"available"`     // it is known to be serving
	Reason        string       `json:"why,omitempty"` // why it is not current
	Age           clock.Micros `json:"age_us"`        // of the report, see observationAge; AgeUnknown if there is none
	Report        Report       `json:"seen"`
}

// ProcessText returns the state of the process, with "unknown" for Unknown.
func (s *InstanceStatus) ProcessText() string {
	if s.Report.Process == ProcessUnknown {
		return "unknown"
	}
	return string(s.Report.Process)
}

// ConfigurationText tells whether the broker holds the desired configuration: "current", "old" or "unknown".
func (s *InstanceStatus) ConfigurationText() string {
	switch {
	case s.Current:
		return "current"
	case s.Report.Incarnation == "":
		return "unknown"
	}
	return "old"
}

// Instances returns the status of the selected instances, sorted by name.
func (s *State) Instances(selector spec.Selector) []InstanceStatus {
	list := []InstanceStatus{}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) {
		i := s.instances[name]
		desired := i.release.desired
		if desired == nil {
			desired = &spec.Instance{Name: name, Agent: i.agent.name}
		}
		if selector.Matches(desired) {
			list = append(list, s.instanceStatus(i))
		}
	}
	return list
}

func (s *State) instanceStatus(i *instance) InstanceStatus {
	status := InstanceStatus{
		Name:          i.name,
		Agent:         i.agent.name,
		Revision:      i.release.revision,
		TargetEdition: s.targetEdition(i),
		Current:       s.isCurrent(i),
		Available:     i.isAvailable(),
		Reason:        s.whyNotCurrent(i),
		Age:           s.observationAge(i),
		Report:        i.observed.report,
	}
	if desired := i.release.desired; desired != nil {
		status.Domain = desired.FailureDomain()
		status.Enabled = desired.Enabled
	}
	return status
}

// observationAge returns how long ago the instance was last known to be as its latest report says.
func (s *State) observationAge(i *instance) clock.Micros {
	switch {
	case !i.observed.known:
		return AgeUnknown
	case i.agent.session.reportedFully:
		// After a full report the agent reports only changes, so each call confirms what it does not mention.
		return s.now - i.agent.session.lastCall
	}
	return s.now - i.observed.at
}

// whyNotCurrent describes what an instance lacks to be current and to serve, or returns "" if it lacks nothing. i is
// nil if the instance is not released.
func (s *State) whyNotCurrent(i *instance) string {
	switch {
	case i == nil:
		return "not released yet"
	case i.agent.token == 0:
		return "agent " + i.agent.name + " has never registered"
	case i.agent.session.silent:
		return "agent " + i.agent.name + " is silent"
	case !i.observed.known:
		return "its agent has not reported it"
	case !i.agent.hasAcknowledged(i.name):
		return "its agent has not been told yet"
	}
	process := string(i.observed.report.Process)
	desired := i.release.desired
	switch {
	case desired == nil:
		return "to end, is " + process
	case desired.Agent != i.agent.name:
		return "to move to agent " + desired.Agent + ", is " + process + " at " + i.agent.name
	case !desired.Enabled && i.observed.report.Process != ProcessStopped:
		return "to stop, is " + process
	case !desired.Enabled:
		return ""
	}
	return s.whyNotServing(i)
}

// whyNotServing describes why an enabled instance does not serve as desired, or returns "" if it does.
func (s *State) whyNotServing(i *instance) string {
	report := &i.observed.report
	switch {
	case s.hasRejected(i):
		return "turned revision down: " + report.Error
	case report.Process != ProcessRunning && report.Error != "":
		return "is " + string(report.Process) + ": " + report.Error
	case report.Process != ProcessRunning:
		return "is " + string(report.Process)
	case report.Incarnation == "":
		return "its broker does not answer"
	case report.StartDigest != i.release.startDigest:
		return "runs with other start settings"
	case report.AppliedEdition != s.targetEdition(i):
		return fmt.Sprintf("holds edition %d, not %d", report.AppliedEdition, s.targetEdition(i))
	case !report.Healthy:
		return "its fronts do not answer"
	}
	return ""
}
