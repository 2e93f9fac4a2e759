package state

import (
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// instance is one released instance: what it should be, and what its agent reports.
type instance struct {
	name         string
	agent        *agent // that holds it
	release      release
	observed     observation
	availability availability
	conforming   bool           // it is as it should be and, where it is enabled, available
	member       *rolloutMember // its part in the active rollout; nil: none
}

// release is the state that an instance was last let change to.
type release struct {
	desired     *spec.Instance // nil: it should end
	previous    *spec.Instance // the desired state before, until the instance conforms
	startDigest string         // of desired
	revision    uint64         // of the rollout
	edition     uint64         // of the record
}

// observation is an agent's last report of an instance.
type observation struct {
	report Report
	at     clock.Micros
	known  bool // reported since the agent's registration
}

// serving reports whether the instance served at its last report.
func (o *observation) serving() bool {
	return o.known && o.report.Process == Running && o.report.Healthy
}

// attach gives an instance to an agent.
func (s *State) attach(i *instance, agentName string) {
	a := s.agent(agentName)
	i.agent = a
	i.observed = observation{}
	a.instances[i.name] = i
	a.assignmentChanged(i.name)
}

// detach takes an instance from its agent, which learns of it with its next call.
func (s *State) detach(i *instance) {
	a := i.agent
	i.removeFromCounters()
	delete(a.instances, i.name)
	delete(a.nonconforming, i.name)
	delete(s.departed, i.name)
	a.assignmentChanged(i.name)
}

// handOver gives an instance to the agent that it is desired at.
func (s *State) handOver(i *instance) {
	s.detach(i)
	s.attach(i, i.release.desired.Agent)
	s.reindex(i)
}

// removeInstance removes an instance that is not desired any more.
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

// departedInstance returns the only instance that a record names.
func (s *State) departedInstance(r *Record) (*instance, error) {
	if len(r.Instances) != 1 || s.instances[r.Instances[0]] == nil {
		return nil, recordErrorf(r, "no such instance %q", r.Instances)
	}
	return s.instances[r.Instances[0]], nil
}

// targetEdition is the edition that an instance's broker should hold: that of the last record which changed its desired
// state. The number of the revision would not do: a rollout continues after a node override with a higher number has
// reached all instances, and what it then releases must not look older.
func (s *State) targetEdition(i *instance) uint64 {
	return max(i.release.edition, s.desired.nodes.edition)
}

// isCurrent reports whether an instance is known to run, or to have ended, as desired.
func (s *State) isCurrent(i *instance) bool {
	a := i.agent
	if !i.observed.known || a.session.silent || !a.hasAcknowledged(i.name) {
		return false
	}
	report := &i.observed.report
	desired := i.release.desired
	switch {
	case desired == nil:
		return report.Process == Absent
	case desired.Agent != a.name:
		return false // it has to be handed over first
	case !desired.Enabled:
		return report.Process == Stopped
	}
	return report.Process == Running &&
		report.Incarnation != "" &&
		report.AppliedEdition == s.targetEdition(i) &&
		report.StartDigest == i.release.startDigest
}

// isAvailable reports whether an instance is known to serve, with whatever settings.
func (i *instance) isAvailable() bool {
	return i.observed.serving() && !i.agent.session.silent
}

// hasRejected reports whether the broker rejected the edition that it should hold.
func (s *State) hasRejected(i *instance) bool {
	rejected := i.observed.report.RejectedEdition
	return rejected != 0 && rejected == s.targetEdition(i)
}

// isEnabled reports whether the instance should serve.
func (i *instance) isEnabled() bool {
	return i.release.desired != nil && i.release.desired.Enabled
}

// belongsElsewhere reports whether the instance is not desired, or not at the agent that holds it.
func (i *instance) belongsElsewhere() bool {
	return i.release.desired == nil || i.release.desired.Agent != i.agent.name
}
