// Package model is a discrete-event simulation of storage nodes, their network, discovery, clients and brokers. A
// Design makes the decisions of a broker; everything else, including the random numbers, is the same for all designs.
package model

import (
	"math"

	"poppyarch/internal/lab/engine"
	"poppyarch/internal/lab/history"
)

// Node is a storage node: a multi-server queue in first-come, first-served order with a limited capacity. It has
// reduced capacity in slow start, and faults can pause it, slow it down, crash it or make it unresponsive or
// unreachable.
type Node struct {
	Cores         int
	Speed         float64 // work per second of one core, in seconds of a core with speed 1
	QueueCapacity int     // requests that may wait; 0 if there is no limit

	id          int32
	name        string
	shard, zone int32
	state       history.State
	startedAt   int64 // last start of its process; 0 if before the run, which makes the node warm

	e                  *engine.Engine
	service            *Service
	slowStart          *SlowStart
	meanWork           float64          // of a request, in microseconds of a core with speed 1
	addInSystem        func(by float64) // called with each change of the number of jobs in service or in the queue
	onOverload         func(n *Node)    // called when the process has crashed because of an overload
	onSlowStartArrival func()           // called for each arrival in slow start; may be nil

	queue              []*Job // those from queueHead on wait
	queueHead          int
	busyCores          int
	epoch              int           // number of its process; events of earlier processes are ignored
	down               bool          // no process is running: connections are refused
	unreachable        bool          // the network drops everything from and to the node
	overloaded         bool          // the process crashed because of an overload
	unresponsive       bool          // completes jobs, but sends no responses
	hung               bool          // starts no jobs
	slowFactor         float64       // factor on the speed; 0 if there is none
	responseLossRate   float64       // fraction of the responses of completed jobs that are lost
	errorRate          float64       // fraction of requests that are answered with an error
	pauseTotal         int64         // duration of all pauses so far, including the rest of the present one
	pausedUntil        int64         // end of the latest pause
	conns              int           // open connections
	cachedKeys         []uint64      // the most recent keys, the latest last
	deferredWork       float64       // of writes, until the next flush
	recentArrivals     []nodeArrival // in slow start, within the overload window
	slowStartPeak      float64       // largest ratio of recent arrivals to poissonBound of the advertised capacity
	advertisedCapacity float64       // of any node at its start according to the settings, in mean requests per window
	served             int           // jobs completed
	open               []*attempt    // attempts whose broker has no outcome yet
	replacement        *Node         // the node that has replaced it, nil if there is none
	relativeCapacity   float64       // cores times speed, relative to the mean of all nodes
}

// nodeArrival is the arrival of an attempt at a node in slow start.
type nodeArrival struct {
	at   int64
	size float64 // work, in requests of mean work
}

// Job is the work of one attempt at a node.
type Job struct {
	Work         float64 // microseconds of a core with speed 1
	key          uint64
	write        bool
	firstAttempt bool // of its request
	done         func()
	cancelled    bool // skipped if it is still in the queue; no effect once it is in service
}

// speedFactor returns the present speed as a fraction of Speed.
func (n *Node) speedFactor() float64 {
	p := 1.0
	if n.slowFactor > 0 {
		p = n.slowFactor
	}
	return p * n.slowStartFraction()
}

// slowStartFraction returns the present capacity as a fraction of a warm node's. It grows linearly during slow start.
func (n *Node) slowStartFraction() float64 {
	if n.slowStart == nil || n.slowStart.Duration == 0 || n.startedAt == 0 {
		return 1
	}
	age := float64(n.e.Now()-n.startedAt) / float64(n.slowStart.Duration.us())
	return min(1, n.slowStart.InitialCapacity+(1-n.slowStart.InitialCapacity)*age)
}

// overloadThreshold returns the capacity in slow start, in requests of mean work per window. The node crashes when the
// arrivals within the window exceed poissonBound of it.
func (n *Node) overloadThreshold() float64 {
	return n.slowStart.OverloadFactor * n.slowStartFraction() * n.Speed * float64(n.Cores) * float64(n.slowStart.Window.us()) / n.meanWork
}

// recordArrival counts an arrival in slow start, whether or not the node then rejects it. If the arrivals within the
// window exceed the capacity, the node's process crashes.
func (n *Node) recordArrival(size float64) {
	if n.slowStart == nil || n.slowStart.OverloadFactor == 0 || n.startedAt == 0 || n.slowStartFraction() >= 1 {
		return
	}
	if n.onSlowStartArrival != nil {
		n.onSlowStartArrival()
	}
	now := n.e.Now()
	n.recentArrivals = append(n.recentArrivals, nodeArrival{now, size / n.meanWork})
	for n.recentArrivals[0].at < now-n.slowStart.Window.us() {
		n.recentArrivals = n.recentArrivals[1:]
	}
	sum := 0.0
	for _, x := range n.recentArrivals {
		sum += x.size
	}
	advertised := n.advertisedCapacity * (1 + (1-n.slowStart.InitialCapacity)/n.slowStart.InitialCapacity*max(0, float64(now-n.startedAt-n.slowStart.Window.us()))/float64(n.slowStart.Duration.us()))
	n.slowStartPeak = max(n.slowStartPeak, sum/poissonBound(advertised))
	if sum > poissonBound(n.overloadThreshold()) {
		n.overloaded = true
		n.stop()
		n.down = true
		n.onOverload(n)
	}
}

