package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/lab/history"
)

// volume is a member's: it stands on a plan, comes through some brokers and lies on some nodes.
type volume struct {
	id      int32
	name    string
	plan    int
	hosts   []int32
	lead    int
	shards  []int32
	rate    float64 // tries a second, usually
	units   float64 // a second, usually
	factor  float64 // at present
	gen     int     // of the present factor
	lots    *rand.Rand
	reserve bucket
	share   bucket
	fresh   [4]place // what was written last
	writes  int
}

type place struct {
	key   uint64
	shard int32
}

// bucket is a store in units that fills at a rate up to a level.
type bucket struct {
	rate, most, level float64
	at                int64
}

func (b *bucket) take(now int64, units float64) bool {
	b.level = math.Min(b.most, b.level+b.rate*float64(now-b.at)/1e6)
	b.at = now
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}

func (v *volume) wrote(key uint64, shard int32) {
	v.fresh[v.writes%len(v.fresh)] = place{key, shard}
	v.writes++
}

// Units of a request: 1 to 8, two in the mean; a unit is half of the mean work.
const (
	meanUnits = 2.0
	mostUnits = 8.0
)

// volumes are drawn by the run's seed, the same for every design.
func (r *run) makeVolumes() {
	lots := r.e.Stream("volumes")
	if len(r.s.Plans) == 0 {
		hosts := make([]int32, len(r.brokers))
		for i := range hosts {
			hosts[i] = int32(i)
		}
		r.volumes = []*volume{{name: "all", hosts: hosts, rate: r.s.Load.Rate, factor: 1}}
		r.config.Plans = []decision.Plan{{Name: "all", Weight: 1, PriceFactor: 1, UsualRate: r.s.Load.Rate * meanUnits}}
		return
	}
	total := 0.0
	for _, p := range r.s.Plans {
		total += float64(p.Volumes) * p.Size
	}
	between := func(x [2]int, most int) int { return min(x[0]+lots.IntN(x[1]-x[0]+1), most) }
	for k, p := range r.s.Plans {
		rate := r.s.Load.Rate * p.Size / total
		units := rate * meanUnits
		price := p.Price
		if price == 0 {
			price = 1
		}
		r.config.Plans = append(r.config.Plans, decision.Plan{Name: p.Name, Weight: p.Weight, PriceFactor: price, UsualRate: units, ReservedRate: p.ReservedRate * units,
			RateLimit: p.RateLimit * units, RateLimitBurst: p.RateLimit*units + 2*mostUnits*float64(p.Hosts[1]), RateLimitTolerance: 0.1 * (p.RateLimit*units + 2*mostUnits*float64(p.Hosts[1]))})
		for range p.Volumes {
			v := &volume{id: int32(len(r.volumes)), plan: k, rate: rate, units: units, factor: 1}
			v.name = fmt.Sprintf("%08x", 0x1000+v.id)
			for _, i := range lots.Perm(len(r.brokers))[:between(p.Hosts, len(r.brokers))] {
				v.hosts = append(v.hosts, int32(i))
			}
			for _, i := range lots.Perm(len(r.nodes))[:between(p.Nodes, len(r.nodes))] {
				v.shards = append(v.shards, r.nodes[i].shard)
			}
			v.lots = r.e.Stream("volume " + v.name)
			if lots.Float64() < p.Busy {
				v.rate *= 1 + 2*lots.Float64()
			}
			full := p.ReservedRate*units + mostUnits
			v.reserve = bucket{rate: p.ReservedRate * units, most: full, level: full}
			v.share = bucket{rate: 2 * units, most: 2*units + mostUnits, level: 2 * units}
			if lots.Float64() < p.Surge {
				r.surges(v)
			}
			r.volumes = append(r.volumes, v)
		}
	}
}

// surges are about two a minute, of four to eighteen seconds, five to twenty times the rate.
func (r *run) surges(v *volume) {
	lots := r.e.Stream("surges of " + v.name)
	var next func()
	next = func() {
		r.e.After(int64(lots.ExpFloat64()*30e6), func() {
			by := 5 + 15*lots.Float64()
			r.times(v, by)
			r.e.After(int64((4+14*lots.Float64())*1e6), func() {
				r.times(v, 1/by)
				next()
			})
		})
	}
	next()
}

