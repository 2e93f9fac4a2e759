package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// Changes of two agents that repeat, cross, come late and for other boots: a boot takes each command at most once, its
// revision only rises and only step by step from the one that a change builds on, and an older agent takes no part
// once a newer one was heard.
func TestNoChangeIsTakenTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger("b1", 1000)
		boot := 1
		taken := map[string]int{}
		var sent []Change
		highest := uint64(0)
		for n := range rapid.IntRange(1, 60).Draw(t, "calls") {
			var c Change
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0: // it restarts
				boot++
				l, taken, highest = NewLedger(fmt.Sprint("b", boot), 1000), map[string]int{}, 0
				continue
			case 1, 2: // an earlier one comes again
				if len(sent) == 0 {
					continue
				}
				c = rapid.SampledFrom(sent).Draw(t, "again")
				if rapid.Bool().Draw(t, "other agent") {
					c.FencingToken = uint64(rapid.IntRange(1, 3).Draw(t, "token"))
				}
			default:
				c = Change{ID: fmt.Sprint("c", n), FencingToken: uint64(rapid.IntRange(1, 3).Draw(t, "token")), Boot: l.Boot(),
					BaseRevision: l.Applied(), Revision: l.Applied() + uint64(rapid.IntRange(0, 2).Draw(t, "up"))}
				if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
					c.BaseRevision++
				}
				sent = append(sent, c)
			}
			before := l.Applied()
			o := l.Admit(&c)
			if o == nil {
				if c.FencingToken < highest || c.Boot != l.Boot() || c.BaseRevision != before || c.Revision <= before {
					t.Fatalf("%+v was admitted at revision %d", c, before)
				}
				var err error
				if rapid.IntRange(0, 4).Draw(t, "refuse") == 0 {
					err = errors.New("no")
				}
				o = l.Record(&c, nil, err)
				taken[c.ID]++
				if taken[c.ID] > 1 {
					t.Fatalf("%s was carried out twice", c.ID)
				}
				if (err == nil) != (o.Code == CodeApplied) || err == nil && l.Applied() != c.Revision || err != nil && l.Applied() != before {
					t.Fatalf("%+v %d", o, l.Applied())
				}
			} else if l.Applied() != before || o.Code == CodeApplied && !o.Repeated {
				t.Fatalf("%+v", o)
			}
			if o.Code != CodeRejected || o.Reason != "id: missing" {
				highest = max(highest, c.FencingToken)
			}
		}
	})
}

type fake struct{ taken int }

func (f *fake) Check(v spec.LiveSettings, _ []spec.NodeOverride) error {
	if v.MaxInFlight < 0 {
		return errors.New("live.max_open: negative")
	}
	return nil
}
func (f *fake) Apply(spec.LiveSettings, []spec.NodeOverride) []Effect {
	f.taken++
	return []Effect{{"x", "1", "2"}}
}
func (f *fake) FillState(st *State) { st.NodeCount = 7 }

// The endpoint on a socket: an answer that got lost is asked for again with the same id.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	f := &fake{}
	s := NewServer("n1", "b1", "d1", f, slog.New(slog.DiscardHandler))
	addr := "unix:" + filepath.Join(t.TempDir(), "c")
	ln, err := Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	lost := true
	s.SetHook(func(point string) {
		if point == "recorded" && lost {
			lost = false
			panic(http.ErrAbortHandler) // the connection breaks instead of an answer
		}
	})
	c, err := Dial(addr)
	if err != nil {
		t.Fatal(err)
	}
	ch := &Change{ID: "c1", FencingToken: 1, Boot: "b1", Revision: 5}
	if _, err := c.Change(t.Context(), ch); err == nil {
		t.Fatal("an answer though the connection broke")
	}
	o, err := c.Change(t.Context(), ch)
	if err != nil || o.Code != CodeApplied || !o.Repeated || o.AppliedRevision != 5 || f.taken != 1 {
		t.Fatalf("%v %+v, taken %d times", err, o, f.taken)
	}
	o, err = c.Change(t.Context(), &Change{ID: "c2", FencingToken: 1, Boot: "b1", BaseRevision: 5, Revision: 6, Live: spec.LiveSettings{MaxInFlight: -1}})
	if err != nil || o.Code != CodeRejected || o.AppliedRevision != 5 {
		t.Fatalf("%v %+v", err, o)
	}
	s.Drain()
	if o, err = c.Change(t.Context(), &Change{ID: "c3", FencingToken: 1, Boot: "b1", BaseRevision: 5, Revision: 6}); err != nil || o.Code != CodeDraining {
		t.Fatalf("%v %+v", err, o)
	}
	st, err := c.State(t.Context())
	if err != nil || st.AppliedRevision != 5 || st.NodeCount != 7 || !st.Draining || st.StartDigest != "d1" {
		t.Fatalf("%v %+v", err, st)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"unix:", "10.0.0.1:80", "x", "localhost:80"} {
		if _, err := Dial(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
