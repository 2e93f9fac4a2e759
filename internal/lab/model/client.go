package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/history"
)

// scheduleRequest schedules a volume's requests, one after the other, until its rate changes.
func (r *run) scheduleRequest(v *volume, gen int) {
	wait := v.random.ExpFloat64() * 1e6 / (v.rate * v.rateFactor * r.loadFactor)
	r.e.After(int64(wait), func() {
		if v.rateGeneration == gen && !r.loadEnded() {
			r.generateRequest(v)
			r.scheduleRequest(v, gen)
		}
	})
}

// startClients starts the arrivals of requests. They are an open Poisson process: clients do not wait for responses.
func (r *run) startClients() {
	r.drawWork = r.s.Load.work(r.e.Stream("work"))
	if len(r.s.Plans) > 0 {
		for _, v := range r.volumes {
			r.scheduleRequest(v, v.rateGeneration)
			if len(v.brokers) > 1 && r.s.Load.PrimaryShiftInterval > 0 {
				r.startPrimaryShifts(v)
			}
		}
		return
	}
	rng := r.e.Stream("arrivals")
	v := r.volumes[0]
	at := 0.0 // not rounded to microseconds, which would change the rate where interarrival times are short
	var next func()
	next = func() {
		if r.loadEnded() {
			return
		}
		r.generateRequest(v)
		at += rng.ExpFloat64() * 1e6 / (r.s.Load.Rate * v.rateFactor * r.loadFactor)
		r.e.At(int64(at), next)
	}
	at = rng.ExpFloat64() * 1e6 / r.s.Load.Rate
	r.e.At(int64(at), next)
}

// startPrimaryShifts schedules the moves of a volume's primary to its next broker.
func (r *run) startPrimaryShifts(v *volume) {
	rng := r.e.Stream("shifts of " + v.name)
	var next func()
	next = func() {
		r.e.After(int64(rng.ExpFloat64()*float64(r.s.Load.PrimaryShiftInterval.us())), func() {
			v.primary = (v.primary + 1) % len(v.brokers)
			next()
		})
	}
	next()
}

// generateRequest draws a new request of a client and sends it.
func (r *run) generateRequest(v *volume) {
	q := &request{firstSentAt: r.e.Now(), volume: v, work: r.drawWork(), units: meanUnits}
	rng := r.clientRandom
	if len(r.classes) > 1 {
		x := rng.Float64() * r.shareSum
		for int(q.class) < len(r.classes)-1 && x >= r.classes[q.class].Share {
			x -= r.classes[q.class].Share
			q.class++
		}
	}
	class := &r.classes[q.class]
	if class.WorkFactor > 0 {
		q.work *= class.WorkFactor
	}
	if v.random != nil {
		q.units = math.Min(maxUnits, math.Max(1, math.Round(meanUnits*q.work/r.meanWork)))
	}
	r.chooseObject(q, rng)
	now := r.e.Now()
	valueFactor := 1.0
	if v.random != nil {
		q.withinReserve = v.reserve.take(now, q.units)
		switch {
		case q.withinReserve:
		case v.burst.take(now, q.units):
			valueFactor = r.s.Rules.BurstValueFactor
		default:
			valueFactor = r.s.Rules.ExcessValueFactor
		}
	}
	q.value = class.PriorityWeight * r.config.Plans[v.plan].PriceFactor * valueFactor * q.units
	r.offeredValue.add(now, q.value)
	r.arrivals.Add(now, 1)
	r.requests++
	if q.withinReserve {
		r.offeredReservedValue += q.value
	}
	r.sendToBroker(q, r.clientRandom)
}

// chooseObject sets the key and the shard of a request. A new object has no shard (-1).
func (r *run) chooseObject(q *request, rng *rand.Rand) {
	v := q.volume
	if len(v.shards) == 0 || r.classes[q.class].Writes {
		q.shard = -1
		if v.random != nil {
			r.lastKey++
			q.key = r.lastKey
		}
		return
	}
	// The number of draws must not depend on the writes so far, which depend on the design.
	reread, writeIndex, shardIndex, key := rng.Float64(), rng.IntN(len(v.recentWrites)), rng.IntN(len(v.shards)), rng.IntN(64)
	if v.writeCount > 0 && reread < r.s.Load.RereadFraction {
		p := v.recentWrites[writeIndex%min(v.writeCount, len(v.recentWrites))]
		q.key, q.shard = p.key, p.shard
		return
	}
	q.shard = v.shards[shardIndex]
	q.key = 1<<62 | uint64(v.id)<<16 | uint64(shardIndex)<<8 | uint64(key)
}