// times changes a volume's rate from now on. Its next request is drawn anew, which changes nothing else: what has passed without one does not count.
func (r *run) times(v *volume, by float64) {
	v.factor *= by
	v.gen++
	if v.lots != nil {
		r.next(v, v.gen)
	}
}

func (r *run) next(v *volume, gen int) {
	wait := v.lots.ExpFloat64() * 1e6 / (v.rate * v.factor * r.loadBy)
	r.e.After(int64(wait), func() {
		if v.gen == gen && !r.ended() {
			r.comes(v)
			r.next(v, gen)
		}
	})
}

// clients come at times of their own, whatever becomes of those before them.
func (r *run) clients() {
	r.draw = r.s.Load.work(r.e.Stream("work"))
	if len(r.s.Plans) > 0 {
		for _, v := range r.volumes {
			r.next(v, v.gen)
			if len(v.hosts) > 1 && r.s.Load.Shift > 0 {
				r.shifts(v)
			}
		}
		return
	}
	when := r.e.Stream("arrivals")
	v := r.volumes[0]
	at := 0.0 // kept as it is: rounded each time, short distances would change the rate
	var next func()
	next = func() {
		if r.ended() {
			return
		}
		r.comes(v)
		at += when.ExpFloat64() * 1e6 / (r.s.Load.Rate * v.factor * r.loadBy)
		r.e.At(int64(at), next)
	}
	at = when.ExpFloat64() * 1e6 / r.s.Load.Rate
	r.e.At(int64(at), next)
}

// shifts move a volume's lead to its next broker.
func (r *run) shifts(v *volume) {
	lots := r.e.Stream("shifts of " + v.name)
	var next func()
	next = func() {
		r.e.After(int64(lots.ExpFloat64()*float64(r.s.Load.Shift.us())), func() {
			v.lead = (v.lead + 1) % len(v.hosts)
			next()
		})
	}
	next()
}

// comes is a client's first try.
func (r *run) comes(v *volume) {
	q := &request{firstTryAt: r.e.Now(), volume: v, work: r.draw(), units: meanUnits}
	lots := r.who
	if len(r.classes) > 1 {
		x := lots.Float64() * r.shares
		for int(q.class) < len(r.classes)-1 && x >= r.classes[q.class].Share {
			x -= r.classes[q.class].Share
			q.class++
		}
	}
	class := &r.classes[q.class]
	if class.Work > 0 {
		q.work *= class.Work
	}
	if v.lots != nil {
		q.units = math.Min(mostUnits, math.Max(1, math.Round(meanUnits*q.work/r.mean)))
	}
	r.where(q, lots)
	now := r.e.Now()
	kind := 1.0
	if v.lots != nil {
		q.withinReserve = v.reserve.take(now, q.units)
		switch {
		case q.withinReserve:
		case v.share.take(now, q.units):
			kind = r.s.Rules.BurstValue
		default:
			kind = r.s.Rules.ExcessValue
		}
	}
	q.weight = class.Priority * r.config.Plans[v.plan].PriceFactor * kind * q.units
	r.due.add(now, q.weight)
	r.asked.Add(now, 1)
	r.seen++
	if q.withinReserve {
		r.dueInside += q.weight
	}
	r.try(q, r.who)
}

// where the data of a request lies.
func (r *run) where(q *request, lots *rand.Rand) {
	v := q.volume
	if len(v.shards) == 0 || r.classes[q.class].Writes {
		q.shard = -1
		if v.lots != nil {
			r.keys++
			q.key = r.keys
		}
		return
	}
	// As many draws whatever was written, which is the design's doing.
	again, one, i, key := lots.Float64(), lots.IntN(len(v.fresh)), lots.IntN(len(v.shards)), lots.IntN(64)
	if v.writes > 0 && again < r.s.Load.Reread {
		p := v.fresh[one%min(v.writes, len(v.fresh))]
		q.key, q.shard = p.key, p.shard
		return
	}
	q.shard = v.shards[i]
	q.key = 1<<62 | uint64(v.id)<<16 | uint64(i)<<8 | uint64(key)
}

