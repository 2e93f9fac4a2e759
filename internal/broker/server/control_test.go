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

// A broker that takes changes while it serves: a storage node drained by an operator gets nothing new, discovery's
// word that it is up does not bring it back, and taking the word back does; a node that discovery does not know serves
// once it is added. A restart holds nothing of it and says so.
func TestControlChangesTheListUnderARunningBroker(t *testing.T) {
	r := newRig(t)
	addr := "unix:" + filepath.Join(t.TempDir(), "c")
	extra := fmt.Sprintf(`,"control":{"listen":%q,"started":"d1"},"record":{"beat_ms":100}`, addr)
	base, stop := r.broker(extra)
	cl, err := control.Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	state := func() *control.State {
		t.Helper()
		st, err := cl.State(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return st
	}
	st := state()
	if st.AppliedRevision != 0 || st.StartDigest != "d1" || st.Boot == "" {
		t.Fatalf("%+v", st)
	}
	calls := 0
	change := func(nodes []spec.NodeOverride, live spec.LiveSettings) *control.Outcome {
		t.Helper()
		st := state()
		calls++
		o, err := cl.Change(t.Context(), &control.Change{ID: fmt.Sprint("c", calls), FencingToken: 1, Boot: st.Boot, BaseRevision: st.AppliedRevision,
			Revision: st.AppliedRevision + 1, NodeOverrides: nodes, Live: live})
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	home := r.home(base, "/b/k", []byte("x"))
	id := fmt.Sprint("s-", home)
	o := change([]spec.NodeOverride{{ID: id, State: spec.NodeDraining}}, spec.LiveSettings{MaxInFlight: 77, LogLevel: "debug"})
	if o.Code != control.CodeApplied || len(o.Effects) != 3 {
		t.Fatalf("%+v", o)
	}
	if a := r.do("GET", base+"/b/k", nil, "X-Timeout-Ms", "300"); a.status == 200 {
		t.Errorf("a drained node was asked: %d", a.status)
	}
	seen := count(r.stores[home], "GET ")
	r.list(0, 0) // discovery says again that both are up
	eventually(t, "the list that discovery told", func() bool { return state().EndpointListRevision >= r.disc.List(-1).Revision })
	if a := r.do("GET", base+"/b/k", nil, "X-Timeout-Ms", "300"); a.status == 200 || count(r.stores[home], "GET ") != seen {
		t.Errorf("discovery brought a drained node back: %d", a.status)
	}
	if v := state().Live; v.MaxInFlight != 77 || v.LogLevel != "debug" {
		t.Errorf("%+v", v)
	}
	// The same store under a name that discovery does not know.
	o = change([]spec.NodeOverride{{ID: id, State: spec.NodeRemoved}, {ID: "s-new", State: spec.NodeAdded, Addr: r.nodes[home].Addr(), Shard: home}}, spec.LiveSettings{})
	if o.Code != control.CodeApplied {
		t.Fatalf("%+v", o)
	}
	eventually(t, "an answer from the added node", func() bool { return r.do("GET", base+"/b/k", nil).status == 200 })
	if v := state().Live; v.MaxInFlight == 77 || v.LogLevel != "info" {
		t.Errorf("what is no longer asked for is still in force: %+v", v)
	}
	if o = change([]spec.NodeOverride{{ID: "x", State: "sleeping"}}, spec.LiveSettings{}); o.Code != control.CodeRejected {
		t.Errorf("%+v", o)
	}
	if o = change(nil, spec.LiveSettings{}); o.Code != control.CodeApplied {
		t.Errorf("%+v", o)
	}
	// What it did is in its memory, and readable while it runs.
	seg, err := cl.Records(t.Context(), 1<<24)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the records of what it did", func() bool {
		if seg, err = cl.Records(t.Context(), 1<<24); err != nil {
			t.Fatal(err)
		}
		s, err := collect.Bytes(seg)
		if err != nil {
			t.Fatal(err)
		}
		a := incident.Analyse([]*incident.Stream{s}, incident.DefaultOptions())
		drained := false
		for _, e := range a.Episodes {
			drained = drained || e.Kind == incident.NodeDrain && e.Subject == id
		}
		return s.Boot.ID == state().Boot && s.Boot.Name == "t1" && drained && len(a.Nodes) >= 2
	})
	boot := state().Boot
	stop()
	r.broker(extra)
	if st := state(); st.Boot == boot || st.AppliedRevision != 0 {
		t.Errorf("after a restart: %+v", st)
	}
}
