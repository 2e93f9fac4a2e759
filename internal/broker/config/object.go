package config

import (
	"errors"

	"poppyarch/internal/broker/decision"
)

const defaultUnitBytes = 1 << 20

// ObjectFrontend configures the object frontend.
type ObjectFrontend struct {
	Listen        string            `json:"listen"`
	Shards        int               `json:"shards"`     // that objects are distributed over by name; default: n_shards
	UnitBytes     int64             `json:"unit_bytes"` // bytes in one unit of request size; default 1 MiB
	ReadClass     string            `json:"read_class"`
	WriteClass    string            `json:"write_class"`
	CompleteClass string            `json:"complete_class"` // of requests that complete an upload; not idempotent
	DefaultPlan   string            `json:"default_plan"`
	BucketPlans   map[string]string `json:"buckets"` // plan names, by bucket
}

// checkObject validates the keys of the object frontend and fills in defaults.
func (c *Config) checkObject() error {
	o := c.Object
	if err := CheckAddress(o.Listen); err != nil {
		return &KeyError{Key: "listen", Err: err}
	}
	if o.Shards == 0 {
		o.Shards = c.Shards
	}
	if o.Shards <= 0 {
		return &KeyError{Key: "shards", Err: errors.New("must be above 0 (the default, settings.specifics.n_shards, is not set)")}
	}
	if o.UnitBytes == 0 {
		o.UnitBytes = defaultUnitBytes
	}
	if o.UnitBytes < 0 {
		return keyErrorf("unit_bytes", "%d is negative", o.UnitBytes)
	}
	if err := c.checkObjectClasses(); err != nil {
		return err
	}
	return c.checkObjectPlans()
}

func (c *Config) checkObjectClasses() error {
	o := c.Object
	for _, class := range []struct{ key, name string }{
		{"read_class", o.ReadClass},
		{"write_class", o.WriteClass},
		{"complete_class", o.CompleteClass},
	} {
		i := c.ClassIndex(class.name)
		if i < 0 {
			return keyErrorf(class.key, "settings name no class %q", class.name)
		}
		idempotency := c.Policy.Classes[i].Idempotency
		if class.key == "read_class" && idempotency != decision.Idempotent {
			return keyErrorf(class.key, "reads are retried, but class %q is not \"retryable\"", class.name)
		}
		if class.key == "complete_class" && idempotency != decision.NotIdempotent {
			return keyErrorf(class.key, "a completion must not run twice, but class %q is not \"fragile\"", class.name)
		}
	}
	return nil
}

func (c *Config) checkObjectPlans() error {
	if c.PlanIndex(c.Object.DefaultPlan) < 0 {
		return keyErrorf("default_plan", "settings name no plan %q", c.Object.DefaultPlan)
	}
	for bucket, plan := range c.Object.BucketPlans {
		if c.PlanIndex(plan) < 0 {
			return keyErrorf("buckets."+bucket, "settings name no plan %q", plan)
		}
	}
	return nil
}
