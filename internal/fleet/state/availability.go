package state

import (
	"maps"
	"slices"
)

// join gives an instance to an agent.
func (s *State) join(i *instance, name string) {
	a := s.agent(name)
	i.agent, i.known, i.seen = a, false, Report{}
	a.insts[i.name] = i
	a.assign(i.name)
}

// leave takes it from its agent.
func (s *State) leave(i *instance) {
	a := i.agent
	s.uncount(i)
	delete(a.insts, i.name)
	delete(a.differ, i.name)
	delete(s.gone, i.name)
	a.assign(i.name) // the next sync tells that it is no longer the agent's
}

// assign notes that the agent has to be told of an instance.
func (a *agent) assign(name string) {
	a.version++
	a.changed[name] = a.version
}

// target is the edition that an instance's broker should hold: that of the last record which changed what it should
// be. A revision's number would not do: a rollout goes on after a node change with a higher number has gone to all, and
// what it then releases must not look older than that.
func (s *State) target(i *instance) uint64 { return max(i.ed, s.nodesEd) }

// retarget follows a node change: it concerns every instance.
func (s *State) retarget() {
	for _, name := range slices.Sorted(maps.Keys(s.inst)) {
		i := s.inst[name]
		if i.want != nil {
			i.agent.assign(name)
		}
		s.weigh(i)
	}
}

// ---- the index

func (s *State) uncount(i *instance) {
	if i.counted {
		i.agent.counted--
		if i.exposed {
			i.agent.exposed--
		}
	}
	i.counted, i.exposed = false, false
}

// current reports whether an instance is known to be as it should be.
func (s *State) current(i *instance) bool {
	a := i.agent
	if !i.known || a.silent || a.changed[i.name] > 0 {
		return false
	}
	switch {
	case i.want == nil:
		return i.seen.Process == Absent
	case i.want.Agent != a.name:
		return false // still to be handed over
	case !i.want.Enabled:
		return i.seen.Process == Stopped
	}
	return i.seen.Process == Running && i.seen.Incarnation != "" && i.seen.AppliedEdition == s.target(i) && i.seen.StartDigest == i.digest
}

// available reports whether an instance is known to serve, as whatever revision.
func (i *instance) available() bool {
	return i.known && !i.agent.silent && i.seen.Process == Running && i.seen.Healthy
}

// weigh brings the counters and sets that an instance takes part in up to date.
func (s *State) weigh(i *instance) {
	s.uncount(i)
	cur, up := s.current(i), i.available()
	if up {
		i.joined = true
	}
	enabled := i.want != nil && i.want.Enabled
	if !enabled && cur {
		i.joined = false // wanted again, it has to come up first
	}
	i.ok = cur && (up || !enabled)
	a := i.agent
	pending := enabled && (i.want.Agent != a.name || i.seen.StartDigest != i.digest)
	if i.ok || up && !pending && a.changed[i.name] == 0 {
		i.disturbed = false
	}
	if i.ok {
		i.prior = nil
	}
	i.free = false
	if enabled && i.joined {
		// A silent agent's are all exposed, which unavailable() adds up without visiting them; what is kept here
		// holds for the time that it is heard.
		i.counted = true
		down := !(i.known && i.seen.Process == Running && i.seen.Healthy)
		i.exposed = i.disturbed || down || pending
		// What counts against the bound may be a guess, but what a further change may be told for free has to be
		// known: an instance nobody hears of may well be serving.
		i.free = i.known && !a.silent && (down || pending)
		a.counted++
		if i.exposed {
			a.exposed++
		}
	}
	if i.ok {
		delete(a.differ, i.name)
	} else {
		a.differ[i.name] = i
	}
	if i.known && !a.silent && a.changed[i.name] == 0 && i.seen.Process == Absent && (i.want == nil || i.want.Agent != a.name) {
		s.gone[i.name] = i
	} else {
		delete(s.gone, i.name)
	}
	if i.member != nil {
		s.note(i.member, i.ok)
	}
}

// Unavailable counts the enabled instances that are not known to serve or are about to stop serving, and all that count.
func (s *State) Unavailable() (out, of int) {
	for _, a := range s.agents {
		of += a.counted
		if a.silent {
			out += a.counted
		} else {
			out += a.exposed
		}
	}
	return out, of
}

// isExposed reports whether an instance is among the unavailable.
func (i *instance) isExposed() bool { return i.counted && (i.exposed || i.agent.silent) }

// isFree reports whether a restart takes nothing out of service that is in it.
func (i *instance) isFree() bool { return i.free && !i.agent.silent }

// ---- what agents are told
