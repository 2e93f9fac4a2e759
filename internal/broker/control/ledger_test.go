package control

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// ledgerModel drives a ledger and holds what it must not violate.
type ledgerModel struct {
	ledger       *Ledger
	boots        int
	applications map[string]int // of this boot, by idempotency key
	sent         []Change       // to all boots
	highestToken uint64         // that this boot has seen
}

// restart begins the next boot.
func (m *ledgerModel) restart() {
	m.boots++
	m.ledger = NewLedger(fmt.Sprint("b", m.boots), 1000)
	m.applications = map[string]int{}
	m.highestToken = 0
}

// drawRepeat draws a change that was sent before, possibly by another agent now; ok is false where there is none.
func (m *ledgerModel) drawRepeat(t *rapid.T) (c Change, ok bool) {
	if len(m.sent) == 0 {
		return Change{}, false
	}
	c = rapid.SampledFrom(m.sent).Draw(t, "again")
	if rapid.Bool().Draw(t, "other agent") {
		c.FencingToken = uint64(rapid.IntRange(1, 3).Draw(t, "token"))
	}
	return c, true
}

// drawNew draws a new change, some with a stale base or no new revision.
func (m *ledgerModel) drawNew(t *rapid.T, n int) Change {
	c := Change{
		ID:           fmt.Sprint("c", n),
		FencingToken: uint64(rapid.IntRange(1, 3).Draw(t, "token")),
		Boot:         m.ledger.Boot(),
		BaseRevision: m.ledger.Applied(),
		Revision:     m.ledger.Applied() + uint64(rapid.IntRange(0, 2).Draw(t, "up")),
	}
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		c.BaseRevision++
	}
	m.sent = append(m.sent, c)
	return c
}

// handle gives the ledger a change and checks what it decides.
func (m *ledgerModel) handle(t *rapid.T, c Change) {
	before := m.ledger.Applied()
	o := m.ledger.Admit(&c)
	if o == nil {
		o = m.apply(t, c, before)
	} else if m.ledger.Applied() != before || o.Code == CodeApplied && !o.Repeated {
		t.Fatalf("%+v", o)
	}
	if o.Code != CodeRejected || o.Reason != "id: missing" {
		m.highestToken = max(m.highestToken, c.FencingToken)
	}
}

// apply checks that an admitted change may be applied, and records its result.
func (m *ledgerModel) apply(t *rapid.T, c Change, before uint64) *Outcome {
	if c.FencingToken < m.highestToken || c.Boot != m.ledger.Boot() || c.BaseRevision != before || c.Revision <= before {
		t.Fatalf("%+v was admitted at revision %d", c, before)
	}
	var err error
	if rapid.IntRange(0, 4).Draw(t, "refuse") == 0 {
		err = errors.New("no")
	}
	o := m.ledger.Record(&c, nil, err)
	m.applications[c.ID]++
	if m.applications[c.ID] > 1 {
		t.Fatalf("%s was carried out twice", c.ID)
	}
	after := m.ledger.Applied()
	if (err == nil) != (o.Code == CodeApplied) || err == nil && after != c.Revision || err != nil && after != before {
		t.Fatalf("%+v %d", o, after)
	}
	return o
}

// Two agents send changes that repeat, cross, come late and are meant for other boots: a boot applies each command at most
// once, its revision only rises and only from the one that a change builds on, and an agent is rejected once one with a
// higher token has been seen.
func TestLedgerAppliesEachCommandAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{}
		m.restart()
		for n := range rapid.IntRange(1, 60).Draw(t, "calls") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
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
