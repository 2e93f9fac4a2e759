package membership

import (
	"cmp"
	"fmt"
	"math"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/timerwheel"
)

// node is the current state and history of one node ID.
type node struct {
	id      string
	inUse   bool         // part of the view
	member  Member       // as last returned to the caller
	upSince clock.Micros // the node's process did not start before this time; 0 if unknown

	removed   bool // was in use and no longer is
	removedAt clock.Micros

	penalty    penalty
	suppressed bool   // kept out of use until the penalty has decayed
	note       string // describes the suppression, for Explain

	timer timerwheel.Timer // marks the node to be merged again
}

// penalty grows with each return of a node and decays exponentially.
type penalty struct {
	value float64
	at    clock.Micros // time to which value refers
}

func (p penalty) decayed(now, halfLife clock.Micros) float64 {
	if halfLife <= 0 {
		return 0
	}
	return p.value * math.Exp2(-float64(now-p.at)/float64(halfLife))
}

// merge combines the entries of all sources for a node; known is false if no source gives its address.
func (s *Set) merge(id string) (m Member, known bool) {
	m = Member{ID: id}
	for i := range s.sources {
		m.State = max(m.State, s.sources[i].retained[id].state)
		e := s.sources[i].entry(id)
		if e == nil {
			continue
		}
		m.State = max(m.State, e.State)
		if e.Addr != "" && !known { // addresses, shard and zone come from the first source that gives an address
			m.Addr = e.Addr
			m.ObjectAddr = cmp.Or(e.ObjectAddr, e.Addr)
			m.Shard = e.Shard
			m.Zone = e.Zone
			known = true
		}
		m.StartedAt = max(m.StartedAt, e.StartedAt)
		m.Kind = cmp.Or(m.Kind, e.Kind)
		m.Capacity = cmp.Or(m.Capacity, e.Capacity)
	}
	if s.excludedByFiles(id) {
		m.State = OutOfService
	}
	return m, known
}

// excludedByFiles reports whether the files act as an allow list that does not name the node.
func (s *Set) excludedByFiles(id string) bool {
	files := &s.sources[Files]
	return s.options.FilesAreAllowList && files.known && files.entry(id) == nil
}

// refresh merges a node again and updates the view. It returns the member, and true if the view has changed.
func (s *Set) refresh(id string) (Member, bool) {
	m, known := s.merge(id)
	usable := known && m.State != OutOfService
	n := s.nodes[id]
	if n == nil {
		if !usable {
			return m, false
		}
		n = s.addNode(id)
	}
	if !usable {
		return s.withdraw(n, known)
	}
	if n.removed && s.suppressReturn(n) {
		return m, false
	}
	return s.publish(n, m)
}

func (s *Set) addNode(id string) *node {
	n := &node{id: id}
	n.penalty.at = s.now
	n.timer.ID = id
	if s.initialized {
		n.upSince = s.now
	}
	s.nodes[id] = n
	return n
}

// withdraw takes a node out of use, which is never delayed. The history of a node that is already out of use is deleted
// after Options.HistoryRetention, unless the node is suppressed.
func (s *Set) withdraw(n *node, known bool) (Member, bool) {
	if n.inUse {
		n.inUse = false
		n.removed = true
		n.removedAt = s.now
		n.member.State = OutOfService
		s.wheel.Set(&n.timer, s.now+s.options.HistoryRetention)
		return n.member, true
	}
	if n.suppressed || n.removed && s.now-n.removedAt < s.options.HistoryRetention {
		s.wheel.Set(&n.timer, max(n.removedAt+s.options.HistoryRetention, s.now+tick))
		n.suppressed = n.suppressed && known
	} else {
		s.wheel.Stop(&n.timer)
		delete(s.nodes, n.id)
	}
	return n.member, false
}

// suppressReturn adds the return of a removed node to its penalty and reports whether the node stays out of use. A
// suppressed node is checked again when its penalty has decayed.
func (s *Set) suppressReturn(n *node) bool {
	current := s.penaltyOf(n)
	threshold := s.options.ReuseThreshold
	if !n.suppressed {
		current++
		n.penalty = penalty{value: current, at: s.now}
		threshold = s.options.SuppressThreshold
	}
	n.suppressed = s.options.SuppressThreshold > 0 && current > threshold
	if !n.suppressed {
		n.note = ""
		n.upSince = s.now
		return false
	}
	n.note = fmt.Sprintf("came back too often: penalty %.1f, stays out until %.1f",
		current, s.options.ReuseThreshold)
	halfLives := math.Log2(current / s.options.ReuseThreshold)
	wait := clock.Micros(float64(s.options.PenaltyHalfLife) * halfLives)
	s.wheel.Set(&n.timer, s.now+wait+2*tick)
	return true
}

func (s *Set) penaltyOf(n *node) float64 { return n.penalty.decayed(s.now, s.options.PenaltyHalfLife) }

// publish puts a usable node into the view. Discovery reports when a node's process started. A node that discovery does
// not list is assumed to have started when it became usable, or when its address or shard changed.
func (s *Set) publish(n *node, m Member) (Member, bool) {
	byDiscovery := s.sources[Discovery].entry(n.id) != nil
	if !byDiscovery {
		m.StartedAt = max(m.StartedAt, n.upSince)
	}
	if n.inUse && n.member == m {
		return m, false
	}
	moved := n.inUse && (n.member.Addr != m.Addr || n.member.Shard != m.Shard)
	if moved && s.initialized && !byDiscovery && m.StartedAt < s.now && n.member.StartedAt == m.StartedAt {
		n.upSince = s.now // a different address or shard means a different process
		m.StartedAt = s.now
	}
	n.inUse = true
	n.removed = false
	n.member = m
	s.wheel.Stop(&n.timer)
	return m, true
}
