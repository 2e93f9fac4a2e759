package decision

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestCheckReportsTheInvalidSetting(t *testing.T) {
	valid := func() Config {
		return Config{
			Classes: []Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}},
			Plans:   []Plan{{Name: "p"}},
		}
	}
	if c := valid(); c.Check() != nil {
		t.Fatal(c.Check())
	}
	for name, invalidate := range map[string]func(*Config){
		"classes":                 func(c *Config) { c.Classes = nil },
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
		c := valid()
		invalidate(&c)
		err := c.Check()
		if err == nil || !strings.HasPrefix(err.Error(), name+":") {
			t.Errorf("%s: got error %v", name, err)
		}
		var setting *SettingError
		if !errors.As(err, &setting) || setting.Setting != name {
			t.Errorf("%s: got %#v, want a SettingError for that setting", name, err)
		}
	}
}

func TestSettingErrorTextHasSettingValueAndProblem(t *testing.T) {
	for want, err := range map[string]error{
		"classes: at least one class is required": (&Config{}).Check(),
		"classes[0].aim: -1s is not above 0":      (&Config{Classes: []Class{{LatencyObjective: -time.Second}}}).Check(),
		"classes[0].repeat: 9 is unknown":         (&Config{Classes: []Class{{LatencyObjective: 1, Deadline: 1, Idempotency: 9}}}).Check(),
		"classes[0].dedup window: -1.5 is negative": (&Config{Classes: []Class{{LatencyObjective: 1, Deadline: 1,
			DedupWindow: -1500 * time.Millisecond}}}).Check(),
	} {
		if err == nil || err.Error() != want {
			t.Errorf("got error %v, want %s", err, want)
		}
	}
}
