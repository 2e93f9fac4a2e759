package state

import (
	"container/list"
	"fmt"
	"maps"
	"slices"
	"sort"

	"poppyarch/internal/fleet/spec"
)

// State is the whole of it. Not safe for use by several goroutines.
type State struct {
	lim Limits
	now int64 // the last time that came in

	// What is wanted.
	fleet     string
	edition   uint64                    // records applied so far
	rev       uint64                    // newest revision
	head      map[string]*spec.Instance // as the newest revision wants it
	base      map[string]*spec.Instance // as the rollout begun last wants it
	behind    map[string]bool           // where what is released differs from base
	configs   map[string]string
	revisions []*Revision
	nodes     []spec.Node // operators' changes, by id
	nodesRev  uint64
	nodesEd   uint64 // edition of the last node change

	// Who carries it out.
	token  uint64
	agents map[string]*agent
	heard  *list.List // of *agent, the longest silent first
	inst   map[string]*instance
	gone   map[string]*instance // that their agents have let go, and that are not theirs any more

	// How it gets there.
	active *rollout
	queue  []*rollout
	past   []*rollout

	commands map[string]Result
	order    []string // of commands, oldest first
}

// Revision is one step of what is wanted.
type Revision struct {
	Rev     uint64      `json:"rev"`
	At      int64       `json:"at"`
	By      string      `json:"by,omitempty"`
	Note    string      `json:"note,omitempty"`
	Command string      `json:"command,omitempty"`
	Back    bool        `json:"back,omitempty"` // a rollback to revision From
	From    uint64      `json:"from,omitempty"`
	Changes []Step      `json:"changes,omitempty"`
	Nodes   []spec.Node `json:"nodes,omitempty"` // as they are from this revision on
}

// Step is one instance's part in a revision.
type Step struct {
	Name string         `json:"name"`
	Old  *spec.Instance `json:"old"`
	New  *spec.Instance `json:"new"`
}

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

// New returns an empty fleet.
func New(lim Limits) *State {
	return &State{lim: lim, head: map[string]*spec.Instance{}, base: map[string]*spec.Instance{}, behind: map[string]bool{},
		configs: map[string]string{}, agents: map[string]*agent{}, heard: list.New(), inst: map[string]*instance{}, gone: map[string]*instance{},
		commands: map[string]Result{}}
}

// Apply takes in a record that is on disk. Records of one journal come in their order; one that does not fit is an
// error, and then the state is not to be used further.
func (s *State) Apply(r *Record) error {
	s.edition++
	switch r.Kind {
	case KindFleet:
		s.fleet = r.Fleet
	case KindAgent:
		s.applyAgent(r)
	case KindRevision:
		if err := s.applyRevision(r); err != nil {
			return err
		}
	case KindNodes:
		if r.Rev != s.rev+1 {
			return fmt.Errorf("record nodes: revision %d after %d", r.Rev, s.rev)
		}
		s.rev, s.nodes, s.nodesRev, s.nodesEd = r.Rev, r.Nodes, r.Rev, s.edition
		s.remember(&Revision{Rev: r.Rev, At: r.At, By: r.By, Note: r.Note, Command: r.Command, Nodes: r.Nodes})
		s.retarget()
	case KindRetire:
		if err := s.applyRetire(r); err != nil {
			return err
		}
	case KindHandover, KindGone:
		if len(r.Names) != 1 || s.inst[r.Names[0]] == nil {
			return fmt.Errorf("record %s: no such instance %q", r.Kind, r.Names)
		}
		i := s.inst[r.Names[0]]
		s.leave(i)
		if r.Kind == KindGone {
			if m := i.member; m != nil {
				s.note(m, true)
			}
			delete(s.inst, i.name)
		} else {
			s.join(i, i.want.Agent)
			s.weigh(i)
		}
	default:
		if err := s.applyRollout(r); err != nil {
			return err
		}
	}
	if r.Command != "" {
		s.recall(r.Command, Result{Rev: r.Rev, Rollout: s.rolloutOf(r)})
	}
	return nil
}

