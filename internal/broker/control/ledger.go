// Package control is a broker's control endpoint: it says what a boot holds and takes changes to it. This file
// decides which; it does no I/O.
package control

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"poppyarch/internal/fleet/spec"
)

// Change is what an agent wants a boot to hold, whole and not as a difference.
type Change struct {
	ID            string              `json:"id"`       // of the command; asked again with the same id, the same answer comes
	FencingToken  uint64              `json:"token"`    // of the agent; lower ones than the highest seen are refused
	Boot          string              `json:"boot"`     // the boot that it is meant for
	BaseRevision  uint64              `json:"base"`     // the revision that the boot must hold
	Revision      uint64              `json:"revision"` // and the one it holds then; greater than Base
	FleetRevision uint64              `json:"rev"`      // the fleet's revision that it is of, for people
	Live          spec.LiveSettings   `json:"live"`
	NodeOverrides []spec.NodeOverride `json:"nodes"`
}

// Code tells what became of a change.
type Code string

// The codes.
const (
	CodeApplied    Code = "taken"
	CodeFenced     Code = "fenced"   // a newer agent is in charge
	CodeWrongBoot  Code = "boot"     // it was meant for another boot
	CodeStaleBase  Code = "base"     // the boot holds another revision than it builds on
	CodeRejected   Code = "refused"  // it cannot be taken up, for Reason
	CodeIDConflict Code = "misnamed" // its id belongs to another change
	CodeDraining   Code = "draining" // the broker is on its way out
)

// Outcome answers a change.
type Outcome struct {
	Code            Code     `json:"code"`
	Reason          string   `json:"reason,omitempty"`
	Repeated        bool     `json:"repeated,omitempty"` // it had been decided on before
	Boot            string   `json:"boot"`
	AppliedRevision uint64   `json:"applied"` // the revision that the boot holds now
	Effects         []Effect `json:"did,omitempty"`
}

// Effect is one thing that a change did.
type Effect struct {
	Setting  string `json:"what"`
	OldValue string `json:"from"`
	NewValue string `json:"to"`
}

// Ledger remembers what one boot holds and which commands it has decided on.
type Ledger struct {
	boot    string
	applied uint64
	token   uint64
	most    int // commands remembered
	seen    map[string]decided
	order   []string
}

type decided struct {
	digest  string
	outcome Outcome
}

// NewLedger begins a boot, which holds revision 0.
func NewLedger(boot string, most int) *Ledger {
	return &Ledger{boot: boot, most: most, seen: map[string]decided{}}
}

// Boot names the boot.
func (l *Ledger) Boot() string { return l.boot }

// Applied is the revision that it holds.
func (l *Ledger) Applied() uint64 { return l.applied }

// Token is the highest seen.
func (l *Ledger) Token() uint64 { return l.token }

func (l *Ledger) say(code Code, format string, args ...any) *Outcome {
	return &Outcome{Code: code, Reason: fmt.Sprintf(format, args...), Boot: l.boot, AppliedRevision: l.applied}
}

// Admit decides on a change. nil says that it is to be carried out and then recorded with Record; else the outcome is
// final. A change whose id was decided on before gets the outcome of that time: it is never carried out twice.
func (l *Ledger) Admit(c *Change) *Outcome {
	if c.ID == "" {
		return l.say(CodeRejected, "id: missing")
	}
	if c.FencingToken < l.token {
		return l.say(CodeFenced, "token %d is older than %d", c.FencingToken, l.token)
	}
	l.token = c.FencingToken
	if c.Boot != l.boot {
		return l.say(CodeWrongBoot, "meant for boot %s, this is %s", c.Boot, l.boot)
	}
	if d, ok := l.seen[c.ID]; ok {
		if d.digest != digest(c) {
			return l.say(CodeIDConflict, "id %s belongs to another change", c.ID)
		}
		o := d.outcome
		o.Repeated, o.AppliedRevision = true, l.applied
		return &o
	}
	if c.BaseRevision != l.applied {
		return l.say(CodeStaleBase, "builds on revision %d, this boot holds %d", c.BaseRevision, l.applied)
	}
	if c.Revision <= c.BaseRevision {
		return l.say(CodeRejected, "revision: %d is not above %d", c.Revision, c.BaseRevision)
	}
	return nil
}

// Record ends an admitted change: taken with its effects, or refused where err is not nil.
func (l *Ledger) Record(c *Change, did []Effect, err error) *Outcome {
	var o *Outcome
	if err != nil {
		o = l.say(CodeRejected, "%v", err)
	} else {
		l.applied = c.Revision
		o = &Outcome{Code: CodeApplied, Boot: l.boot, AppliedRevision: l.applied, Effects: did}
	}
	l.seen[c.ID] = decided{digest(c), *o}
	if l.order = append(l.order, c.ID); len(l.order) > l.most {
		delete(l.seen, l.order[0])
		l.order = l.order[1:]
	}
	return o
}

// digest tells changes apart; the token may differ, since a newer agent may finish what an older one began.
func digest(c *Change) string {
	d := *c
	d.FencingToken = 0
	b, _ := json.Marshal(&d) // plain values always marshal
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
