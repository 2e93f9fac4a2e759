package policy

import (
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// nodeTable holds the nodes that are listed or were removed recently.
type nodeTable struct {
	byName     map[string]*node
	list       []*node
	byShard    map[int][]*node // all nodes under decision.AnyShard
	backlogged []*node         // nodes with queued requests
}

func newNodeTable() nodeTable {
	return nodeTable{byName: map[string]*node{}, byShard: map[int][]*node{}}
}

// node is one storage node as this broker sees it. Latencies and objectives are in seconds.
type node struct {
	decision.Endpoint
	listed    bool
	removedAt time.Duration // when it was removed from the endpoint list, if it is not listed

	flows        []*flow
	flowOf       map[*volume]*flow
	maxStartTag  float64    // highest start tag sent
	maxFinishTag float64    // highest finish tag sent
	inFlight     []*request // sent requests without an outcome
	queuedUnits  float64
	recentSends  rate.SlidingWindow // units sent within the overload window
	lastSendAt   time.Duration      // time of the last send
	pausedUntil  time.Duration      // no request is sent before this time

	estimate
	objective float64 // follows those of sent requests: a shorter one immediately, a longer one gradually
	health    nodeHealth
}

// nodeHealth holds signs of faults of a node, from the outcomes of attempts.
type nodeHealth struct {
	errorRatio         float64       // fraction of its recent responses that were errors
	suspect            bool          // an attempt timed out and none has been served since
	unconfirmedTimeout float64       // latency in seconds of a time-out not yet confirmed as overload; 0 if none
	connectFailures    int           // failed connections since it last served a request
	respondedAt        time.Duration // time of its last response
	presumedStartAt    time.Duration // last sign of a restart that the endpoint list may not show yet; 0 if none
}

// updateEndpoints applies a new endpoint list, or the changed entries of the current one.
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
		if s.overall.shardDemand[n.Shard] == nil {
			s.overall.shardDemand[n.Shard] = &rate.Meter{}
		}
	}
	for _, n := range s.nodes.list {
		s.migrateQueue(n)
	}
}

// updateEndpoint applies one entry of the endpoint list.
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

// newNode returns a node whose initial estimates follow from its capacity and the overall estimates.
func (s *Scheduler) newNode(e *decision.Endpoint) *node {
	capacity := e.RelativeCapacity()
	return &node{
		flowOf:    map[*volume]*flow{},
		objective: s.cfg.Classes[0].LatencyObjective.Seconds(),
		estimate: estimate{
			depth:           min(maxDepth, initialDepth*capacity),
			latency:         s.overall.latency / capacity,
			meanSizeLatency: s.overall.meanSizeLatency / capacity,
		},
	}
}

// acceptsNew reports whether requests may be sent to the node: it is listed and not draining.
func (n *node) acceptsNew() bool { return n.listed && n.State == decision.Ready }

// migrateQueue moves the requests queued for a node that no longer accepts any to other nodes, or rejects
// them.
func (s *Scheduler) migrateQueue(n *node) {
	for _, f := range n.flows {
		for !n.acceptsNew() && len(f.queue) > 0 {
			r := f.queue[0]
			s.dequeue(r)
			s.placeRequest(r)
		}
	}
}