func (s *State) rolloutOf(r *Record) uint64 {
	if r.Kind == KindNodes {
		return 0
	}
	return r.Rev
}

// recall remembers a command's result.
func (s *State) recall(id string, res Result) {
	if _, ok := s.commands[id]; ok {
		return
	}
	s.commands[id] = res
	if s.order = append(s.order, id); len(s.order) > s.lim.Commands {
		delete(s.commands, s.order[0])
		s.order = s.order[1:]
	}
}

// Seen returns the result of a command that has been carried out.
func (s *State) Seen(command string) (Result, bool) {
	r, ok := s.commands[command]
	r.Repeated = ok
	return r, ok && command != ""
}

func (s *State) applyRevision(r *Record) error {
	if r.Rev != s.rev+1 || r.Strategy == nil {
		return fmt.Errorf("record revision: revision %d after %d", r.Rev, s.rev)
	}
	s.rev = r.Rev
	for d, text := range r.Configs {
		s.configs[d] = text
	}
	if r.WithNodes {
		s.nodes, s.nodesRev, s.nodesEd = r.Nodes, r.Rev, s.edition
		s.retarget()
	}
	v := &Revision{Rev: r.Rev, At: r.At, By: r.By, Note: r.Note, Command: r.Command, Back: r.Back, From: r.From, Nodes: s.nodes}
	for _, c := range r.Set {
		v.Changes = append(v.Changes, Step{Name: c.Name, Old: s.head[c.Name], New: c.To})
		if c.To == nil {
			delete(s.head, c.Name)
		} else {
			s.head[c.Name] = c.To
		}
	}
	s.remember(v)
	if r.Back { // a way back ends all that was on its way forward
		reason := fmt.Sprintf("superseded by the rollback to revision %d", r.From)
		if s.active != nil {
			s.end(Aborted, reason)
		}
		for _, q := range s.queue {
			// Their changes are undone by this revision's own; so that they are weighed against what is released,
			// they count as begun.
			s.advance(q)
			q.phase, q.reason = Aborted, reason
			s.past = append(s.past, q)
		}
		s.queue = nil
	}
	s.queue = append(s.queue, &rollout{rev: r.Rev, strategy: *r.Strategy, steps: v.Changes, phase: Queued, at: r.At,
		members: map[string]*member{}})
	return nil
}

// remember keeps a revision and forgets the oldest, with configuration texts that nothing names any more.
func (s *State) remember(v *Revision) {
	s.revisions = append(s.revisions, v)
	if len(s.revisions) <= s.lim.Revisions {
		return
	}
	s.revisions = slices.Clone(s.revisions[len(s.revisions)-s.lim.Revisions:])
	used := map[string]bool{}
	mark := func(i *spec.Instance) {
		if i != nil {
			used[i.Start.Config] = true
		}
	}
	for _, i := range s.head {
		mark(i)
	}
	for _, i := range s.inst {
		mark(i.want)
		mark(i.prior)
	}
	for _, v := range s.revisions {
		for _, c := range v.Changes {
			mark(c.Old)
			mark(c.New)
		}
	}
	maps.DeleteFunc(s.configs, func(d, _ string) bool { return !used[d] })
}

// At is the fleet as revision rev wanted it, with the operators' node changes of that time.
func (s *State) At(rev uint64) (map[string]*spec.Instance, []spec.Node, error) {
	first := s.rev + 1
	if len(s.revisions) > 0 {
		first = s.revisions[0].Rev
	}
	if rev > s.rev || rev+1 < first {
		return nil, nil, fmt.Errorf("revision %d: %w (%d to %d are kept)", rev, ErrUnknown, max(first, 1)-1, s.rev)
	}
	out := maps.Clone(s.head)
	nodes := []spec.Node(nil)
	for k := len(s.revisions) - 1; k >= 0; k-- {
		v := s.revisions[k]
		if v.Rev <= rev {
			nodes = v.Nodes
			break
		}
		for _, c := range v.Changes {
			if c.Old == nil {
				delete(out, c.Name)
			} else {
				out[c.Name] = c.Old
			}
		}
	}
	return out, nodes, nil
}

