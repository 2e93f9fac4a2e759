package decision

import (
	"strings"
	"testing"
	"time"
)

func TestGroupHolds(t *testing.T) {
	a, zone, shard, other := &Endpoint{Zone: 1, Shard: 1}, &Endpoint{Zone: 1, Shard: 2}, &Endpoint{Zone: 2, Shard: 1}, &Endpoint{Zone: 2, Shard: 2}
	for _, x := range []struct {
		group DedupScope
		node  *Endpoint
		want  bool
	}{
		{DedupEverywhere, other, true},
		{DedupZone, zone, true}, {DedupZone, shard, false},
		{DedupShard, shard, true}, {DedupShard, zone, false},
	} {
		if got := x.group.Covers(a, x.node); got != x.want {
			t.Errorf("group %d holds %+v: %v", x.group, *x.node, got)
		}
	}
}

func TestRefusable(t *testing.T) {
	for _, x := range []struct {
		class Class
		want  bool
	}{
		{Class{Idempotency: Idempotent}, true},
		{Class{Idempotency: IdempotentByKey, DedupScope: DedupEverywhere}, true},
		{Class{Idempotency: IdempotentByKey, DedupScope: DedupZone}, false},
		{Class{Idempotency: IdempotentByKey, DedupScope: DedupShard}, false},
		{Class{Idempotency: NotIdempotent}, false},
	} {
		if got := x.class.MayShed(); got != x.want {
			t.Errorf("%+v: %v", x.class, got)
		}
	}
}

// What a cold node bears grows evenly from what it always bears to what it bears warm.
func TestColdBudget(t *testing.T) {
	c := Config{SlowStartCapacityUnits: 10, SlowStartFraction: 0.25, SlowStartDuration: 15 * time.Second}
	for age, want := range map[time.Duration]float64{-time.Second: 10, 0: 10, 5 * time.Second: 20, 15 * time.Second: 40} {
		if got := c.SlowStartCapacity(age); got != want {
			t.Errorf("%v after its start: %v units, want %v", age, got, want)
		}
	}
	if got := (&Config{SlowStartCapacityUnits: 10, SlowStartDuration: time.Second}).SlowStartCapacity(time.Second); got != 10 {
		t.Errorf("where no part is told: %v units", got)
	}
}

// Defaults are not written into a slice that the caller keeps.
func TestWithDefaults(t *testing.T) {
	plans := []Plan{{Weight: 0}, {Weight: 3}}
	c := Config{Plans: plans}.WithDefaults()
	if c.Brokers != 1 || c.MaxAttempts != 1 || c.MeanUnits != 1 || c.Plans[0].Weight != 1 || c.Plans[1].Weight != 3 || plans[0].Weight != 0 {
		t.Errorf("%+v, caller's plans %+v", c, plans)
	}
}

// Each setting that cannot be is an error by its name.
func TestCheckNamesWhatCannotBe(t *testing.T) {
	good := func() Config {
		return Config{Classes: []Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}, Plans: []Plan{{Name: "p"}}}
	}
	if c := good(); c.Check() != nil {
		t.Fatal(c.Check())
	}
	for name, spoil := range map[string]func(*Config){
		"classes[0].aim":          func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"classes[0].deadline":     func(c *Config) { c.Classes[0].Deadline = -1 },
		"classes[0].dedup window": func(c *Config) { c.Classes[0].DedupWindow = -1 },
		"classes[0].worth":        func(c *Config) { c.Classes[0].PriorityWeight = -1 },
		"plans[0].limit":          func(c *Config) { c.Plans[0].RateLimit = -1 },
		"cold bears":              func(c *Config) { c.SlowStartCapacityUnits = -1 },
		"cold from":               func(c *Config) { c.SlowStartFraction = 1.5 },
		"mean units":              func(c *Config) { c.MeanUnits = -1 },
		"max units":               func(c *Config) { c.MaxUnits = -1 },
		"fair worth":              func(c *Config) { c.QuotaPriorityWeight = -1 },
		"further ratio":           func(c *Config) { c.RetryBudgetRatio = -1 },
		"ask within":              func(c *Config) { c.MaxPollInterval = -1 },
	} {
		c := good()
		spoil(&c)
		if err := c.Check(); err == nil || !strings.HasPrefix(err.Error(), name+":") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
