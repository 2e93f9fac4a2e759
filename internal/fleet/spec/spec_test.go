package spec

import (
	"errors"
	"slices"
	"testing"
)

// validInstance returns an instance that passes validation.
func validInstance(name string) *Instance {
	return &Instance{
		Name:    name,
		Agent:   "a1",
		Groups:  []string{"g1"},
		Labels:  map[string]string{"tier": "gold"},
		Enabled: true,
		Start:   StartSettings{Config: "digest", Listen: "127.0.0.1:7000"},
	}
}

func TestValidateErrorNamesInstanceAndField(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Instance)
		want   string // error text; empty if there is no error
	}{
		{"valid", func(*Instance) {}, ""},
		{"other name", func(i *Instance) { i.Name = "n2" }, "n1.name: does not match its key"},
		{"no agent", func(i *Instance) { i.Agent = "" }, "n1.agent: missing"},
		{"no address", func(i *Instance) { i.Start.Listen = "" }, "n1.listen: missing (and so is object_listen)"},
		{"no configuration", func(i *Instance) { i.Start.Config = "" }, "n1.config: missing"},
		{"negative max_open", func(i *Instance) { i.Live.MaxInFlight = -2 }, "n1.max_open: -2 is negative"},
		{"address used twice", func(i *Instance) { i.Start.ObjectListen = i.Start.Listen }, "n1.object_listen: 127.0.0.1:7000 is also n1's"},
	} {
		t.Run(test.name, func(t *testing.T) {
			i := validInstance("n1")
			test.change(i)
			s := &Spec{Instances: map[string]*Instance{"n1": i}}
			checkFieldError(t, s.Validate(), test.want)
		})
	}
}

func TestValidateAllowsOneAddressAtTwoAgents(t *testing.T) {
	other := validInstance("n2")
	s := &Spec{Instances: map[string]*Instance{"n1": validInstance("n1"), "n2": other}}
	checkFieldError(t, s.Validate(), "n2.listen: 127.0.0.1:7000 is also n1's")
	other.Agent = "a2"
	checkFieldError(t, s.Validate(), "")
}

func TestNodeOverrideValidate(t *testing.T) {
	for _, test := range []struct {
		node NodeOverride
		want string
	}{
		{NodeOverride{ID: "s-1", State: NodeDraining}, ""},
		{NodeOverride{ID: "s-1", State: NodeAdded, Addr: "127.0.0.1:9000"}, ""},
		{NodeOverride{State: NodeDraining}, "node.id: missing"},
		{NodeOverride{ID: "s-1", State: "gone"}, `node.state: "gone" is none of added, drain, out`},
		{NodeOverride{ID: "s-1", State: NodeAdded}, "node s-1: addr: missing for a node that discovery does not know"},
		{NodeOverride{ID: "s-1", State: NodeRemoved, Shard: -1}, "node s-1: shard: -1 is negative"},
	} {
		checkFieldError(t, test.node.Validate(), test.want)
	}
}

// checkFieldError checks that err is a *FieldError with the given text, or nil where the text is empty.
func checkFieldError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Errorf("error is %v, want none", err)
		}
		return
	}
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || err.Error() != want {
		t.Errorf("error is %v, want %s", err, want)
	}
}

func TestCompareNamesFieldsAndTheMostSevereKind(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Instance)
		fields []string
		kind   ChangeKind
	}{
		{"metadata", func(i *Instance) { i.Domain, i.Labels = "d2", nil }, []string{"domain", "labels"}, MetadataOnly},
		{"live", func(i *Instance) { i.Live.LogLevel, i.Groups = "debug", nil }, []string{"log", "groups"}, LiveOnly},
		{"restart", func(i *Instance) { i.Start.Cores, i.Live.MaxInFlight = 2, 9 }, []string{"cores", "max_open"}, Restarted},
		{"disable", func(i *Instance) { i.Enabled = false }, []string{"enabled"}, Restarted},
		{"move", func(i *Instance) { i.Agent, i.Start.Sockets = "a2", 2 }, []string{"agent", "sockets"}, Moved},
	} {
		t.Run(test.name, func(t *testing.T) {
			from, to := validInstance("n1"), validInstance("n1")
			test.change(to)
			c := Compare(from, to)
			if c == nil || c.Name != "n1" || c.Old != from || c.New != to || c.Kind != test.kind || !slices.Equal(c.Fields, test.fields) {
				t.Errorf("change is %+v, want kind %s and fields %v", c, test.kind, test.fields)
			}
		})
	}
}

func TestDiffListsAddedChangedAndRemovedByName(t *testing.T) {
	changed := validInstance("n2")
	changed.Live.LogLevel = "debug"
	from := map[string]*Instance{"n1": validInstance("n1"), "n2": validInstance("n2"), "n4": validInstance("n4")}
	to := map[string]*Instance{"n2": changed, "n3": validInstance("n3"), "n4": validInstance("n4")}
	var got []string
	for _, c := range Diff(from, to) {
		got = append(got, c.Name+" "+string(c.Kind))
	}
	if want := []string{"n1 removed", "n2 live", "n3 added"}; !slices.Equal(got, want) {
		t.Errorf("changes are %v, want %v", got, want)
	}
}

func TestSelectorMatches(t *testing.T) {
	for _, test := range []struct {
		name     string
		selector Selector
		want     bool
	}{
		{"empty", Selector{}, true},
		{"name", Selector{Names: []string{"n1"}}, true},
		{"other name", Selector{Names: []string{"n2"}}, false},
		{"all terms", Selector{Terms: []string{"group=g1", "agent=a1", "domain=a1", "label.tier=gold"}}, true},
		{"one term fails", Selector{Terms: []string{"group=g1", "agent=a2"}}, false},
		{"label is not set", Selector{Terms: []string{"label.zone="}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.selector.Validate(); err != nil {
				t.Fatal(err)
			}
			if got := test.selector.Matches(validInstance("n1")); got != test.want {
				t.Errorf("matches is %v, want %v", got, test.want)
			}
		})
	}
}

func TestSelectorValidateRejectsInvalidTerms(t *testing.T) {
	for _, term := range []string{"", "group", "zone=a", "label.=x", "=x"} {
		if err := (Selector{Terms: []string{term}}).Validate(); err == nil {
			t.Errorf("term %q is valid, want an error", term)
		}
	}
}
