package state

import (
	"fmt"
	"slices"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// Phase is the phase of a rollout.
type Phase string

// The phases of a rollout. Done and Aborted are final.
const (
	Queued  Phase = "queued"
	Active  Phase = "active"
	Paused  Phase = "paused"
	Done    Phase = "done"
	Aborted Phase = "aborted"
)

// final reports whether a rollout in this phase has ended.
func (p Phase) final() bool { return p == Done || p == Aborted }

// rolloutList holds the rollouts. At most one is active; the others wait for it in the order of their revisions.
type rolloutList struct {
	active   *rollout // in phase Active or Paused; nil if there is none
	queued   []*rollout
	finished []*rollout // oldest first
}

// unfinished lists the revisions of the active and the queued rollouts.
func (l *rolloutList) unfinished() []uint64 {
	var revisions []uint64
	if l.active != nil {
		revisions = append(revisions, l.active.revision)
	}
	for _, q := range l.queued {
		revisions = append(revisions, q.revision)
	}
	return revisions
}

// rollout applies one revision to the instances, wave by wave.
type rollout struct {
	revision  uint64
	strategy  Strategy
	changes   []RevisionChange
	createdAt clock.Micros // time at which the revision was created, Unix time
	phase     Phase
	reason    string // why the rollout is in this phase

	waves        [][]string // names of the members of each wave
	wave         waveProgress
	members      map[string]*rolloutMember
	failures     int             // members of all waves that have failed since the rollout was last resumed
	outOfService map[string]bool // unreleased members of all waves that are known to be out of service
	blocked      string          // why no instance is released at the moment; empty if nothing blocks the release
}

// waveProgress is the progress of the current wave.
type waveProgress struct {
	index              int
	unreleased         []string                  // in the order of release
	nonconforming      map[string]*rolloutMember // released members that neither conform nor have failed
	unrecordedFailures map[string]string         // by member of this or an earlier wave: reported reason
	conforming         int                       // number of members that conform
	failed             int
	soak               timer // runs while all members conform or have failed
}

// rolloutMember is the progress of one instance in a rollout.
type rolloutMember struct {
	rollout    *rollout
	name       string
	wave       int
	failure    string // why it failed; empty if it has not
	progress   timer  // runs since its release, or since it stopped conforming
	released   bool
	conforming bool
}

// timer measures how long a condition has held.
type timer struct {
	since   clock.Micros
	running bool
}

// startedAt returns a timer that has been running since a time.
func startedAt(since clock.Micros) timer { return timer{since: since, running: true} }

// SetRolloutPhase returns the record that pauses, resumes or aborts a rollout; revision 0 stands for the active one. A
// queued rollout can only be aborted. The error is ErrInvalidState if the rollout cannot change to the requested phase.
func (s *State) SetRolloutPhase(c *Command, revision uint64, to Phase, at clock.Micros) (*Record, error) {
	active := s.rollouts.active
	if revision == 0 {
		if active == nil {
			return nil, fmt.Errorf("%w: no rollout is under way", ErrInvalidState)
		}
		revision = active.revision
	}
	r := c.attribute(&Record{Kind: RecordPhaseChanged, Revision: revision, Phase: to, Reason: c.Note}, at)
	if active == nil || active.revision != revision {
		if to == Aborted && s.rollouts.queuedIndex(revision) >= 0 {
			return r, nil
		}
		return nil, fmt.Errorf("%w: rollout %d is not under way", ErrInvalidState, revision)
	}
	if to == Paused && active.phase != Active || to == Active && active.phase != Paused {
		return nil, fmt.Errorf("%w: rollout %d is %s", ErrInvalidState, revision, active.phase)
	}
	return r, nil
}

// queuedIndex returns the index of a revision's rollout in the queue, or -1 if it is not queued.
func (l *rolloutList) queuedIndex(revision uint64) int {
	return slices.IndexFunc(l.queued, func(q *rollout) bool { return q.revision == revision })
}

// changesFor returns the changes that a rollout has to make to the released state: its own, and those that earlier,
// aborted rollouts have left undone. superseded are the queued rollouts that it aborts.
func (s *State) changesFor(r *rollout, superseded []*rollout) []spec.Change {
	desired := map[string]*spec.Instance{}
	for name := range s.target.unreleased {
		desired[name] = s.target.instances[name]
	}
	for _, o := range superseded {
		for _, change := range o.changes {
			desired[change.Name] = s.target.instances[change.Name]
		}
	}
	for _, change := range r.changes {
		desired[change.Name] = change.New
	}
	var changes []spec.Change
	for name, to := range desired {
		if c := spec.Compare(s.releasedState(name), to); c != nil {
			changes = append(changes, *c)
		}
	}
	spec.SortChanges(changes)
	return changes
}

// releasedState returns the state that an instance was last released to, or nil if there is none.
func (s *State) releasedState(name string) *spec.Instance {
	if i := s.instances[name]; i != nil {
		return i.release.desired
	}
	return nil
}

// retarget applies a rollout's changes to the target that the released state is compared with.
func (s *State) retarget(r *rollout) {
	for _, change := range r.changes {
		setOrDelete(s.target.instances, change.Name, change.New)
		s.target.unreleased[change.Name] = true
	}
	for name := range s.target.unreleased {
		if s.releasedState(name).Equal(s.target.instances[name]) {
			delete(s.target.unreleased, name)
		}
	}
}

// activeRollout returns the active rollout, which must be that of the record's revision.
func (s *State) activeRollout(r *Record) (*rollout, error) {
	active := s.rollouts.active
	if active == nil || active.revision != r.Revision {
		return nil, recordErrorf(r, "rollout %d is not the active one", r.Revision)
	}
	return active, nil
}

func (s *State) applyRolloutStarted(r *Record) error {
	queued := s.rollouts.queued
	if s.rollouts.active != nil || len(queued) == 0 || queued[0].revision != r.Revision {
		return recordErrorf(r, "rollout %d is not next", r.Revision)
	}
	active := queued[0]
	s.rollouts.queued = queued[1:]
	s.rollouts.active = active
	s.retarget(active)
	active.phase = Active
	active.waves = r.Waves
	for wave, names := range active.waves {
		for _, name := range names {
			m := &rolloutMember{rollout: active, name: name, wave: wave}
			active.members[name] = m
			if i := s.instances[name]; i != nil {
				i.member = m
			}
		}
	}
	s.indexOutOfService(active)
	s.startWave(active, 0)
	return nil
}

func (s *State) applyWaveFinished(r *Record) error {
	active, err := s.activeRollout(r)
	if err != nil {
		return err
	}
	s.startWave(active, active.wave.index+1)
	return nil
}

// startWave starts a wave. Members that were out of service may have been released before their wave.
func (s *State) startWave(r *rollout, index int) {
	r.wave = waveProgress{
		index:              index,
		nonconforming:      map[string]*rolloutMember{},
		unrecordedFailures: map[string]string{},
	}
	if index >= len(r.waves) {
		return
	}
	for _, name := range r.waves[index] {
		switch m := r.members[name]; {
		case !m.released:
			r.wave.unreleased = append(r.wave.unreleased, name)
		case m.failure != "":
			r.wave.failed++
		case m.conforming:
			r.wave.conforming++
		default:
			m.progress = startedAt(s.now)
			r.wave.nonconforming[name] = m
			s.noteReportedFailure(m)
		}
	}
}

func (s *State) applyPhaseChanged(r *Record) error {
	active := s.rollouts.active
	if active == nil || active.revision != r.Revision {
		if queued := s.rollouts.queuedIndex(r.Revision); queued >= 0 && r.Phase == Aborted {
			s.abortQueued(queued, r.Reason)
			return nil
		}
	}
	active, err := s.activeRollout(r)
	if err != nil {
		return err
	}
	switch r.Phase {
	case Paused:
		active.phase = Paused
		active.reason = r.Reason
	case Active:
		active.phase = Active
		active.reason = r.Reason
		s.retryFailed(active)
	case Done, Aborted:
		s.finishActive(r.Phase, r.Reason)
	}
	return nil
}

// retryFailed clears the failures of a resumed rollout, so that the failed members get the progress deadline once more.
func (s *State) retryFailed(r *rollout) {
	for _, m := range r.members {
		if m.failure == "" {
			continue
		}
		m.failure = ""
		m.conforming = false
		m.progress = startedAt(s.now)
		if m.wave == r.wave.index {
			r.wave.failed--
			r.wave.nonconforming[m.name] = m
		}
		if i := s.instances[m.name]; i != nil {
			s.reindex(i)
		}
	}
	r.failures = 0
	r.wave.soak = timer{}
}

// finishActive ends the active rollout in a final phase.
func (s *State) finishActive(phase Phase, reason string) {
	active := s.rollouts.active
	active.phase = phase
	active.reason = reason
	active.blocked = ""
	for name, m := range active.members {
		i := s.instances[name]
		if i == nil || i.member != m {
			continue
		}
		i.member = nil
		if phase == Done {
			i.availability.hasServed = true
		}
	}
	s.rollouts.active = nil
	s.rollouts.finished = append(s.rollouts.finished, active)
	if len(s.rollouts.finished) > s.limits.MaxRevisions {
		s.rollouts.finished = s.rollouts.finished[1:]
	}
}

// abortQueued aborts a queued rollout. The newest revision still includes its changes, so the next rollout makes them.
func (s *State) abortQueued(index int, reason string) {
	q := s.rollouts.queued[index]
	s.rollouts.queued = slices.Delete(s.rollouts.queued, index, index+1)
	q.phase = Aborted
	q.reason = reason
	s.retarget(q)
	s.rollouts.finished = append(s.rollouts.finished, q)
}

// abortAllRollouts aborts the active and the queued rollouts. The changes of the queued ones become part of the target,
// so that the changes of a rollback are compared with the released state.
func (s *State) abortAllRollouts(reason string) {
	if s.rollouts.active != nil {
		s.finishActive(Aborted, reason)
	}
	for len(s.rollouts.queued) > 0 {
		s.abortQueued(0, reason)
	}
}
