package settings

import (
	"strings"
	"testing"

	"poppyarch/internal/broker/decision"
)

const validSettings = `{"balancers":3,"discovery":"push","classes":[{"name":"a","aim_ns":1000,"give_up_ns":2000,"importance":1,"repeat":"dedup",
 "group":"cell","dedup_window_ns":900}],"contract":{"cold_from":0.2},"policies":[{"name":"p","shares":2,"never_over":0}],"specifics":{"cold_bears":13}}`

func TestParseMapsPlatformNames(t *testing.T) {
	c, err := Parse(validSettings, 7)
	if err != nil {
		t.Fatal(err)
	}
	k := c.Classes[0]
	if c.PollsEndpoints || c.Brokers != 3 || k.Idempotency != decision.IdempotentByKey || k.DedupScope != decision.DedupShard || k.DedupWindow != 900 || c.SlowStartCapacityUnits != 13 {
		t.Errorf("parsed %+v", c)
	}
}

func TestErrorNamesPathOfInvalidSetting(t *testing.T) {
	for _, x := range []struct{ from, to, err string }{
		{`"push"`, `"pull"`, `settings.discovery: "pull" is neither ask nor push`},
		{`"dedup"`, `"often"`, `settings.classes[0].repeat: unknown kind "often"`},
		{`"cell"`, `"row"`, `settings.classes[0].group: unknown group "row"`},
		{`"dedup_window_ns":900`, `"dedup_window_ns":-900`, "settings.classes[0].dedup_window_ns: -900 is negative"},
		{`"cold_bears":13`, `"cold_bears":-0.5`, "settings.specifics.cold_bears: -0.5 is negative"},
		{`"never_over":0`, `"never_over":-1`, "settings.policies[0].never_over: -1 is negative"},
		{`"balancers":3`, `"balancers":-3`, "settings.balancers: -3 is negative"},
		{`"balancers":3`, `"balancers":"x"`, "balancers"},
	} {
		text := strings.Replace(validSettings, x.from, x.to, 1)
		if _, err := Parse(text, 7); text == validSettings || err == nil || !strings.Contains(err.Error(), x.err) {
			t.Errorf("%s: got error %v, want one that contains %q", x.to, err, x.err)
		}
	}
}