// poissonBound returns a bound of the number of random arrivals in a window with a mean of n: three standard deviations
// of the Poisson distribution above the mean, and 3 more for small means.
func poissonBound(n float64) float64 { return n + 3*math.Sqrt(n) + 3 }

// Enqueue starts a job or appends it to the queue. It returns false if the queue is full.
func (n *Node) Enqueue(j *Job) bool {
	if n.QueueCapacity > 0 && n.busyCores >= n.Cores && n.queueLength() >= n.QueueCapacity {
		return false
	}
	n.addInSystem(1)
	if n.busyCores < n.Cores && !n.hung {
		n.startJob(j)
	} else {
		n.queue = append(n.queue, j)
	}
	return true
}

// queueLength returns the number of waiting jobs.
func (n *Node) queueLength() int { return len(n.queue) - n.queueHead }

// effectiveWork returns the work of a job that is about to start: a cached key saves a fraction of it, and a fraction
// of a write's work is deferred to the next flush. The key becomes the latest of the cached ones.
func (n *Node) effectiveWork(j *Job) float64 {
	work := j.Work
	if n.service == nil {
		return work
	}
	if j.write && n.service.DeferredWriteFraction > 0 {
		n.deferredWork += work * n.service.DeferredWriteFraction
		work *= 1 - n.service.DeferredWriteFraction
	}
	if limit := n.service.CachedKeys; limit > 0 && j.key != 0 {
		cached := false
		for i, k := range n.cachedKeys {
			if k == j.key {
				cached = true
				n.cachedKeys = append(n.cachedKeys[:i], n.cachedKeys[i+1:]...)
				break
			}
		}
		if cached && j.firstAttempt {
			work *= 1 - n.service.CacheHitSaving
		}
		if n.cachedKeys = append(n.cachedKeys, j.key); len(n.cachedKeys) > limit {
			n.cachedKeys = n.cachedKeys[1:]
		}
	}
	return work
}

// startJob starts the service of a job on an idle core.
func (n *Node) startJob(j *Job) {
	n.busyCores++
	// A job that starts during a pause is delayed by the rest of the pause only.
	pauseBefore := n.pauseTotal - max(n.pausedUntil-n.e.Now(), 0)
	epoch := n.epoch
	n.e.After(max(int64(n.effectiveWork(j)/(n.Speed*n.speedFactor())), 1), func() { n.completeJob(j, pauseBefore, epoch) })
}

// completeJob completes a job at the end of its service time. If the node has been paused since pauseBefore was taken,
// the job completes later by the duration of these pauses.
func (n *Node) completeJob(j *Job, pauseBefore int64, epoch int) {
	if epoch != n.epoch {
		return
	}
	if paused := n.pauseTotal - pauseBefore; paused > 0 {
		pauseTotal := n.pauseTotal
		n.e.After(paused, func() { n.completeJob(j, pauseTotal, epoch) })
		return
	}
	n.busyCores--
	n.addInSystem(-1)
	n.served++
	if !n.unresponsive && j.done != nil {
		j.done()
	}
	n.startQueued()
}

// startQueued starts waiting jobs on idle cores and drops cancelled ones.
func (n *Node) startQueued() {
	for n.busyCores < n.Cores && n.queueHead < len(n.queue) && !n.hung {
		j := n.queue[n.queueHead]
		n.queue[n.queueHead] = nil
		if n.queueHead++; 2*n.queueHead >= len(n.queue) { // keeps memory proportional to the number of waiting jobs
			n.queue, n.queueHead = append(n.queue[:0], n.queue[n.queueHead:]...), 0
		}
		if j.cancelled {
			n.addInSystem(-1)
			continue
		}
		n.startJob(j)
	}
}

// backlog estimates the work left at the node, in microseconds of a core with speed 1. A job in service counts as half
// of the mean work.
func (n *Node) backlog() float64 {
	sum := float64(n.busyCores) * n.meanWork / 2
	for _, j := range n.queue[n.queueHead:] {
		if !j.cancelled {
			sum += j.Work
		}
	}
	return sum
}

// Pause stops all cores for a duration. A pause that begins during another one is appended to it.
func (n *Node) Pause(d int64) {
	n.pausedUntil = max(n.pausedUntil, n.e.Now()) + d
	n.pauseTotal += d
}

// flush does the deferred work on all cores in parallel, which pauses the node.
func (n *Node) flush() {
	if n.deferredWork > 0 && !n.down && !n.unreachable {
		n.Pause(int64(n.deferredWork / (float64(n.Cores) * n.Speed * n.speedFactor())))
		n.deferredWork = 0
	}
}

// stop ends the node's process. Its jobs, connections and cache are lost.
func (n *Node) stop() {
	n.addInSystem(-float64(n.busyCores + n.queueLength()))
	n.epoch++
	n.queue, n.queueHead, n.busyCores, n.cachedKeys, n.recentArrivals, n.deferredWork, n.conns = nil, 0, 0, nil, nil, 0, 0
}

// start starts a new process, which begins in slow start.
func (n *Node) start() {
	n.down, n.unreachable, n.unresponsive, n.hung, n.overloaded = false, false, false, false, false
	n.startedAt = max(n.e.Now(), 1)
}
