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

// controlClient calls a broker's control endpoint as an agent does.
type controlClient struct {
	*control.Client
	t       *testing.T
	changes int // changes sent so far
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

// change sends a change with the next revision.
func (c *controlClient) change(nodes []spec.NodeOverride, live spec.LiveSettings) *control.Outcome {
	c.t.Helper()
	st := c.state()
	c.changes++
	o, err := c.Change(c.t.Context(), &control.Change{
		ID:            fmt.Sprint("c", c.changes),
		FencingToken:  1,
		Incarnation:   st.Incarnation,
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

// mustChange sends a change and fails the test if it is not applied.
func (c *controlClient) mustChange(nodes []spec.NodeOverride, live spec.LiveSettings) *control.Outcome {
	c.t.Helper()
	o := c.change(nodes, live)
	if o.Code != control.CodeApplied {
		c.t.Fatalf("the change was not applied: %+v", o)
	}
	return o
}

// hasRecordedDrain reports whether the records in the broker's memory come from the current incarnation and contain the
// drain of a node.
func (c *controlClient) hasRecordedDrain(node string) bool {
	c.t.Helper()
	segment, err := c.Records(c.t.Context(), 1<<24)
	if err != nil {
		c.t.Fatal(err)
	}
	s, err := collect.DecodeStream(segment)
	if err != nil {
		c.t.Fatal(err)
	}
	analysis := incident.Analyse([]*incident.Stream{s}, incident.DefaultOptions())
	drained := false
	for _, e := range analysis.Episodes {
		drained = drained || e.Kind == incident.NodeDrain && e.Subject == node
	}
	return s.Incarnation.ID == c.state().Incarnation && s.Incarnation.Name == "t1" && drained && len(analysis.Nodes) >= 2
}

// A broker accepts changes while it serves. A node drained by an operator gets no new requests, even if discovery lists
// it as up again. A node that discovery does not know serves once an operator adds it. Withdrawn settings are no longer
// in force. The changes are in the records in memory. After a restart none of them is in force and the revision is 0.
func TestControlChangesNodesAndSettingsOfARunningBroker(t *testing.T) {
	f := newFixture(t)
	addr := "unix:" + filepath.Join(t.TempDir(), "c")
	extra := fmt.Sprintf(`,"control":{"listen":%q,"started":"d1"},"record":{"beat_ms":100}`, addr)
	base, stop := f.startBroker(extra)
	c := newControlClient(t, addr)
	if st := c.state(); st.AppliedRevision != 0 || st.StartDigest != "d1" || st.Incarnation == "" {
		t.Fatalf("state after the start: %+v", st)
	}
	storeIndex := f.putObject(base, "/b/k", []byte("x"))
	id := fmt.Sprint("s-", storeIndex)

	o := c.mustChange([]spec.NodeOverride{{ID: id, State: spec.NodeDraining}}, spec.LiveSettings{MaxInFlight: 77, LogLevel: "debug"})
	if len(o.Effects) != 3 {
		t.Fatalf("%+v, want 3 effects", o)
	}
	if resp := f.do("GET", base+"/b/k", nil, "X-Timeout-Ms", "300"); resp.status == 200 {
		t.Errorf("a drained node served a request: status %d", resp.status)
	}
	seen := countRequests(f.stores[storeIndex], "GET ")
	f.listNodes(0, 0) // discovery lists both nodes as up again
	eventually(t, "the list from discovery is in force", func() bool { return c.state().EndpointListRevision >= f.discovery.List(-1).Revision })
	if resp := f.do("GET", base+"/b/k", nil, "X-Timeout-Ms", "300"); resp.status == 200 || countRequests(f.stores[storeIndex], "GET ") != seen {
		t.Errorf("a node that is drained but up in discovery got a request: status %d", resp.status)
	}
	if v := c.state().Live; v.MaxInFlight != 77 || v.LogLevel != "debug" {
		t.Errorf("settings in force: %+v", v)
	}

	// The same store under an ID that discovery does not know.
	added := spec.NodeOverride{ID: "s-new", State: spec.NodeAdded, Addr: f.nodes[storeIndex].Addr(), Shard: storeIndex}
	c.mustChange([]spec.NodeOverride{{ID: id, State: spec.NodeRemoved}, added}, spec.LiveSettings{})
	eventually(t, "a response from the added node", func() bool { return f.do("GET", base+"/b/k", nil).status == 200 })
	if v := c.state().Live; v.MaxInFlight == 77 || v.LogLevel != "info" {
		t.Errorf("withdrawn settings are still in force: %+v", v)
	}
	if o := c.change([]spec.NodeOverride{{ID: "x", State: "sleeping"}}, spec.LiveSettings{}); o.Code != control.CodeRejected {
		t.Errorf("change with an invalid node state: %+v", o)
	}
	if o := c.change(nil, spec.LiveSettings{}); o.Code != control.CodeApplied {
		t.Errorf("change without overrides: %+v", o)
	}
	eventually(t, "the drain is in the records", func() bool { return c.hasRecordedDrain(id) })

	firstIncarnation := c.state().Incarnation
	stop()
	f.startBroker(extra)
	if st := c.state(); st.Incarnation == firstIncarnation || st.AppliedRevision != 0 {
		t.Errorf("after a restart: %+v", st)
	}
}
