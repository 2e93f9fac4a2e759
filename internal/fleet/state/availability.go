package state

// availability is an instance's part in the bound on unavailable instances.
type availability struct {
	hasServed    bool // since it was enabled; from then on it counts
	restarting   bool // released with a restart, and not seen to serve with its new settings since
	counted      bool // it is in its agent's counters
	unavailable  bool // counted, and not serving or about to stop
	outOfService bool // counted, and known not to serve or to be about to stop
}

// availabilityCounters sums up the instances of an agent.
type availabilityCounters struct {
	counted     int
	unavailable int // while the agent is not silent
}

// Unavailable returns the number of enabled instances that are not known to serve or are about to stop serving, and the
// number of those that count: enabled ones that have served. It visits each agent once.
func (s *State) Unavailable() (unavailable, total int) {
	for _, a := range s.agents.byName {
		total += a.counters.counted
		if a.session.silent {
			unavailable += a.counters.counted
		} else {
			unavailable += a.counters.unavailable
		}
	}
	return unavailable, total
}

// isUnavailable reports whether an instance is among the unavailable ones.
func (i *instance) isUnavailable() bool {
	return i.availability.counted && (i.availability.unavailable || i.agent.session.silent)
}

// isOutOfService reports whether a restart would take nothing out of service. In contrast to isUnavailable it requires
// knowledge: an instance of a silent agent may well be serving.
func (i *instance) isOutOfService() bool {
	return i.availability.outOfService && !i.agent.session.silent
}

// reindex brings the counters and sets that an instance is part of up to date. It has to be called after each change of
// the instance's release, observation or agent.
func (s *State) reindex(i *instance) {
	i.removeFromCounters()
	current := s.isCurrent(i)
	available := i.isAvailable()
	enabled := i.isEnabled()
	i.conforming = current && (available || !enabled)
	if i.conforming {
		i.release.previous = nil
	}
	if available {
		i.availability.hasServed = true
	}
	if !enabled && current {
		i.availability.hasServed = false // once it is enabled again, it has to come up first
	}
	restartPending := enabled && i.restartPending()
	if i.conforming || available && !restartPending && i.agent.hasAcknowledged(i.name) {
		i.availability.restarting = false
	}
	if enabled && i.availability.hasServed {
		i.addToCounters(restartPending)
	}
	s.indexInstance(i)
	if i.member != nil {
		s.updateMember(i.member, i.conforming)
	}
}

// restartPending reports whether an instance still has to move to another agent or to restart with other settings.
func (i *instance) restartPending() bool {
	return i.release.desired.Agent != i.agent.name || i.observed.report.StartDigest != i.release.startDigest
}

// addToCounters counts an instance. The counters hold while its agent is not silent: Unavailable and isUnavailable take
// all instances of a silent one as unavailable, without a visit to each.
func (i *instance) addToCounters(restartPending bool) {
	down := !i.observed.serving()
	v := &i.availability
	v.counted = true
	v.unavailable = v.restarting || down || restartPending
	v.outOfService = i.observed.known && !i.agent.session.silent && (down || restartPending)
	i.agent.counters.counted++
	if v.unavailable {
		i.agent.counters.unavailable++
	}
}

// removeFromCounters undoes addToCounters.
func (i *instance) removeFromCounters() {
	v := &i.availability
	if v.counted {
		i.agent.counters.counted--
		if v.unavailable {
			i.agent.counters.unavailable--
		}
	}
	v.counted = false
	v.unavailable = false
	v.outOfService = false
}

// indexInstance puts an instance into, or takes it out of, the sets of nonconforming and of departed instances.
func (s *State) indexInstance(i *instance) {
	if i.conforming {
		delete(i.agent.nonconforming, i.name)
	} else {
		i.agent.nonconforming[i.name] = i
	}
	ended := i.observed.known &&
		i.observed.report.Process == Absent &&
		!i.agent.session.silent &&
		i.agent.hasAcknowledged(i.name)
	if ended && i.belongsElsewhere() {
		s.departed[i.name] = i
	} else {
		delete(s.departed, i.name)
	}
}
