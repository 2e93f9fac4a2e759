package overlay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/core"
	"poppyarch/internal/fleet/spec"
	"poppyarch/policy"
)

// Whatever comes in whatever order, what was passed on adds up to the list that discovery's and the operators' last
// words make, and no node takes work that either of them has told not to.
func TestWhatIsPassedOnAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := New([]string{"room"})
		shown := core.NewNodes()
		disc := map[string]core.Node{}
		ops := map[string]spec.Node{}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"discovery changes": func(t *rapid.T) {
				n := core.Node{ID: id.Draw(t, "node"), Addr: "a", Objects: "a", State: policy.NodeState(rapid.IntRange(0, 2).Draw(t, "state"))}
				if n.State == policy.Gone {
					delete(disc, n.ID)
				} else {
					disc[n.ID] = n
				}
				shown.Update(o.Discovery([]core.Node{n}, false), false)
			},
			"discovery tells all": func(t *rapid.T) {
				var all []core.Node
				for _, n := range disc {
					all = append(all, n)
				}
				shown.Update(o.Discovery(all, true), true)
			},
			"operators": func(t *rapid.T) {
				n := spec.Node{ID: id.Draw(t, "node"), State: rapid.SampledFrom([]spec.NodeState{spec.NodeAdded, spec.NodeDrain, spec.NodeOut, ""}).Draw(t, "state")}
				if n.State == spec.NodeAdded || rapid.Bool().Draw(t, "addr") {
					n.Addr = "b"
				}
				if n.State == "" {
					delete(ops, n.ID)
				} else {
					ops[n.ID] = n
				}
				var all []spec.Node
				for _, n := range ops {
					all = append(all, n)
				}
				shown.Update(o.Operators(all), false)
			},
			"": func(t *rapid.T) {
				for k := range 5 {
					id := fmt.Sprint("s", k)
					got, ok := shown.Get(id)
					d, inDisc := disc[id]
					op, hasOp := ops[id]
					want := inDisc || hasOp && op.Addr != ""
					if hasOp && op.State == spec.NodeOut {
						want = false
					}
					if ok != want {
						t.Fatalf("%s: shown %v, discovery %+v, operators %+v", id, ok, d, op)
					}
					if !ok {
						continue
					}
					drained := inDisc && d.State == policy.Draining || hasOp && op.State == spec.NodeDrain
					if drained != (got.State == policy.Draining) {
						t.Fatalf("%s: %+v, discovery %+v, operators %+v", id, got, d, op)
					}
					if inDisc && got.Addr != "a" || !inDisc && got.Addr != "b" {
						t.Fatalf("%s: at %s", id, got.Addr)
					}
				}
			},
		})
	})
}
