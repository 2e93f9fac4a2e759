package model

import (
	"fmt"
	"math"
	"math/rand/v2"

	"poppyarch/internal/broker/decision"
)

// volume is a volume with its plan. Its clients use some of the brokers, and its data is stored on some of the nodes.
type volume struct {
	id             int32
	name           string
	plan           int               // index into the plans
	brokers        []int32           // those that its clients use
	primary        int               // index into brokers of the one with most of the load
	shards         []int32           // of the nodes that store its data
	rate           float64           // usual requests per second
	units          float64           // usual units per second according to the plan
	rateFactor     float64           // present factor on rate
	rateGeneration int               // incremented with each change of the rate; requests scheduled before are discarded
	random         *rand.Rand        // of arrivals; nil if the scenario has no plans
	reserve        unitBucket        // within the reserved rate
	burst          unitBucket        // beyond the reserved rate
	recentWrites   [4]objectLocation // ring buffer
	writeCount     int
}

// objectLocation is the key of an object and the shard that stores it.
type objectLocation struct {
	key   uint64
	shard int32
}

// unitBucket is a token bucket of units, filled at a rate in units per second.
type unitBucket struct {
	rate, capacity, tokens float64
	updatedAt              int64
}

// take takes units from the bucket. It returns false, and takes none, if the bucket holds fewer.
func (b *unitBucket) take(now int64, units float64) bool {
	b.tokens = math.Min(b.capacity, b.tokens+b.rate*float64(now-b.updatedAt)/1e6)
	b.updatedAt = now
	if b.tokens < units {
		return false
	}
	b.tokens -= units
	return true
}

// recordWrite makes an object available to later rereads.
func (v *volume) recordWrite(key uint64, shard int32) {
	v.recentWrites[v.writeCount%len(v.recentWrites)] = objectLocation{key, shard}
	v.writeCount++
}

// The size of a request is 1 to maxUnits units, with a mean of meanUnits. One unit is half of the mean work.
const (
	meanUnits = 2.0
	maxUnits  = 8.0
)

// makeVolumes draws the volumes of the run. They depend on the seed, but not on the design. A scenario without plans
// has a single volume.
func (r *run) makeVolumes() {
	rng := r.e.Stream("volumes")
	if len(r.s.Plans) == 0 {
		brokers := make([]int32, len(r.brokers))
		for i := range brokers {
			brokers[i] = int32(i)
		}
		r.volumes = []*volume{{name: "all", brokers: brokers, rate: r.s.Load.Rate, rateFactor: 1}}
		r.config.Plans = []decision.Plan{{Name: "all", Weight: 1, PriceFactor: 1, UsualRate: r.s.Load.Rate * meanUnits}}
		return
	}
	total := 0.0
	for _, p := range r.s.Plans {
		total += float64(p.Volumes) * p.RelativeRate
	}
	drawCount := func(x [2]int, limit int) int { return min(x[0]+rng.IntN(x[1]-x[0]+1), limit) }
	for k, p := range r.s.Plans {
		rate := r.s.Load.Rate * p.RelativeRate / total
		units := rate * meanUnits
		price := p.PriceFactor
		if price == 0 {
			price = 1
		}
		r.config.Plans = append(r.config.Plans, decision.Plan{Name: p.Name, Weight: p.Weight, PriceFactor: price, UsualRate: units, ReservedRate: p.ReservedRate * units,
			RateLimit: p.RateLimit * units, RateLimitBurst: p.RateLimit*units + 2*maxUnits*float64(p.BrokerRange[1]), RateLimitTolerance: 0.1 * (p.RateLimit*units + 2*maxUnits*float64(p.BrokerRange[1]))})
		for range p.Volumes {
			v := &volume{id: int32(len(r.volumes)), plan: k, rate: rate, units: units, rateFactor: 1}
			v.name = fmt.Sprintf("%08x", 0x1000+v.id)
			for _, i := range rng.Perm(len(r.brokers))[:drawCount(p.BrokerRange, len(r.brokers))] {
				v.brokers = append(v.brokers, int32(i))
			}
			for _, i := range rng.Perm(len(r.nodes))[:drawCount(p.NodeRange, len(r.nodes))] {
				v.shards = append(v.shards, r.nodes[i].shard)
			}
			v.random = r.e.Stream("volume " + v.name)
			if rng.Float64() < p.BusyFraction {
				v.rate *= 1 + 2*rng.Float64()
			}
			capacity := p.ReservedRate*units + maxUnits
			v.reserve = unitBucket{rate: p.ReservedRate * units, capacity: capacity, tokens: capacity}
			v.burst = unitBucket{rate: 2 * units, capacity: 2*units + maxUnits, tokens: 2 * units}
			if rng.Float64() < p.SurgeFraction {
				r.startSurges(v)
			}
			r.volumes = append(r.volumes, v)
		}
	}
}

// startSurges schedules surges of a volume's rate: a mean of 30 s apart, 4 to 18 s long, with 5 to 20 times the rate.
func (r *run) startSurges(v *volume) {
	rng := r.e.Stream("surges of " + v.name)
	var next func()
	next = func() {
		r.e.After(int64(rng.ExpFloat64()*30e6), func() {
			factor := 5 + 15*rng.Float64()
			r.scaleRate(v, factor)
			r.e.After(int64((4+14*rng.Float64())*1e6), func() {
				r.scaleRate(v, 1/factor)
				next()
			})
		})
	}
	next()
}

// scaleRate multiplies a volume's rate by a factor from now on. The time of its next request is drawn again, which does
// not bias the arrivals: interarrival times are exponential and thus memoryless.
func (r *run) scaleRate(v *volume, factor float64) {
	v.rateFactor *= factor
	v.rateGeneration++
	if v.random != nil {
		r.scheduleRequest(v, v.rateGeneration)
	}
}
