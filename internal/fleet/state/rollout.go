package state

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"poppyarch/internal/fleet/spec"
)

// rollout carries one revision to the instances, wave by wave.
type rollout struct {
	rev      uint64
	strategy Strategy
	steps    []Step
	phase    Phase
	reason   string
	at       int64

	waves    [][]string
	wave     int // the one under way
	members  map[string]*member
	pending  []string        // of this wave, not yet released; what restarts nothing comes first
	urgent   map[string]bool // of all waves, not yet released and already out of service: their change costs nothing
	wanting  map[string]*member
	suspect  map[string]string // released members that have failed, with the reason, not yet recorded
	fine     int               // members of this wave that are as they should be
	lost     int               // and that have failed
	failures int               // over all waves
	okSince  int64             // all of the wave has been well since then; -1: it is not
	blocked  string            // why nothing is released at the moment
}

// member is one instance in a rollout.
type member struct {
	r        *rollout
	name     string
	wave     int
	released bool
	failed   string // why
	ok       bool
	at       int64 // of its release, or when it was last lost; -1: before the manager's last start
}

// Waves cuts changes into waves: a canary, then batches. The canary is of the domain with the most changes, so that it
// stands for as many as possible. With byDomain a wave stays in one failure domain. Within a wave, what takes nothing
// out of service comes first.
func Waves(changes []spec.Change, st *Strategy) (waves [][]string) {
	if len(changes) == 0 {
		return nil
	}
	all := slices.Clone(changes)
	domain := func(c *spec.Change) string {
		if c.New != nil {
			return c.New.FailureDomain()
		}
		return c.Old.FailureDomain()
	}
	size := map[string]int{}
	for k := range all {
		size[domain(&all[k])]++
	}
	sort.Slice(all, func(x, y int) bool {
		a, b := domain(&all[x]), domain(&all[y])
		if a != b && size[a] != size[b] {
			return size[a] > size[b]
		}
		if a != b {
			return a < b
		}
		return all[x].Name < all[y].Name
	})
	if n := min(st.Canary, len(all)); n > 0 {
		waves = append(waves, names(all[:n]))
		all = all[n:]
	}
	batch := max(st.Batch.Of(len(changes)), 1)
	for len(all) > 0 {
		n := min(batch, len(all))
		if st.OneDomainPerWave {
			for k := 1; k < n; k++ {
				if domain(&all[k]) != domain(&all[0]) {
					n = k
				}
			}
		}
		waves = append(waves, names(all[:n]))
		all = all[n:]
	}
	return waves
}

func names(list []spec.Change) (out []string) {
	list = slices.Clone(list)
	sort.SliceStable(list, func(x, y int) bool { return !disruptive(&list[x]) && disruptive(&list[y]) })
	for k := range list {
		out = append(out, list[k].Name)
	}
	return out
}

// disruptive reports whether a change takes a serving process down.
func disruptive(c *spec.Change) bool {
	return c.Old != nil && c.Old.Enabled && c.New != nil && c.New.NeedsRestart(c.Old)
}

// changesFor lists what a rollout has to do, seen from what is released now: its own steps, and what aborted ones
// before it have left behind.
func (s *State) changesFor(r *rollout) (out []spec.Change) {
	to := map[string]*spec.Instance{}
	for name := range s.behind {
		to[name] = s.base[name]
	}
	for _, st := range r.steps {
		to[st.Name] = st.New
	}
	for name, want := range to {
		var now *spec.Instance
		if i := s.inst[name]; i != nil {
			now = i.want
		}
		if c := spec.Compare(now, want); c != nil {
			out = append(out, *c)
		}
	}
	sort.Slice(out, func(x, y int) bool { return out[x].Name < out[y].Name })
	return out
}

// advance makes a rollout's revision the one that what is released is compared with.
func (s *State) advance(r *rollout) {
	for _, st := range r.steps {
		if st.New == nil {
			delete(s.base, st.Name)
		} else {
			s.base[st.Name] = st.New
		}
		s.behind[st.Name] = true
	}
	for name := range s.behind {
		var now *spec.Instance
		if i := s.inst[name]; i != nil {
			now = i.want
		}
		if now.Equal(s.base[name]) {
			delete(s.behind, name)
		}
	}
}

