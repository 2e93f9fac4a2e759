package state

import (
	"container/list"
	"fmt"
	"maps"
	"slices"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// agent is one agent with the index of what is its.
type agent struct {
	name   string
	token  uint64
	seq    uint64 // of its last sync
	synced bool   // has told everything since its registration
	silent bool
	at     int64 // of its last sync
	place  *list.Element

	insts   map[string]*instance // that it holds
	counted int                  // of these, enabled and to be counted as available or not
	exposed int                  // of the counted, unavailable or about to be
	differ  map[string]*instance // that are not as they should be

	version uint64            // of its assignments
	acked   uint64            // the version that it says it works by
	changed map[string]uint64 // by instance, the version that changed it, where that is newer than acked
}

// instance is one instance with what is wanted and what is seen.
type instance struct {
	name   string
	want   *spec.Instance // released; nil: it should end
	digest string         // of want.Start
	rev    uint64         // that released want
	ed     uint64         // edition of the release
	prior  *spec.Instance // what was released before, until the change has been carried out
	agent  *agent         // who holds it
	joined bool           // it has been available once: from then on its absence counts
	seen   Report
	at     int64 // of seen
	known  bool  // seen is this agent's word since its registration

	disturbed bool // told to restart, and not yet current again
	counted   bool // the flags below are in the agent's counters
	exposed   bool
	free      bool // it is known to be out of service, or about to be
	ok        bool // current and available, or ended as wanted
	member    *member
}

func (s *State) applyAgent(r *Record) {
	s.token = max(s.token, r.Token)
	a := s.agent(r.Agent)
	a.token, a.seq, a.synced, a.acked = r.Token, 0, false, 0
	if r.KnownEdition > 0 {
		// Its brokers hold editions of a history that this one does not have. What they are told has to count as newer.
		s.edition = max(s.edition, r.KnownEdition) + 1
		for _, i := range a.insts {
			i.ed = s.edition
		}
	}
	for n := range a.insts { // and it has to be told everything
		a.assign(n)
	}
	// Whatever its predecessor said is not its own word: nothing is known until it has told everything.
	for _, i := range a.insts {
		i.known = false
		s.weigh(i)
	}
}

// agent returns the named agent; one that was never heard of is silent.
func (s *State) agent(name string) *agent {
	a := s.agents[name]
	if a == nil {
		a = &agent{name: name, silent: true, insts: map[string]*instance{}, differ: map[string]*instance{},
			changed: map[string]uint64{}}
		s.agents[name] = a
	}
	return a
}

// FleetID names the journal that this state is of; empty: it has not begun.
func (s *State) FleetID() string { return s.fleet }

// Edition counts the records so far. It only rises as long as no history is lost.
func (s *State) Edition() uint64 { return s.edition }

// Register is the record that makes the caller the newest agent of that name. seen is 0, or the highest edition that it
// followed before it came to this fleet.
func (s *State) Register(name string, seen uint64, at int64) *Record {
	return &Record{Kind: RecordAgentRegistered, Agent: name, Token: s.token + 1, KnownEdition: seen, At: at}
}

// Retire is the record of an operator's word that an agent and its machine are gone for good: what it held and should not
// hold is free. Its token ends with it; should it come back all the same, it has to register and is told to let go.
func (s *State) Retire(c *Command, name string, at int64) (*Record, error) {
	if err := s.open(c); err != nil {
		return nil, err
	}
	a := s.agents[name]
	if a == nil {
		return nil, fmt.Errorf("agent %s: %w", name, ErrNotFound)
	}
	if !a.silent {
		return nil, fmt.Errorf("%w: agent %s is heard of; only a silent one can be retired", ErrInvalidState, name)
	}
	return s.fill(&Record{Kind: RecordAgentRetired, Agent: name, Token: s.token + 1}, c, at), nil
}

// applyRetire frees what a retired agent held and should not.
func (s *State) applyRetire(r *Record) error {
	a := s.agents[r.Agent]
	if a == nil {
		return fmt.Errorf("record retire: no agent %q", r.Agent)
	}
	s.token = max(s.token, r.Token)
	a.token, a.synced = r.Token, false // nobody has this one
	for _, name := range slices.Sorted(maps.Keys(a.insts)) {
		i := a.insts[name]
		switch {
		case i.want == nil:
			s.leave(i)
			if m := i.member; m != nil {
				s.note(m, true)
			}
			delete(s.inst, name)
		case i.want.Agent != a.name:
			s.leave(i)
			s.join(i, i.want.Agent)
			s.weigh(i)
		}
	}
	return nil
}

// CheckToken reports whether a token is an agent's newest.
func (s *State) CheckToken(name string, token uint64) error {
	a := s.agents[name]
	if a == nil || a.token == 0 {
		return fmt.Errorf("agent %s: %w: not registered", name, ErrNotFound)
	}
	if token != a.token {
		return fmt.Errorf("agent %s with token %d: %w", name, token, ErrFenced)
	}
	return nil
}

// AgentSync is one call of an agent to its manager with what it has observed.
type AgentSync struct {
	Agent             string
	Token             uint64 // that it got at its registration
	Sequence          uint64 // of the call, counted from 1 since the registration
	AssignmentVersion uint64 // version of its assignments that the reports were made under
	Full              bool   // Reports has every instance of the agent; otherwise those that have changed
	Reports           []Report
}

// Observe applies an agent's reports. An instance whose last change is newer than the reported assignment version is not
// confirmed by its report, however much it looks as wanted. A call whose sequence number is not newer than that of the
// last one is ignored: it arrived late or twice.
//
// Errors are ErrNotFound for an agent that is not registered, ErrFenced for a token that is not the newest, and
// ErrInvalidState for reports of changes before a full report.
func (s *State) Observe(c *AgentSync, now clock.Micros) error {
	if err := s.CheckToken(c.Agent, c.Token); err != nil {
		return err
	}
	s.now = max(s.now, now)
	a := s.agents[c.Agent]
	if c.Sequence <= a.seq {
		return nil
	}
	if !c.Full && !a.synced {
		return fmt.Errorf("agent %s: %w: it has not told everything yet", c.Agent, ErrInvalidState)
	}
	a.seq, a.at = c.Sequence, s.now
	if a.place != nil {
		s.heard.MoveToBack(a.place)
	} else {
		a.place = s.heard.PushBack(a)
	}
	s.observeReports(a, c.Reports)
	if c.Full {
		a.synced = true
		s.observeAbsent(a, c.Reports)
	}
	// After the reports: they say nothing about changes that the agent did not know of.
	s.acknowledge(a, c.AssignmentVersion)
	if a.silent {
		a.silent = false
		for _, i := range a.insts {
			s.weigh(i)
		}
	}
	return nil
}

// observeReports stores what an agent reports. Reports of instances that are not the agent's are ignored.
func (s *State) observeReports(a *agent, reports []Report) {
	for k := range reports {
		i := a.insts[reports[k].Name]
		if i == nil {
			continue
		}
		if i.known && i.seen == reports[k] {
			i.at = s.now
			continue
		}
		i.seen, i.at, i.known = reports[k], s.now, true
		s.weigh(i)
	}
}

// observeAbsent stores that an agent has nothing of the instances that its full report does not mention.
func (s *State) observeAbsent(a *agent, reports []Report) {
	reported := make(map[string]bool, len(reports))
	for k := range reports {
		reported[reports[k].Name] = true
	}
	for name, i := range a.insts {
		if !reported[name] {
			i.seen, i.at, i.known = Report{Name: name, Process: Absent}, s.now, true
			s.weigh(i)
		}
	}
}

// acknowledge notes the version of the assignments that an agent works by.
func (s *State) acknowledge(a *agent, version uint64) {
	version = min(version, a.version)
	if version <= a.acked {
		return
	}
	a.acked = version
	for name, v := range a.changed {
		if v > version {
			continue
		}
		delete(a.changed, name)
		if i := a.insts[name]; i != nil {
			s.weigh(i)
		}
	}
}

// hush turns agents silent that have not been heard of. It touches those and no others.
func (s *State) hush() {
	for e := s.heard.Front(); e != nil; e = s.heard.Front() {
		a := e.Value.(*agent)
		if s.now-a.at < s.lim.AgentTimeout {
			return
		}
		a.silent, a.place = true, nil
		s.heard.Remove(e)
		for _, i := range a.insts {
			if i.member != nil {
				s.weigh(i) // the active wave must not count it as well any more
			}
		}
	}
}
