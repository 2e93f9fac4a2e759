package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"poppyarch/internal/timing/clock"
)

func noEnv(string) string { return "" }

const validConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"rev":3,"all":true,"targets":[]},
 "settings":{"zones":["z"],"classes":[{"name":"r","aim_ns":1000000,"give_up_ns":9000000000,"repeat":"retryable"},
  {"name":"u","aim_ns":1000000,"give_up_ns":2000000,"repeat":"fragile"}],
  "policies":[{"name":"p","shares":1}],"limits":{"keepalive_ns":9000000000,"connect_timeout_ns":100000000},
  "specifics":{"n_shards":2}},
 "object":{"listen":"127.0.0.1:3","read_class":"r","write_class":"r","complete_class":"u","default_plan":"p"}}`

func TestDefaultsAndDerivedLimits(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	l := c.Limits
	if c.Seed != 0x8c1f30d27a5be964 || l.Procs != 1 || l.MemoryBytes >= 192<<20 || l.Descriptors != 1024 ||
		l.ClientConns+l.NodeConns >= 1024 || l.ConnectTimeout != 100_000 || l.NodeIdleTimeout != 3_000_000 || l.NodeReuseWindow >= l.NodeIdleTimeout ||
		l.DrainTotalTime < 9_000_000 || !c.Policy.SendsRetryAfter || c.Policy.MaxRetryAfter <= 0 || c.Object.Shards != 2 || c.Object.UnitBytes != 1<<20 {
		t.Errorf("%+v", c)
	}
}

// A change counts as known to the broker 2 s after the time-out of a hung watch, and 4 s after SIGHUP. A hung watch
// must be detected early enough for several retries.
func TestHungWatchIsDetectedWithinTwoSeconds(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if l := c.Limits; l.WatchGracePeriod > 1_000_000 || l.WatchTimeout+l.WatchGracePeriod > 2_000_000 {
		t.Errorf("a hung watch is detected after %d + %d µs, want at most 1 s of grace period and 2 s in total", l.WatchTimeout, l.WatchGracePeriod)
	}
}

// One discovery service serves all brokers, so the watch time-out must grow with their number. It must stay within the
// time after which changes count as known to a broker that does not poll.
func TestWatchTimeoutGrowsWithFleet(t *testing.T) {
	for brokers, maxPolls := range map[int]float64{4: 4.1, 300: 110, 1024: 210} {
		text := strings.Replace(validConfig, `"settings":{`, fmt.Sprintf(`"settings":{"balancers":%d,"contract":{"ask_within_ns":10000000000},`, brokers), 1)
		c, err := Parse([]byte(text), noEnv)
		if err != nil {
			t.Fatal(err)
		}
		l := c.Limits
		if polls := float64(brokers) * 1e6 / float64(l.WatchTimeout); polls > maxPolls || l.WatchTimeout > 5_000_000 {
			t.Errorf("%d brokers make %.0f polls a second with a watch time-out of %d µs", brokers, polls, l.WatchTimeout)
		}
		if l.DiscoveryMoveJitter > 1_500_000 || brokers >= 300 && l.DiscoveryMoveJitter < 1_000_000 {
			t.Errorf("%d brokers spread the polls of a new address over %d µs", brokers, l.DiscoveryMoveJitter)
		}
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"LB_CONFIG": path, "LB_NAME": "x", "LB_LISTEN": "127.0.0.1:9", "LB_DISCOVERY": "127.0.0.1:8"}
	c, err := Load(func(k string) string { return env[k] })
	if err != nil || c.Name != "x" || c.Listen != "127.0.0.1:9" || c.DiscoveryAddr != "127.0.0.1:8" {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := Load(noEnv); err == nil || !strings.HasPrefix(err.Error(), "LB_CONFIG") {
		t.Errorf("without LB_CONFIG: got error %v", err)
	}
}

// A reload also names the changed keys that take effect at the next start. LB_DISCOVERY stays in force until the
// address in the file changes.
func TestReloadAppliesDiscoveryAndLogOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	env := map[string]string{"LB_CONFIG": path, "LB_DISCOVERY": "127.0.0.1:8"}
	getenv := func(k string) string { return env[k] }
	write := func(replace ...string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(strings.NewReplacer(replace...).Replace(validConfig)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write()
	c, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		replace             []string
		discovery, log, err string
		restart             string
	}{
		{nil, "127.0.0.1:8", "info", "", ""},
		{[]string{`"seed":"8c`, `"log":"debug","seed":"7c`, `"rev":3`, `"rev":4`, `"cores":1.0`, `"cores": 1`}, "127.0.0.1:8", "debug", "", ""},
		{[]string{"127.0.0.1:2", "127.0.0.1:20", `"cores":1.0`, `"cores":2`, `"name":"n1"`, `"name":"n2"`}, "127.0.0.1:20", "info", "", "limits name"},
		{[]string{"127.0.0.1:2", "nowhere"}, "", "", "discovery", ""},
		{[]string{`"repeat":"fragile"`, `"repeat":"often"`}, "", "", "classes[1].repeat", ""},
		{nil, "127.0.0.1:2", "info", "", ""},
	} {
		write(x.replace...)
		next, restart, err := c.Reload(getenv)
		if x.err != "" {
			if err == nil || !strings.Contains(err.Error(), x.err) {
				t.Errorf("%q: got error %v, want one that contains %q", x.replace, err, x.err)
			}
			continue
		}
		if err != nil || next.DiscoveryAddr != x.discovery || next.LogLevel != x.log || strings.Join(restart, " ") != x.restart {
			t.Errorf("%q: error %v, discovery %s, log %s, keys that need a restart %q", x.replace, err, next.DiscoveryAddr, next.LogLevel, restart)
			continue
		}
		c = next
	}
}

func TestErrorsNameTheInvalidKey(t *testing.T) {
	for _, x := range []struct{ old, new, want string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"127.0.0.1"`, "listen: "},
		{`"listen":"127.0.0.1:1"`, `"listen":7`, "listen: "},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery: missing"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed: "},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb: "},
		{`"memory_mb":192`, `"memory_mb":"lots"`, "limits.memory_mb: "},
		{`"sockets":1024`, `"sockets":9`, "limits.sockets: "},
		{`"sockets":1024`, `"sockets":-9`, "limits: "},
		{`"targets":[]`, `"targets":[{"uid":"a","endpoint":"x","state":"odd"}]`, "known.targets[0].state: "},
		{`"repeat":"fragile"`, `"repeat":"odd"`, "settings.classes[1].repeat: "},
		{`"aim_ns":1000000,"give_up_ns":2000000`, `"give_up_ns":2000000`, "settings: classes[1].aim: "},
		{`"complete_class":"u"`, `"complete_class":"r"`, "object.complete_class: "},
		{`"read_class":"r"`, `"read_class":"u"`, "object.read_class: "},
		{`"write_class":"r"`, `"write_class":"q"`, "object.write_class: "},
		{`"default_plan":"p"`, `"default_plan":"q"`, "object.default_plan: "},
		{`"default_plan":"p"`, `"default_plan":"p","buckets":{"b":"q"}`, "object.buckets.b: "},
		{`"listen":"127.0.0.1:3"`, `"listen":""`, "object.listen: "},
		{`"object":`, `"tuning":{"max_opne":3},"object":`, "tuning: "},
		{`"object":`, `"tuning":{"max_open":0},"object":`, "tuning.max_open: "},
		{`"object":`, `"tuning":{"client_conns":5000},"object":`, "tuning.client_conns: "},
		{`"object":`, `"log":"loud","object":`, "log: "},
	} {
		text := strings.Replace(validConfig, x.old, x.new, 1)
		if text == validConfig {
			t.Fatalf("validConfig does not contain %s", x.old)
		}
		if _, err := Parse([]byte(text), noEnv); err == nil || !strings.HasPrefix(err.Error(), x.want) {
			t.Errorf("%s: got error %v, want prefix %q", x.new, err, x.want)
		}
	}
}