// applyRollout takes in the records of the active rollout.
func (s *State) applyRollout(r *Record) error {
	if r.Kind == RecordRolloutStarted {
		if s.active != nil || len(s.queue) == 0 || s.queue[0].rev != r.Revision {
			return fmt.Errorf("record begin: rollout %d is not next", r.Revision)
		}
		a := s.queue[0]
		s.queue, s.active = s.queue[1:], a
		s.advance(a)
		a.phase, a.waves = Active, r.Waves
		for w, list := range a.waves {
			for _, name := range list {
				m := &member{r: a, name: name, wave: w, at: -1}
				a.members[name] = m
				if i := s.inst[name]; i != nil {
					i.member = m
				}
			}
		}
		s.findUrgent()
		s.startWave(0)
		return nil
	}
	a := s.active
	if a == nil || a.rev != r.Revision {
		// A queued one may be aborted before its turn.
		for k, q := range s.queue {
			if r.Kind == RecordPhaseChanged && r.Phase == Aborted && q.rev == r.Revision {
				s.queue = slices.Delete(s.queue, k, k+1)
				q.phase, q.reason = Aborted, r.Reason
				s.advance(q) // its content is in the newest revision, so the next rollout brings it
				s.past = append(s.past, q)
				return nil
			}
		}
		return fmt.Errorf("record %s: rollout %d is not the active one", r.Kind, r.Revision)
	}
	switch r.Kind {
	case RecordInstancesReleased:
		for _, name := range r.Instances {
			m := a.members[name]
			if m == nil || m.released {
				return fmt.Errorf("record release: %s cannot be released", name)
			}
			s.release(m)
		}
		a.pending = slices.DeleteFunc(a.pending, func(n string) bool { return a.members[n].released })
	case RecordInstanceFailed:
		for _, name := range r.Instances {
			m := a.members[name]
			if m == nil || m.failed != "" {
				continue
			}
			m.failed = r.Reason
			a.failures++
			delete(a.suspect, name)
			delete(a.wanting, name)
			if m.wave == a.wave {
				if m.ok {
					a.fine--
				}
				a.lost++
			}
		}
	case RecordWaveFinished:
		s.startWave(a.wave + 1)
	case RecordPhaseChanged:
		switch r.Phase {
		case Paused, Active:
			a.phase, a.reason = r.Phase, r.Reason
			if r.Phase == Active { // what has failed gets another chance
				for _, m := range a.members {
					if m.failed != "" {
						m.failed, m.ok, m.at = "", false, s.now
						if m.wave == a.wave {
							a.lost--
							a.wanting[m.name] = m
						}
						if i := s.inst[m.name]; i != nil {
							s.weigh(i)
						}
					}
				}
				a.failures, a.okSince = 0, -1
			}
		case Done, Aborted:
			s.end(r.Phase, r.Reason)
		}
	default:
		return fmt.Errorf("record %q: unknown kind", r.Kind)
	}
	return nil
}

// end closes the active rollout.
func (s *State) end(p Phase, reason string) {
	a := s.active
	a.phase, a.reason, a.blocked = p, reason, ""
	for name, m := range a.members {
		if i := s.inst[name]; i != nil && i.member == m {
			i.member = nil
			i.joined = i.joined || p == Done
		}
	}
	s.active = nil
	if s.past = append(s.past, a); len(s.past) > s.lim.MaxRevisions {
		s.past = s.past[1:]
	}
}

// startWave turns to a wave. Some of it may have been released ahead of it, as repairs.
func (s *State) startWave(w int) {
	a := s.active
	a.wave, a.fine, a.lost, a.okSince = w, 0, 0, -1
	a.pending, a.wanting, a.suspect = nil, map[string]*member{}, map[string]string{}
	if w >= len(a.waves) {
		return
	}
	for _, name := range a.waves[w] {
		switch m := a.members[name]; {
		case !m.released:
			a.pending = append(a.pending, name)
		case m.failed != "":
			a.lost++
		case m.ok:
			a.fine++
		default:
			m.at = s.now
			a.wanting[name] = m
			if i := s.inst[name]; i != nil {
				s.note(m, false)
			}
		}
	}
}

