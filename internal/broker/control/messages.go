package control

import (
	"time"

	"poppyarch/internal/fleet/spec"
)

// Change is the runtime configuration that an agent wants a broker process to apply. It is the full desired state, not
// a difference.
type Change struct {
	ID            string              `json:"id"`       // idempotency key of the command
	FencingToken  uint64              `json:"token"`    // of the agent; a token below the highest one seen is rejected
	Incarnation   string              `json:"boot"`     // the incarnation that the change is meant for
	BaseRevision  uint64              `json:"base"`     // the revision that the incarnation must hold
	Revision      uint64              `json:"revision"` // the revision held afterwards; greater than BaseRevision
	FleetRevision uint64              `json:"rev"`      // the fleet revision that it comes from, for information
	Live          spec.LiveSettings   `json:"live"`
	NodeOverrides []spec.NodeOverride `json:"nodes"`
}

// ResultCode is the result of a change.
type ResultCode string

// Codes as they are sent.
const (
	CodeApplied          ResultCode = "taken"    // the change is in force
	CodeFenced           ResultCode = "fenced"   // an agent with a higher fencing token has sent a change
	CodeWrongIncarnation ResultCode = "boot"     // the change was meant for another incarnation
	CodeStaleBase        ResultCode = "base"     // the incarnation holds another revision than BaseRevision
	CodeRejected         ResultCode = "refused"  // the change is invalid; Outcome.Reason names the field
	CodeIDConflict       ResultCode = "misnamed" // the idempotency key belongs to a different change
	CodeDraining         ResultCode = "draining" // the broker is shutting down
)

// Outcome is the response to a change.
type Outcome struct {
	Code            ResultCode `json:"code"`
	Reason          string     `json:"reason,omitempty"`
	Repeated        bool       `json:"repeated,omitempty"` // outcome of an earlier attempt with the same idempotency key
	Incarnation     string     `json:"boot"`
	AppliedRevision uint64     `json:"applied"` // the revision that the incarnation holds now
	Effects         []Effect   `json:"did,omitempty"`
}

// Effect is one setting that a change altered.
type Effect struct {
	Setting  string `json:"what"`
	OldValue string `json:"from"`
	NewValue string `json:"to"`
}

// State is the response to GET /v1/state.
type State struct {
	Name                 string            `json:"name"`
	Incarnation          string            `json:"boot"`
	PID                  int               `json:"pid"`
	StartDigest          string            `json:"started"` // digest of the start settings, from the configuration
	AppliedRevision      uint64            `json:"applied"` // 0 until a change has been applied
	FleetRevision        uint64            `json:"rev"`     // the fleet revision that AppliedRevision comes from
	FencingToken         uint64            `json:"token"`   // the highest one seen
	StartedAt            time.Time         `json:"since"`
	Draining             bool              `json:"draining,omitempty"`
	EndpointListRevision int64             `json:"list_rev"` // of the endpoint list in force; -1 if there is none yet
	NodeCount            int               `json:"nodes"`
	InFlight             int64             `json:"open"`              // requests admitted and not yet answered
	Live                 spec.LiveSettings `json:"live"`              // settings in force
	Stats                *Stats            `json:"figures,omitempty"` // figures of the last second; nil if nothing is recorded
}

// acceptResult is the response to POST /v1/nodes/accept.
type acceptResult struct {
	Changed int `json:"changed"` // number of nodes whose state has changed
}