// try is one way of a client to a broker.
func (r *run) try(q *request, lots *rand.Rand) {
	v := q.volume
	i := 0
	if n := len(v.hosts); n > 1 {
		i = r.host(v, lots)
	}
	if r.sink != nil {
		r.sink(q, v.hosts[i])
		return
	}
	b := r.brokers[v.hosts[i]]
	r.lastID++
	q.id = r.lastID
	if p := r.classes[q.class].Deadline.us(); len(r.s.Classes) > 0 || r.s.Load.Deadline > 0 {
		q.deadline = r.e.Now() + p
	}
	if b.down {
		r.unheard++
		return
	}
	if q.deadline > 0 {
		epoch := b.epoch
		r.e.At(q.deadline, func() {
			if !q.done && epoch == b.epoch {
				q.done = true
				r.given++
				r.record(history.Record{Kind: history.ClientDisconnected, Request: q.id, Broker: b.id})
				b.step(decision.Event{Kind: decision.ClientDisconnected, ID: q.id})
				if at := q.last; at != nil && !at.ended && b.epoch == epoch { // its broker ends the attempt; the node may go on with it
					b.endAttempt(at, decision.Cancelled)
				}
			}
		})
	}
	b.receive(q)
}

// host draws the broker of a try: the lead most often, the others less and less.
func (r *run) host(v *volume, lots *rand.Rand) int {
	n := len(v.hosts)
	if r.s.Load.Skew == 0 {
		return lots.IntN(n)
	}
	sum := 0.0
	for k := range n {
		sum += math.Pow(float64(k+1), -r.s.Load.Skew)
	}
	x, k := lots.Float64()*sum, 0
	for ; k < n-1; k++ {
		if x -= math.Pow(float64(k+1), -r.s.Load.Skew); x < 0 {
			break
		}
	}
	return (v.lead + k) % n
}

// Arrival is a client's first try.
type Arrival struct {
	At     int64 // microseconds from the start
	Broker int32
	Class  int
	Plan   int
	Volume string
	Hosts  int // brokers that the volume comes through
	Key    uint64
	Shard  int32 // -1: a new object
	Units  float64
	Work   float64 // microseconds of a core at speed 1
	Worth  float64 // of an answer in time
	Inside bool    // its volume's reserve
}

// Clients are the first tries that the clients of a run make, the very ones that Play's designs meet with this seed. Reads of what was written
// a moment ago are not among them: where that lies is the designs' doing, and a scenario that has them is refused.
func Clients(s *Scenario, seed uint64) ([]Arrival, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	if s.Load.Reread > 0 {
		return nil, fmt.Errorf("scenario %s: load.reread: %v: what clients read of what was written lies where brokers put it, and they are not told", s.Name, s.Load.Reread)
	}
	var all []Arrival
	r := prepare(s, "", seed)
	r.sink = func(q *request, broker int32) {
		all = append(all, Arrival{At: q.firstTryAt, Broker: broker, Class: int(q.class), Plan: q.volume.plan, Volume: q.volume.name, Hosts: len(q.volume.hosts), Key: q.key,
			Shard: q.shard, Units: q.units, Work: q.work, Worth: q.weight, Inside: q.withinReserve})
	}
	r.build()
	r.makeVolumes()
	r.troubles()
	r.clients()
	r.e.Run(s.Duration.us())
	return all, r.err
}

// Volumes are the names of a scenario's volumes with the number of the plan of each. They do not depend on the seed.
func Volumes(s *Scenario) (map[string]int, error) {
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

// handleResponse is what a client hears. It comes again once after a refusal or a failure, if it is one that does.
func (r *run) handleResponse(q *request, a history.Result, hint time.Duration) {
	q.done = true
	now := r.e.Now()
	class := &r.classes[q.class]
	switch a {
	case history.Served:
		r.served.Add(now, 1)
		took := now - q.firstTryAt
		if now >= r.from {
			r.spent.Add(q.firstTryAt, float64(took)/1e6)
			r.latency.Add(took)
		}
		got := q.weight
		if took > class.LatencyObjective.us() {
			got *= class.LateValue
			r.late++
		} else if q.withinReserve {
			r.earnedInside += got
		}
		r.earned.add(q.firstTryAt, got)
		return
	case history.Rejected:
		r.refused++
	default:
		r.failed++
	}
	if q.tryNumber == 0 && r.s.Load.Retry > 0 && r.again.Float64() < r.s.Load.Retry {
		again := &request{firstTryAt: q.firstTryAt, work: q.work, units: q.units, key: q.key, weight: q.weight, volume: q.volume, class: q.class, shard: q.shard, tryNumber: 1, withinReserve: q.withinReserve}
		r.e.After(max(hint.Microseconds(), 50_000), func() { r.try(again, r.again) })
	}
}
