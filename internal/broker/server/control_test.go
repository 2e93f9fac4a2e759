package server

import (
	"fmt"
	"path/filepath"
	"testing"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/collect"
)

// controlClient is the fleet's side of a broker's control endpoint.
type controlClient struct {
	*control.Client
	t       *testing.T
	changes int
}

func newControlClient(t *testing.T, addr string) *controlClient {
	t.Helper()
	c, err := control.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	return &controlClient{Client: c, t: t}
}

func (c *controlClient) state() *control.State {
	c.t.Helper()
	st, err := c.State(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	return st
}

// change makes a change with the next revision.
func (c *controlClient) change(nodes []spec.NodeOverride, live spec.LiveSettings) *control.Outcome {
	c.t.Helper()
	st := c.state()
	c.changes++
	o, err := c.Change(c.t.Context(), &control.Change{
		ID:            fmt.Sprint("c", c.changes),
		FencingToken:  1,
		Boot:          st.Boot,
		BaseRevision:  st.AppliedRevision,
		Revision:      st.AppliedRevision + 1,
		NodeOverrides: nodes,
		Live:          live,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return o
}

// mustChange makes a change that must be applied.
func (c *controlClient) mustChange(nodes []spec.NodeOverride, live spec.LiveSettings) *control.Outcome {
	c.t.Helper()
	o := c.change(nodes, live)
	if o.Code != control.CodeApplied {
		c.t.Fatalf("%+v", o)
	}
	return o
}

// hasRecordedDrain reports whether the records in the broker's memory are its own and have the drain of a node.
func (c *controlClient) hasRecordedDrain(node string) bool {
	c.t.Helper()
	segment, err := c.Records(c.t.Context(), 1<<24)
	if err != nil {
		c.t.Fatal(err)
	}
	s, err := collect.Bytes(segment)
	if err != nil {
		c.t.Fatal(err)
	}
	a := incident.Analyse([]*incident.Stream{s}, incident.DefaultOptions())
	drained := false
	for _, e := range a.Episodes {
		drained = drained || e.Kind == incident.NodeDrain && e.Subject == node
	}
	return s.Boot.ID == c.state().Boot && s.Boot.Name == "t1" && drained && len(a.Nodes) >= 2
}

// A broker accepts changes while it serves: a node drained by an operator gets nothing new, discovery's word that it
// is up does not bring it back, and withdrawing the override does; a node that discovery does not know serves once it
// is added. The changes are in the records in memory. A restart forgets all of it and reports revision 0.
func TestControlChangesNodesAndSettingsOfARunningBroker(t *testing.T) {
	r := newRig(t)
	addr := "unix:" + filepath.Join(t.TempDir(), "c")
	extra := fmt.Sprintf(`,"control":{"listen":%q,"started":"d1"},"record":{"beat_ms":100}`, addr)
	base, stop := r.broker(extra)
	c := newControlClient(t, addr)
	if st := c.state(); st.AppliedRevision != 0 || st.StartDigest != "d1" || st.Boot == "" {
		t.Fatalf("%+v", st)
	}
	home := r.home(base, "/b/k", []byte("x"))
	id := fmt.Sprint("s-", home)

	o := c.mustChange([]spec.NodeOverride{{ID: id, State: spec.NodeDraining}}, spec.LiveSettings{MaxInFlight: 77, LogLevel: "debug"})
	if len(o.Effects) != 3 {
		t.Fatalf("%+v", o)
	}
	if a := r.do("GET", base+"/b/k", nil, "X-Timeout-Ms", "300"); a.status == 200 {
		t.Errorf("a drained node was asked: %d", a.status)
	}
	seen := count(r.stores[home], "GET ")
	r.list(0, 0) // discovery lists both as up once more
	eventually(t, "the list of discovery is in force", func() bool { return c.state().EndpointListRevision >= r.disc.List(-1).Revision })
	if a := r.do("GET", base+"/b/k", nil, "X-Timeout-Ms", "300"); a.status == 200 || count(r.stores[home], "GET ") != seen {
		t.Errorf("discovery brought a drained node back: %d", a.status)
	}
	if v := c.state().Live; v.MaxInFlight != 77 || v.LogLevel != "debug" {
		t.Errorf("%+v", v)
	}

	// The same store under a name that discovery does not know.
	added := spec.NodeOverride{ID: "s-new", State: spec.NodeAdded, Addr: r.nodes[home].Addr(), Shard: home}
	c.mustChange([]spec.NodeOverride{{ID: id, State: spec.NodeRemoved}, added}, spec.LiveSettings{})
	eventually(t, "an answer from the added node", func() bool { return r.do("GET", base+"/b/k", nil).status == 200 })
	if v := c.state().Live; v.MaxInFlight == 77 || v.LogLevel != "info" {
		t.Errorf("withdrawn settings are still in force: %+v", v)
	}
	if o := c.change([]spec.NodeOverride{{ID: "x", State: "sleeping"}}, spec.LiveSettings{}); o.Code != control.CodeRejected {
		t.Errorf("%+v", o)
	}
	if o := c.change(nil, spec.LiveSettings{}); o.Code != control.CodeApplied {
		t.Errorf("%+v", o)
	}
	eventually(t, "the drain is in the records", func() bool { return c.hasRecordedDrain(id) })

	boot := c.state().Boot
	stop()
	r.broker(extra)
	if st := c.state(); st.Boot == boot || st.AppliedRevision != 0 {
		t.Errorf("after a restart: %+v", st)
	}
}