// ---- agents

func (s *State) applyAgent(r *Record) {
	s.token = max(s.token, r.Token)
	a := s.agent(r.Agent)
	a.token, a.seq, a.synced, a.acked = r.Token, 0, false, 0
	if r.Seen > 0 {
		// Its brokers hold editions of a history that this one does not have. What they are told has to count as newer.
		s.edition = max(s.edition, r.Seen) + 1
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

// Fleet names the journal that this state is of; empty: it has not begun.
func (s *State) Fleet() string { return s.fleet }

// Edition counts the records so far. It only rises as long as no history is lost.
func (s *State) Edition() uint64 { return s.edition }

// Register is the record that makes the caller the newest agent of that name. seen is 0, or the highest edition that it
// followed before it came to this fleet.
func (s *State) Register(name string, seen uint64, at int64) *Record {
	return &Record{Kind: KindAgent, Agent: name, Token: s.token + 1, Seen: seen, At: at}
}

// Retire is the record of an operator's word that an agent and its machine are gone for good: what it held and should not
// hold is free. Its token ends with it; should it come back all the same, it has to register and is told to let go.
func (s *State) Retire(c *Command, name string, at int64) (*Record, error) {
	if err := s.open(c); err != nil {
		return nil, err
	}
	a := s.agents[name]
	if a == nil {
		return nil, fmt.Errorf("agent %s: %w", name, ErrUnknown)
	}
	if !a.silent {
		return nil, fmt.Errorf("%w: agent %s is heard of; only a silent one can be retired", ErrState, name)
	}
	return s.fill(&Record{Kind: KindRetire, Agent: name, Token: s.token + 1}, c, at), nil
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

// Check reports whether a token is an agent's newest.
func (s *State) Check(name string, token uint64) error {
	a := s.agents[name]
	if a == nil || a.token == 0 {
		return fmt.Errorf("agent %s: %w: not registered", name, ErrUnknown)
	}
	if token != a.token {
		return fmt.Errorf("agent %s with token %d: %w", name, token, ErrFenced)
	}
	return nil
}

// Observe takes in what an agent reports. full says that it is all there is; other reports are what has changed.
// have is the version of its assignments that the reports were made under: what it had not yet been told then, it cannot
// have carried out, however much its instance looks like it. A call that is not newer than the last one is an old one
// that comes late, and changes nothing.
func (s *State) Observe(name string, token, seq, have uint64, full bool, reports []Report, now int64) error {
	if err := s.Check(name, token); err != nil {
		return err
	}
	s.now = max(s.now, now)
	a := s.agents[name]
	if seq <= a.seq {
		return nil
	}
	if !full && !a.synced {
		return fmt.Errorf("agent %s: %w: it has not told everything yet", name, ErrState)
	}
	a.seq, a.at = seq, s.now
	if a.place != nil {
		s.heard.MoveToBack(a.place)
	} else {
		a.place = s.heard.PushBack(a)
	}
	told := map[string]bool{}
	for k := range reports {
		i := a.insts[reports[k].Name]
		if full {
			told[reports[k].Name] = true
		}
		if i == nil {
			continue // not its business; it will be told so
		}
		if i.known && i.seen == reports[k] {
			i.at = s.now
			continue
		}
		i.seen, i.at, i.known = reports[k], s.now, true
		s.weigh(i)
	}
	if full {
		a.synced = true
		for n, i := range a.insts {
			if !told[n] { // it has nothing of it
				i.seen, i.at, i.known = Report{Name: n, Proc: Absent}, s.now, true
				s.weigh(i)
			}
		}
	}
	// After the reports: what was seen before it was told is no word on it.
	if have = min(have, a.version); have > a.acked {
		a.acked = have
		for n, v := range a.changed {
			if v > have {
				continue
			}
			delete(a.changed, n)
			if i := a.insts[n]; i != nil {
				s.weigh(i)
			}
		}
	}
	if a.silent {
		a.silent = false
		for _, i := range a.insts { // whoever was weighed as unknown is known again
			s.weigh(i)
		}
	}
	return nil
}

// hush turns agents silent that have not been heard of. It touches those and no others.
func (s *State) hush() {
	for e := s.heard.Front(); e != nil; e = s.heard.Front() {
		a := e.Value.(*agent)
		if s.now-a.at < s.lim.Silence {
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
		return i.seen.Proc == Absent
	case i.want.Agent != a.name:
		return false // still to be handed over
	case !i.want.Enabled:
		return i.seen.Proc == Stopped
	}
	return i.seen.Proc == Running && i.seen.Boot != "" && i.seen.Applied == s.target(i) && i.seen.Started == i.digest
}

// available reports whether an instance is known to serve, as whatever revision.
func (i *instance) available() bool {
	return i.known && !i.agent.silent && i.seen.Proc == Running && i.seen.Healthy
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
	pending := enabled && (i.want.Agent != a.name || i.seen.Started != i.digest)
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
		down := !(i.known && i.seen.Proc == Running && i.seen.Healthy)
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
	if i.known && !a.silent && a.changed[i.name] == 0 && i.seen.Proc == Absent && (i.want == nil || i.want.Agent != a.name) {
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

// Assignment is what an agent shall make of one instance.
type Assignment struct {
	Name   string         `json:"name"`
	Want   *spec.Instance `json:"want"`           // nil: end it
	Target uint64         `json:"target"`         // edition that its broker shall hold
	Rev    uint64         `json:"rev"`            // revision that it is of
	Drop   bool           `json:"drop,omitempty"` // it is another's: forget it once it has ended
	Keep   bool           `json:"keep,omitempty"` // it will be this agent's, in its turn: leave it as it is
}

// Assignments lists what has changed for an agent since the version that it holds, and the version that this brings it
// to. With have 0 the list is all there is: what is not in it is the agent's no longer.
func (s *State) Assignments(name string, have uint64) (out []Assignment, version uint64) {
	a := s.agents[name]
	if a == nil {
		return nil, 0
	}
	if have == 0 {
		for _, i := range a.insts {
			out = append(out, s.assignment(i))
		}
		// An agent that comes from another fleet, or whose manager has lost history, may run what this one wants but has not
		// released yet. It is not to end that.
		for n, i := range s.head {
			if i.Agent == name && s.inst[n] == nil {
				out = append(out, Assignment{Name: n, Keep: true})
			}
		}
	} else {
		for n, v := range a.changed {
			if v <= have {
				continue
			}
			as := Assignment{Name: n, Drop: true}
			if i := a.insts[n]; i != nil {
				as = s.assignment(i)
			}
			out = append(out, as)
		}
	}
	sort.Slice(out, func(x, y int) bool { return out[x].Name < out[y].Name })
	return out, a.version
}

func (s *State) assignment(i *instance) Assignment {
	if i.want == nil || i.want.Agent != i.agent.name {
		return Assignment{Name: i.name, Drop: true}
	}
	return Assignment{Name: i.name, Want: i.want, Target: s.target(i), Rev: i.rev}
}

// NodeChanges are the operators' changes to the node list, and the revision they are of.
func (s *State) NodeChanges() ([]spec.Node, uint64) { return s.nodes, s.nodesRev }

// Config returns a configuration text by its digest.
func (s *State) Config(digest string) (string, bool) {
	t, ok := s.configs[digest]
	return t, ok
}
