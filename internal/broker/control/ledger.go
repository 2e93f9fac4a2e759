package control

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Ledger decides which changes one incarnation applies: it keeps the revision that the incarnation holds, the highest
// fencing token and the outcomes of the latest commands by idempotency key. It does no I/O. It is not safe for
// concurrent use.
type Ledger struct {
	incarnation string
	revision    uint64
	token       uint64
	maxCommands int // maximum number of outcomes kept
	outcomes    map[string]recordedOutcome
	order       []string // keys of outcomes, oldest first
}

// recordedOutcome is the outcome of an earlier command. The digest tells a repetition of the command from a different
// change with the same idempotency key.
type recordedOutcome struct {
	digest  changeDigest
	outcome Outcome
}

// NewLedger returns the ledger of an incarnation that holds revision 0. It keeps the outcomes of the last maxCommands
// commands.
func NewLedger(incarnation string, maxCommands int) *Ledger {
	return &Ledger{
		incarnation: incarnation,
		maxCommands: maxCommands,
		outcomes:    map[string]recordedOutcome{},
	}
}

// Incarnation returns the identifier of the incarnation.
func (l *Ledger) Incarnation() string { return l.incarnation }

// AppliedRevision returns the revision that the incarnation holds.
func (l *Ledger) AppliedRevision() uint64 { return l.revision }

// Token returns the highest fencing token seen.
func (l *Ledger) Token() uint64 { return l.token }

// Admit checks a change. It returns nil if the change is to be applied; the caller then passes the result to Record.
// Otherwise the outcome that it returns is final. A change whose idempotency key is known gets the recorded outcome
// again and is never applied twice.
func (l *Ledger) Admit(c *Change) *Outcome {
	if c.ID == "" {
		return l.reject(CodeRejected, "id: missing")
	}
	if c.FencingToken < l.token {
		return l.reject(CodeFenced, "token %d is older than %d", c.FencingToken, l.token)
	}
	l.token = c.FencingToken
	if c.Incarnation != l.incarnation {
		return l.reject(CodeWrongIncarnation, "meant for boot %s, this is %s", c.Incarnation, l.incarnation)
	}
	if earlier, ok := l.outcomes[c.ID]; ok {
		return l.repeat(c, earlier)
	}
	if c.BaseRevision != l.revision {
		return l.reject(CodeStaleBase, "builds on revision %d, this boot holds %d", c.BaseRevision, l.revision)
	}
	if c.Revision <= c.BaseRevision {
		return l.reject(CodeRejected, "revision: %d is not above %d", c.Revision, c.BaseRevision)
	}
	return nil
}

// Record stores the result of an admitted change: applied with its effects, or rejected if err is not nil.
func (l *Ledger) Record(c *Change, effects []Effect, err error) *Outcome {
	var o *Outcome
	if err != nil {
		o = l.reject(CodeRejected, "%v", err)
	} else {
		l.revision = c.Revision
		o = &Outcome{Code: CodeApplied, Incarnation: l.incarnation, AppliedRevision: l.revision, Effects: effects}
	}
	l.outcomes[c.ID] = recordedOutcome{digest: digestOf(c), outcome: *o}
	l.order = append(l.order, c.ID)
	if len(l.order) > l.maxCommands {
		delete(l.outcomes, l.order[0])
		l.order = l.order[1:]
	}
	return o
}

// repeat returns the outcome of a change whose idempotency key is known.
func (l *Ledger) repeat(c *Change, earlier recordedOutcome) *Outcome {
	if earlier.digest != digestOf(c) {
		return l.reject(CodeIDConflict, "id %s belongs to another change", c.ID)
	}
	o := earlier.outcome
	o.Repeated = true
	o.AppliedRevision = l.revision
	return &o
}

// reject returns the outcome of a change that is not applied.
func (l *Ledger) reject(code ResultCode, format string, args ...any) *Outcome {
	return &Outcome{
		Code:            code,
		Reason:          fmt.Sprintf(format, args...),
		Incarnation:     l.incarnation,
		AppliedRevision: l.revision,
	}
}

// changeDigest identifies the content of a change.
type changeDigest string

// digestOf ignores the fencing token, since a new agent may complete a command that its predecessor started.
func digestOf(c *Change) changeDigest {
	withoutToken := *c
	withoutToken.FencingToken = 0
	b, _ := json.Marshal(&withoutToken) // cannot fail: the fields are plain values
	sum := sha256.Sum256(b)
	return changeDigest(hex.EncodeToString(sum[:]))
}
