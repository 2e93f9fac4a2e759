package control

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

// ledgerModel drives a ledger and keeps the state that its decisions are checked against.
type ledgerModel struct {
	ledger       *Ledger
	incarnations int            // incarnations started so far
	applications map[string]int // in the current incarnation, by idempotency key
	sent         []Change       // to all incarnations
	highestToken uint64         // seen by the current incarnation
}

// restart starts the next incarnation.
func (m *ledgerModel) restart() {
	m.incarnations++
	m.ledger = NewLedger(fmt.Sprint("b", m.incarnations), 1000)
	m.applications = map[string]int{}
	m.highestToken = 0
}

// drawRepeat draws a change that was sent before, sometimes with the token of another agent. ok is false if none was
// sent.
func (m *ledgerModel) drawRepeat(t *rapid.T) (c Change, ok bool) {
	if len(m.sent) == 0 {
		return Change{}, false
	}
	c = rapid.SampledFrom(m.sent).Draw(t, "earlier change")
	if rapid.Bool().Draw(t, "other agent") {
		c.FencingToken = uint64(rapid.IntRange(1, 3).Draw(t, "token"))
	}
	return c, true
}

// drawNew draws a new change. Some have a wrong base revision or no higher revision.
func (m *ledgerModel) drawNew(t *rapid.T, n int) Change {
	c := Change{
		ID:           fmt.Sprint("c", n),
		FencingToken: uint64(rapid.IntRange(1, 3).Draw(t, "token")),
		Incarnation:  m.ledger.Incarnation(),
		BaseRevision: m.ledger.AppliedRevision(),
		Revision:     m.ledger.AppliedRevision() + uint64(rapid.IntRange(0, 2).Draw(t, "revision increment")),
	}
	if rapid.IntRange(0, 3).Draw(t, "wrong base") == 0 {
		c.BaseRevision++
	}
	m.sent = append(m.sent, c)
	return c
}

// handle passes a change to the ledger and checks its decision.
func (m *ledgerModel) handle(t *rapid.T, c Change) {
	before := m.ledger.AppliedRevision()
	o := m.ledger.Admit(&c)
	if o == nil {
		o = m.apply(t, c, before)
	} else if m.ledger.AppliedRevision() != before || o.Code == CodeApplied && !o.Repeated {
		t.Fatalf("%+v was not admitted, but the incarnation went from revision %d to %d with outcome %+v", c, before, m.ledger.AppliedRevision(), o)
	}
	if o.Code != CodeRejected || o.Reason != "id: missing" {
		m.highestToken = max(m.highestToken, c.FencingToken)
	}
}

// apply checks that an admitted change may be applied, and records its result.
func (m *ledgerModel) apply(t *rapid.T, c Change, before uint64) *Outcome {
	if c.FencingToken < m.highestToken || c.Incarnation != m.ledger.Incarnation() || c.BaseRevision != before || c.Revision <= before {
		t.Fatalf("%+v was admitted at revision %d", c, before)
	}
	var err error
	if rapid.IntRange(0, 4).Draw(t, "invalid") == 0 {
		err = errors.New("invalid change")
	}
	o := m.ledger.Record(&c, nil, err)
	m.applications[c.ID]++
	if m.applications[c.ID] > 1 {
		t.Fatalf("change %s was applied twice", c.ID)
	}
	after := m.ledger.AppliedRevision()
	if (err == nil) != (o.Code == CodeApplied) || err == nil && after != c.Revision || err != nil && after != before {
		t.Fatalf("recorded %+v with error %v: outcome %+v, revision %d", c, err, o, after)
	}
	return o
}

// Agents send changes that are repeated, out of date, interleaved with those of other agents or meant for another
// incarnation. An incarnation applies each command at most once, its revision only increases, and only from the base
// revision of a change. The changes of an agent are rejected once a higher fencing token has been seen.
func TestLedgerAppliesEachCommandAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{}
		m.restart()
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				m.restart()
			case 1, 2:
				if c, ok := m.drawRepeat(t); ok {
					m.handle(t, c)
				}
			default:
				m.handle(t, m.drawNew(t, n))
			}
		}
	})
}
