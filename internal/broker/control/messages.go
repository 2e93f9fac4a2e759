package control

import (
	"time"

	"poppyarch/internal/fleet/spec"
)

// Change is the whole configuration that an agent wants a broker process to apply at runtime. It is a full desired state
// and not a difference.
type Change struct {
	ID            string              `json:"id"`       // idempotency key of the command
	FencingToken  uint64              `json:"token"`    // of the agent; a token lower than the highest one seen is rejected
	Boot          string              `json:"boot"`     // the boot that the change is meant for
	BaseRevision  uint64              `json:"base"`     // the revision that the boot must hold
	Revision      uint64              `json:"revision"` // the revision that it holds afterwards; greater than BaseRevision
	FleetRevision uint64              `json:"rev"`      // the fleet's revision that it comes from, for information
	Live          spec.LiveSettings   `json:"live"`
	NodeOverrides []spec.NodeOverride `json:"nodes"`
}

// Code is the result of a change.
type Code string

// The codes, as they are sent.
const (
	CodeApplied    Code = "taken"    // the change is in force
	CodeFenced     Code = "fenced"   // an agent with a higher fencing token has sent changes
	CodeWrongBoot  Code = "boot"     // the change was meant for another boot
	CodeStaleBase  Code = "base"     // the boot holds another revision than the change builds on
	CodeRejected   Code = "refused"  // the change is invalid; Outcome.Reason names the field
	CodeIDConflict Code = "misnamed" // the idempotency key belongs to a different change
	CodeDraining   Code = "draining" // the broker is shutting down
)

// Outcome answers a change.
type Outcome struct {
	Code            Code     `json:"code"`
	Reason          string   `json:"reason,omitempty"`
	Repeated        bool     `json:"repeated,omitempty"` // the outcome of an earlier attempt with the same idempotency key
	Boot            string   `json:"boot"`
	AppliedRevision uint64   `json:"applied"` // the revision that the boot holds now
	Effects         []Effect `json:"did,omitempty"`
}

// Effect is one setting that a change altered.
type Effect struct {
	Setting  string `json:"what"`
	OldValue string `json:"from"`
	NewValue string `json:"to"`
}

// State is a broker's answer to GET /v1/state.
type State struct {
	Name                 string            `json:"name"`
	Boot                 string            `json:"boot"`
	PID                  int               `json:"pid"`
	StartDigest          string            `json:"started"` // digest of the start settings, as the configuration gives it
	AppliedRevision      uint64            `json:"applied"` // 0: the configuration that it started with
	FleetRevision        uint64            `json:"rev"`     // the fleet's revision that AppliedRevision comes from
	FencingToken         uint64            `json:"token"`   // the highest seen
	StartedAt            time.Time         `json:"since"`
	Draining             bool              `json:"draining,omitempty"`
	EndpointListRevision int64             `json:"list_rev"` // of the endpoint list in force; -1: none yet
	NodeCount            int               `json:"nodes"`
	InFlight             int64             `json:"open"`              // requests admitted and not answered
	Live                 spec.LiveSettings `json:"live"`              // in force
	Stats                *Stats            `json:"figures,omitempty"` // of the last second, where the broker records
}

// acceptResult answers POST /v1/nodes/accept.
type acceptResult struct {
	Changed int `json:"changed"` // nodes whose use has changed
}
