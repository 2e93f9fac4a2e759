package state

import (
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/timing/clock"
)

// Step returns the records that are due at a time. The caller stores and applies them in order, and calls Step again
// until it returns none. If a record cannot be stored, the state is unchanged and the next Step returns the record
// again.
func (s *State) Step(now clock.Micros) []*Record {
	s.now = max(s.now, now)
	s.markSilentAgents()
	if due := s.departureRecords(); len(due) > 0 {
		return due
	}
	active := s.rollouts.active
	if active == nil {
		return s.startNextRollout()
	}
	if active.phase != Active {
		return nil
	}
	if due := s.failureRecords(active); len(due) > 0 {
		return due
	}
	if r := s.budgetExceeded(active); r != nil {
		return []*Record{r}
	}
	if active.wave.index >= len(active.waves) {
		return []*Record{{Kind: RecordPhaseChanged, Revision: active.revision, Phase: Done}}
	}
	if r := s.releaseRecord(); r != nil {
		return []*Record{r}
	}
	if s.waveHasSoaked(active) {
		return []*Record{{Kind: RecordWaveFinished, Revision: active.revision}}
	}
	return nil
}

// departureRecords returns a record for each instance that has ended at an agent where it is no longer desired.
func (s *State) departureRecords() []*Record {
	var records []*Record
	for _, name := range slices.Sorted(maps.Keys(s.departed)) {
		kind := RecordInstanceHandedOver
		if s.departed[name].release.desired == nil {
			kind = RecordInstanceRemoved
		}
		records = append(records, &Record{Kind: kind, Instances: []string{name}})
	}
	return records
}

// startNextRollout returns the record that starts the first queued rollout, if there is one.
func (s *State) startNextRollout() []*Record {
	if len(s.rollouts.queued) == 0 {
		return nil
	}
	next := s.rollouts.queued[0]
	return []*Record{{
		Kind:     RecordRolloutStarted,
		Revision: next.revision,
		Waves:    Waves(s.changesFor(next, nil), &next.strategy),
	}}
}

// failureRecords returns a record for each member that has failed: the members with a reported failure or, if there are
// none, those that have not conformed within the progress deadline.
func (s *State) failureRecords(r *rollout) []*Record {
	var records []*Record
	add := func(name, reason string) {
		records = append(records, &Record{
			Kind:      RecordInstanceFailed,
			Revision:  r.revision,
			Instances: []string{name},
			Reason:    reason,
		})
	}
	if len(r.wave.unrecordedFailures) > 0 {
		for _, name := range slices.Sorted(maps.Keys(r.wave.unrecordedFailures)) {
			add(name, r.wave.unrecordedFailures[name])
		}
		return records
	}
	for _, name := range s.overdueMembers(r) {
		add(name, "not current in time: "+s.whyNotCurrent(s.instances[name]))
	}
	return records
}

// overdueMembers returns the members of the current wave that have not conformed within the progress deadline.
func (s *State) overdueMembers(r *rollout) []string {
	var overdue []string
	for name, m := range r.wave.nonconforming {
		if !m.progress.running { // it was released before the manager's restart
			m.progress = startedAt(s.now)
		}
		if s.now-m.progress.since >= r.strategy.ProgressDeadline {
			overdue = append(overdue, name)
		}
	}
	slices.Sort(overdue)
	return overdue
}

// budgetExceeded returns the record that rolls back or pauses a rollout whose failures exceed the failure budget, or
// nil for other rollouts.
func (s *State) budgetExceeded(r *rollout) *Record {
	budget := r.strategy.FailureBudget.Of(len(r.members))
	if r.failures <= budget {
		return nil
	}
	reason := fmt.Sprintf("%d of %d instances failed, more than %d", r.failures, len(r.members), budget)
	if r.strategy.OnFailure == onFailureRollback {
		rollback, err := s.rollbackRecord(r.revision-1, r.strategy, false)
		if err == nil && rollback != nil {
			rollback.Note = reason
			rollback.Author = "rollout"
			return rollback
		}
	}
	return &Record{
		Kind:     RecordPhaseChanged,
		Revision: r.revision,
		Phase:    Paused,
		Reason:   reason,
	}
}

// waveHasSoaked reports whether all members of the current wave that have not failed have conformed for the soak time.
func (s *State) waveHasSoaked(r *rollout) bool {
	wave := &r.wave
	if len(wave.unreleased) > 0 || wave.conforming+wave.failed < len(r.waves[wave.index]) {
		return false
	}
	if !wave.soak.running {
		wave.soak = startedAt(s.now)
	}
	return s.now-wave.soak.since >= r.strategy.SoakTime
}