// sendToBroker sends a request to one of its volume's brokers, or hands it to the run's sink if there is one.
func (r *run) sendToBroker(q *request, rng *rand.Rand) {
	v := q.volume
	i := 0
	if n := len(v.brokers); n > 1 {
		i = r.chooseBroker(v, rng)
	}
	if r.sink != nil {
		r.sink(q, v.brokers[i])
		return
	}
	b := r.brokers[v.brokers[i]]
	r.lastID++
	q.id = r.lastID
	if p := r.classes[q.class].Deadline.us(); len(r.s.Classes) > 0 || r.s.Load.Deadline > 0 {
		q.deadline = r.e.Now() + p
	}
	if b.down {
		r.brokerUnreachable++
		return
	}
	if q.deadline > 0 {
		epoch := b.epoch
		r.e.At(q.deadline, func() {
			if !q.done && epoch == b.epoch {
				q.done = true
				r.clientTimeouts++
				r.record(history.Record{Kind: history.ClientDisconnected, Request: q.id, Broker: b.id})
				b.step(decision.Event{Kind: decision.ClientDisconnected, ID: q.id})
				// The broker cancels the attempt; the node may still execute it.
				if at := q.lastAttempt; at != nil && !at.ended && b.epoch == epoch {
					b.endAttempt(at, decision.Cancelled)
				}
			}
		})
	}
	b.receive(q)
}

// chooseBroker draws one of a volume's brokers. The k-th from the primary on has a weight of k^-ZipfExponent.
func (r *run) chooseBroker(v *volume, rng *rand.Rand) int {
	n := len(v.brokers)
	if r.s.Load.ZipfExponent == 0 {
		return rng.IntN(n)
	}
	sum := 0.0
	for k := range n {
		sum += math.Pow(float64(k+1), -r.s.Load.ZipfExponent)
	}
	x, k := rng.Float64()*sum, 0
	for ; k < n-1; k++ {
		if x -= math.Pow(float64(k+1), -r.s.Load.ZipfExponent); x < 0 {
			break
		}
	}
	return (v.primary + k) % n
}

// Arrival is a new request of a client, without its retries.
type Arrival struct {
	At            int64 // microseconds since the start of the run
	Broker        int32
	Class         int
	Plan          int
	Volume        string
	BrokerCount   int // of the volume
	Key           uint64
	Shard         int32 // -1 for a new object
	Units         float64
	Work          float64 // microseconds of a core with speed 1
	Value         float64 // value of a response within the latency objective
	WithinReserve bool    // within its volume's reserved rate
}

// Arrivals returns the new requests of a run's clients, the same that every design receives from Run with this seed. A
// scenario with rereads of recently written objects is rejected: the shards of these objects depend on the design.
func Arrivals(s *Scenario, seed uint64) ([]Arrival, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	if s.Load.RereadFraction > 0 {
		return nil, fmt.Errorf("scenario %s: load.reread is %v, want 0: where a recently written object is stored depends on the design", s.Name, s.Load.RereadFraction)
	}
	var all []Arrival
	r := prepare(s, "", seed)
	r.sink = func(q *request, broker int32) {
		all = append(all, Arrival{At: q.firstSentAt, Broker: broker, Class: int(q.class), Plan: q.volume.plan, Volume: q.volume.name, BrokerCount: len(q.volume.brokers), Key: q.key,
			Shard: q.shard, Units: q.units, Work: q.work, Value: q.value, WithinReserve: q.withinReserve})
	}
	r.build()
	r.makeVolumes()
	r.injectFaults()
	r.startClients()
	r.e.Run(s.Duration.us())
	return all, r.err
}

// VolumePlans returns the index of the plan of each volume of a scenario, by the volume's name. It does not depend on
// the seed.
func VolumePlans(s *Scenario) (map[string]int, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	r := prepare(s, "", 1)
	r.build()
	r.makeVolumes()
	out := map[string]int{}
	for _, v := range r.volumes {
		out[v.name] = v.plan
	}
	return out, nil
}

// handleResponse handles a response at the client. A fraction of the clients retries once after a rejection or failure.
func (r *run) handleResponse(q *request, a history.Result, hint time.Duration) {
	q.done = true
	now := r.e.Now()
	class := &r.classes[q.class]
	switch a {
	case history.Served:
		r.served.Add(now, 1)
		latency := now - q.firstSentAt
		if now >= r.measureFrom {
			r.responseTimes.Add(q.firstSentAt, float64(latency)/1e6)
			r.latency.Add(latency)
		}
		value := q.value
		if latency > class.LatencyObjective.us() {
			value *= class.LateValue
			r.late++
		} else if q.withinReserve {
			r.servedReservedValue += value
		}
		r.servedValue.add(q.firstSentAt, value)
		return
	case history.Rejected:
		r.rejected++
	default:
		r.failed++
	}
	if q.clientAttempt == 0 && r.s.Load.RetryFraction > 0 && r.retryRandom.Float64() < r.s.Load.RetryFraction {
		retry := &request{firstSentAt: q.firstSentAt, work: q.work, units: q.units, key: q.key, value: q.value, volume: q.volume, class: q.class, shard: q.shard, clientAttempt: 1, withinReserve: q.withinReserve}
		r.e.After(max(hint.Microseconds(), 50_000), func() { r.sendToBroker(retry, r.retryRandom) })
	}
}