// findUrgent fills the set of members that are out of service anyway.
func (s *State) findUrgent() {
	a := s.active
	a.urgent = map[string]bool{}
	for name, m := range a.members {
		if i := s.inst[name]; i != nil && !m.released && i.isFree() {
			a.urgent[name] = true
		}
	}
}

// release has a member change.
func (s *State) release(m *member) {
	to := s.base[m.name]
	i := s.inst[m.name]
	delete(s.behind, m.name)
	delete(m.r.urgent, m.name)
	m.released, m.at = true, s.now
	if m.at == 0 {
		m.at = -1
	}
	if m.wave == m.r.wave {
		m.r.wanting[m.name] = m
	}
	if i == nil {
		if to == nil { // it has gone meanwhile
			s.note(m, true)
			return
		}
		i = &instance{name: m.name}
		s.inst[m.name] = i
		s.join(i, to.Agent)
	}
	s.uncount(i)
	i.member, i.prior = m, i.want
	// One that was told to end and is wanted again may already be on its way out: it goes the whole way round.
	i.disturbed = i.disturbed || to != nil && to.NeedsRestart(i.want) && i.joined
	i.want, i.rev, i.ed = to, m.r.rev, s.edition
	i.digest = ""
	if to != nil {
		i.digest = to.Start.Digest()
	}
	i.agent.assign(i.name)
	s.weigh(i)
}

// note takes in that a member is, or is not, as it should be.
func (s *State) note(m *member, ok bool) {
	r := m.r
	if !m.released {
		if i := s.inst[m.name]; i != nil {
			if i.isFree() {
				r.urgent[m.name] = true
			} else {
				delete(r.urgent, m.name)
			}
		}
		return
	}
	if m.failed != "" || m.wave > r.wave {
		m.ok = ok
		return
	}
	if i := s.inst[m.name]; i != nil && !ok && i.known && i.agent.changed[i.name] == 0 { // it speaks of this change
		switch {
		case i.want != nil && i.seen.RejectedEdition != 0 && i.seen.RejectedEdition == s.target(i):
			r.suspect[m.name] = "turned down by the broker: " + i.seen.Error
		case i.seen.Flapping:
			r.suspect[m.name] = fmt.Sprintf("crashed %d times: %s", i.seen.Crashes, i.seen.Error)
		}
	}
	if ok == m.ok {
		return
	}
	m.ok = ok
	if m.wave < r.wave { // its wave is over; that it fails later counts all the same, see above
		if ok {
			delete(r.suspect, m.name)
		}
		return
	}
	if ok {
		r.fine++
		delete(r.wanting, m.name)
		delete(r.suspect, m.name)
		return
	}
	r.fine--
	r.okSince = -1
	m.at = s.now
	r.wanting[m.name] = m
}

// Step says what has become due by now, as records. The caller writes and applies them, in order, and asks again until
// there are none. Where one cannot be written, nothing has happened and the next Step says so again.
func (s *State) Step(now int64) []*Record {
	s.now = max(s.now, now)
	s.hush()
	if out := s.ended(); len(out) > 0 {
		return out
	}
	a := s.active
	if a == nil {
		if len(s.queue) == 0 {
			return nil
		}
		q := s.queue[0]
		return []*Record{{Kind: RecordRolloutStarted, Revision: q.rev, Waves: Waves(s.changesFor(q), &q.strategy)}}
	}
	if a.phase != Active {
		return nil
	}
	if out := s.failures(); len(out) > 0 {
		return out
	}
	if budget := a.strategy.FailureBudget.Of(len(a.members)); a.failures > budget {
		reason := fmt.Sprintf("%d of %d instances failed, more than %d", a.failures, len(a.members), budget)
		if a.strategy.OnFailure == "rollback" {
			if r, err := s.rollback(a.rev-1, a.strategy, false); err == nil && r != nil {
				r.Note, r.Author = reason, "rollout"
				return []*Record{r}
			}
		}
		return []*Record{{Kind: RecordPhaseChanged, Revision: a.rev, Phase: Paused, Reason: reason}}
	}
	if a.wave >= len(a.waves) {
		return []*Record{{Kind: RecordPhaseChanged, Revision: a.rev, Phase: Done}}
	}
	if r := s.releases(); r != nil {
		return []*Record{r}
	}
	if len(a.pending) == 0 && a.fine+a.lost >= len(a.waves[a.wave]) {
		if a.okSince < 0 {
			a.okSince = s.now
		}
		if s.now-a.okSince >= a.strategy.SoakTime {
			return []*Record{{Kind: RecordWaveFinished, Revision: a.rev}}
		}
	}
	return nil
}

