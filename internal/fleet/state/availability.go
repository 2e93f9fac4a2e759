package state

// availability determines how an instance counts towards the limit on unavailable instances.
type availability struct {
	hasServed    bool // it has served since it was enabled; an instance counts only from then on
	restarting   bool // its release requires a restart, and it has not been seen serving with the new settings
	counted      bool // included in its agent's counters
	unavailable  bool // counted, and either not known to be serving or about to stop
	outOfService bool // counted, and known to be either not serving or about to stop
}

// availabilityCounters counts the instances of one agent.
type availabilityCounters struct {
	counted     int
	unavailable int // valid only while the agent is not silent
}

// Unavailable returns the number of instances that are not known to be serving or are about to stop, and the total that
// it is taken from: the enabled instances that have served since they were enabled. It visits each agent once.
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

// isUnavailable reports whether Unavailable counts the instance as unavailable.
func (i *instance) isUnavailable() bool {
	return i.availability.counted && (i.availability.unavailable || i.agent.session.silent)
}

// isOutOfService reports whether the instance is known to be out of service, so that a restart takes nothing out of
// service. Unlike isUnavailable it is false for an instance of a silent agent, which may still be serving.
func (i *instance) isOutOfService() bool {
	return i.availability.outOfService && !i.agent.session.silent
}

// reindex updates the counters and sets that depend on an instance. It must be called after each change of the
// instance's release, observation or agent.
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
		i.availability.hasServed = false // once it is enabled again, it counts only after it has served
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

// restartPending reports whether the instance still has to move to another agent or to restart with new start settings.
func (i *instance) restartPending() bool {
	return i.release.desired.Agent != i.agent.name || i.observed.report.StartDigest != i.release.startDigest
}

// addToCounters adds an instance to the counters of its agent. The counters apply only while the agent is not silent:
// Unavailable and isUnavailable treat all counted instances of a silent agent as unavailable.
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

// indexInstance adds an instance to the sets of nonconforming and departed instances, or removes it from them.
func (s *State) indexInstance(i *instance) {
	if i.conforming {
		delete(i.agent.nonconforming, i.name)
	} else {
		i.agent.nonconforming[i.name] = i
	}
	ended := i.observed.known &&
		i.observed.report.Process == ProcessAbsent &&
		!i.agent.session.silent &&
		i.agent.hasAcknowledged(i.name)
	if ended && i.belongsElsewhere() {
		s.departed[i.name] = i
	} else {
		delete(s.departed, i.name)
	}
}
