package policy

import (
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// nodeTable holds the known nodes.
type nodeTable struct {
	byName     map[string]*node
	list       []*node
	byShard    map[int][]*node // decision.AnyShard: all nodes
	backlogged []*node         // those with queued requests
}

func newNodeTable() nodeTable {
	return nodeTable{byName: map[string]*node{}, byShard: map[int][]*node{}}
}

// node is one storage node as this broker sees it. Latencies and objectives are in seconds.
type node struct {
	decision.Endpoint
	listed    bool
	removedAt time.Duration // when it left the list

	flows        []*flow
	flowOf       map[*volume]*flow
	maxStartTag  float64    // highest start tag sent
	maxFinishTag float64    // highest finish tag sent
	inFlight     []*request // sent, no outcome yet
	queuedUnits  float64
	recentSends  rate.SlidingWindow // within the overload window
	lastSendAt   time.Duration      // time of the last send
	pausedUntil  time.Duration      // nothing is sent before

	estimate
	objective float64 // mean latency objective of what was sent
	health    nodeHealth
}

// nodeHealth is what outcomes say of a node's faults.
type nodeHealth struct {
	errorRatio         float64 // part of its recent answers that were errors
	suspect            bool    // an attempt timed out and none has been served since
	unconfirmedTimeout float64 // latency in seconds of a time-out not yet confirmed as load; 0: none
	connectFailures    int     // connections that could not be made since it last served
	respondedAt        time.Duration
	presumedStartAt    time.Duration // sign of a restart that the list does not show yet; 0: none
}

// updateEndpoints applies a new endpoint list or changed entries of it.
func (s *Scheduler) updateEndpoints(ev *decision.Event) {
	s.watch.failures = 0
	if ev.Kind == decision.EndpointsReplaced {
		for _, n := range s.nodes.list {
			n.listed = false
			n.removedAt = s.now
		}
	}
	for i := range ev.Endpoints {
		s.updateEndpoint(&ev.Endpoints[i])
	}
	s.nodes.byShard = map[int][]*node{decision.AnyShard: s.nodes.list}
	for _, n := range s.nodes.list {
		s.nodes.byShard[n.Shard] = append(s.nodes.byShard[n.Shard], n)
		if s.fleet.shardDemand[n.Shard] == nil {
			s.fleet.shardDemand[n.Shard] = &rate.Meter{}
		}
	}
	for _, n := range s.nodes.list {
		s.migrateQueue(n)
	}
}

// updateEndpoint applies one entry of the list.
func (s *Scheduler) updateEndpoint(e *decision.Endpoint) {
	n := s.nodes.byName[e.Node]
	if n == nil {
		n = s.newNode(e)
		s.nodes.byName[e.Node] = n
		s.nodes.list = append(s.nodes.list, n)
	} else if e.StartedAt > n.StartedAt {
		n.depth = 1
	}
	n.Endpoint = *e
	n.listed = e.State != decision.Removed
	n.removedAt = s.now
}

// newNode returns a node with the estimates that its capacity suggests until it is measured.
func (s *Scheduler) newNode(e *decision.Endpoint) *node {
	capacity := e.RelativeCapacity()
	return &node{
		flowOf:    map[*volume]*flow{},
		objective: s.cfg.Classes[0].LatencyObjective.Seconds(),
		estimate: estimate{
			depth:           min(maxDepth, initialDepth*capacity),
			latency:         s.fleet.latency / capacity,
			meanSizeLatency: s.fleet.meanSizeLatency / capacity,
		},
	}
}

// acceptsNew reports whether new work may be sent to the node.
func (n *node) acceptsNew() bool { return n.listed && n.State == decision.Ready }

// migrateQueue places the requests queued for a node that accepts no new work elsewhere, or rejects them.
func (s *Scheduler) migrateQueue(n *node) {
	for _, f := range n.flows {
		for !n.acceptsNew() && len(f.queue) > 0 {
			r := f.queue[0]
			s.dequeue(r)
			s.placeRequest(r)
		}
	}
}