// ended finds instances that their agents have let go.
func (s *State) ended() (out []*Record) {
	for _, name := range slices.Sorted(maps.Keys(s.gone)) {
		i := s.gone[name]
		kind := RecordInstanceHandedOver
		if i.want == nil {
			kind = RecordInstanceRemoved
		}
		out = append(out, &Record{Kind: kind, Instances: []string{name}})
	}
	return out
}

// failures finds members of the wave that have failed.
func (s *State) failures() (out []*Record) {
	a := s.active
	for _, name := range slices.Sorted(maps.Keys(a.suspect)) {
		out = append(out, &Record{Kind: RecordInstanceFailed, Revision: a.rev, Instances: []string{name}, Reason: a.suspect[name]})
	}
	if len(out) > 0 {
		return out
	}
	var late []string
	for name, m := range a.wanting {
		if m.at < 0 {
			m.at = s.now // the manager has just come back: its time starts anew
		}
		if s.now-m.at >= a.strategy.ProgressDeadline {
			late = append(late, name)
		}
	}
	slices.Sort(late)
	for _, name := range late {
		out = append(out, &Record{Kind: RecordInstanceFailed, Revision: a.rev, Instances: []string{name}, Reason: "not current in time: " + s.why(s.inst[name])})
	}
	return out
}

// releases picks what of the wave may change now: what takes nothing out of service, what is out of service
// anyway, and beyond that as many as the bound leaves. Where the bound leaves none, what is out of service in
// later waves is let through ahead of them: its change may well be what mends it, and without it nothing would move.
func (s *State) releases() *Record {
	a := s.active
	a.blocked = ""
	out, of := s.Unavailable()
	most := max(a.strategy.MaxUnavailable.Of(of), 1)
	var list, later []string
	for _, name := range slices.Sorted(maps.Keys(a.urgent)) {
		if a.members[name].wave != a.wave {
			later = append(later, name)
		} else if len(list) < s.lim.MaxReleases {
			list = append(list, name)
		}
	}
	for _, name := range a.pending {
		if len(list) >= s.lim.MaxReleases {
			break
		}
		if a.urgent[name] {
			continue
		}
		i, to := s.inst[name], s.base[name]
		if i != nil && i.counted && to != nil && to.NeedsRestart(i.want) {
			if !i.isExposed() {
				out++
			}
			if out > most {
				a.blocked = fmt.Sprintf("%d of %d instances are unavailable or would be, at most %d may", out, of, most)
				break
			}
		}
		list = append(list, name)
	}
	if len(list) == 0 && a.blocked != "" && len(a.wanting) == 0 && len(later) > 0 {
		list = later[:min(len(later), s.lim.MaxReleases)]
	}
	if len(list) == 0 {
		return nil
	}
	return &Record{Kind: RecordInstancesReleased, Revision: a.rev, Instances: list}
}

// rollback is the record that brings the fleet back to an earlier revision, or nil where nothing would change.
func (s *State) rollback(to uint64, st Strategy, withNodes bool) (*Record, error) {
	old, nodes, err := s.FleetAt(to)
	if err != nil {
		return nil, err
	}
	st.OnFailure = "pause" // a way back that fails must not lead forward again by itself
	r := &Record{Kind: RecordRevisionCreated, Revision: s.rev + 1, Strategy: &st, IsRollback: true, RollbackTo: to}
	for _, c := range spec.Diff(s.head, old) {
		r.Changes = append(r.Changes, InstanceChange{c.Name, c.New})
	}
	if withNodes && !slices.Equal(nodes, s.nodes) {
		r.Nodes, r.WithNodes = nodes, true
	}
	if len(r.Changes) == 0 && !r.WithNodes && s.active == nil && len(s.queue) == 0 && len(s.behind) == 0 {
		return nil, nil
	}
	return r, nil
}
