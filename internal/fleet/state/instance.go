package state

import (
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// instance is one released instance: its desired state, and its observed state as its agent reports it.
type instance struct {
	name         string
	agent        *agent // agent that holds it
	release      release
	observed     observation
	availability availability
	conforming   bool           // it is in its desired state and, if it is enabled, available
	member       *rolloutMember // its entry in the active rollout; nil if there is none
}

// release is the state that a rollout last allowed the instance to change to.
type release struct {
	desired     *spec.Instance // nil if the instance should end
	previous    *spec.Instance // desired state before this release, kept until the instance conforms; otherwise nil
	startDigest string         // digest of desired.Start
	revision    uint64         // revision of the rollout that released it
	edition     uint64         // State.Edition when the release was last changed
}

// observation is the latest report of an instance by its agent.
type observation struct {
	report Report
	at     clock.Micros // time of the report
	known  bool         // there is a report since the agent's registration
}

// serving reports whether the instance was serving according to its latest report.
func (o *observation) serving() bool {
	return o.known && o.report.Process == ProcessRunning && o.report.Healthy
}

// attach makes the named agent the holder of an instance.
func (s *State) attach(i *instance, agentName string) {
	a := s.agent(agentName)
	i.agent = a
	i.observed = observation{}
	a.instances[i.name] = i
	a.assignmentChanged(i.name)
}

// detach removes an instance from its agent, which is notified with its next call.
func (s *State) detach(i *instance) {
	a := i.agent
	i.removeFromCounters()
	delete(a.instances, i.name)
	delete(a.nonconforming, i.name)
	delete(s.departed, i.name)
	a.assignmentChanged(i.name)
}

// handOver moves an instance to the agent on which it is desired.
func (s *State) handOver(i *instance) {
	s.detach(i)
	s.attach(i, i.release.desired.Agent)
	s.reindex(i)
}

// removeInstance removes an instance that is no longer desired.
func (s *State) removeInstance(i *instance) {
	s.detach(i)
	if i.member != nil {
		s.updateMember(i.member, true)
	}
	delete(s.instances, i.name)
}

func (s *State) applyInstanceHandedOver(r *Record) error {
	i, err := s.departedInstance(r)
	if err != nil {
		return err
	}
	s.handOver(i)
	return nil
}

func (s *State) applyInstanceRemoved(r *Record) error {
	i, err := s.departedInstance(r)
	if err != nil {
		return err
	}
	s.removeInstance(i)
	return nil
}

// departedInstance returns the instance that a record names, which must be the only one.
func (s *State) departedInstance(r *Record) (*instance, error) {
	if len(r.Instances) != 1 || s.instances[r.Instances[0]] == nil {
		return nil, recordErrorf(r, "no such instance %q", r.Instances)
	}
	return s.instances[r.Instances[0]], nil
}

// targetEdition returns the edition that an instance's broker should hold: that of the last record that changed the
// instance's release or the node overrides. The revision number cannot serve as the edition: a rollout continues after
// a node override with a higher revision has reached all instances, and what it releases then must not look older.
func (s *State) targetEdition(i *instance) uint64 {
	return max(i.release.edition, s.desired.nodes.edition)
}

// isCurrent reports whether the instance is known to be running, stopped or absent as desired.
func (s *State) isCurrent(i *instance) bool {
	a := i.agent
	if !i.observed.known || a.session.silent || !a.hasAcknowledged(i.name) {
		return false
	}
	report := &i.observed.report
	desired := i.release.desired
	switch {
	case desired == nil:
		return report.Process == ProcessAbsent
	case desired.Agent != a.name:
		return false // it has to be handed over first
	case !desired.Enabled:
		return report.Process == ProcessStopped
	}
	return report.Process == ProcessRunning &&
		report.Incarnation != "" &&
		report.AppliedEdition == s.targetEdition(i) &&
		report.StartDigest == i.release.startDigest
}

// isAvailable reports whether the instance is known to be serving, with the desired settings or others.
func (i *instance) isAvailable() bool {
	return i.observed.serving() && !i.agent.session.silent
}

// hasRejected reports whether the instance's broker has rejected its target edition.
func (s *State) hasRejected(i *instance) bool {
	rejected := i.observed.report.RejectedEdition
	return rejected != 0 && rejected == s.targetEdition(i)
}

// isEnabled reports whether the instance is desired and should be serving.
func (i *instance) isEnabled() bool {
	return i.release.desired != nil && i.release.desired.Enabled
}

// belongsElsewhere reports whether the instance is not desired at all or is desired on another agent.
func (i *instance) belongsElsewhere() bool {
	return i.release.desired == nil || i.release.desired.Agent != i.agent.name
}