func TestShippedConfigurationsAreValid(t *testing.T) {
	for _, path := range []string{"../../../examples/config.json", "../../../deploy/object.json"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text, noEnv); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// The policy gets the reuse window of the connection pool, and the cost of a handshake from the settings.
func TestConnectionSettingsReachThePolicy(t *testing.T) {
	withCost := strings.Replace(validConfig, `"limits":{"keepalive_ns"`, `"deductions":{"handshake":0.08},"limits":{"keepalive_ns"`, 1)
	c, err := Parse([]byte(withCost), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if c.Policy.HandshakeCost != 0.08 || clock.FromDuration(c.Policy.ConnectionReuseWindow) != c.Limits.NodeReuseWindow || c.Policy.ConnectionReuseWindow <= 0 {
		t.Errorf("handshake cost %v, reuse window %v in the policy and %d µs in the pool", c.Policy.HandshakeCost, c.Policy.ConnectionReuseWindow, c.Limits.NodeReuseWindow)
	}
	_, err = Parse([]byte(strings.Replace(validConfig, `"settings":`, `"tuning":{"list_told":0},"settings":`, 1)), noEnv)
	if err == nil || !strings.Contains(err.Error(), "list_told") {
		t.Errorf("list_told 0: got error %v, want one that names the key", err)
	}
}
