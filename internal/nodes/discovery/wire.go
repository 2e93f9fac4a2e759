package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"slices"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// NoRevision stands for the revision of a list that is not known. 0 is a revision like any other: discovery starts there.
const NoRevision int64 = -1

// List is an answer of the discovery service: the full list or the changed entries.
type List struct {
	Revision  int64      `json:"rev"`
	Full      bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// Endpoint is one storage node in a List.
type Endpoint struct {
	ID          string  `json:"uid"`
	Addr        string  `json:"endpoint"`
	ObjectAddr  string  `json:"object_endpoint,omitempty"` // empty: as Addr
	Zone        string  `json:"az"`
	Model       string  `json:"model"`
	Shard       int     `json:"pod_group"`
	State       string  `json:"state"` // up, draining or removed
	Capacity    float64 `json:"capacity_hint"`
	StartedAtMS int64   `json:"boot_ms"` // milliseconds of Unix time
}

// endpointStates maps the values of Endpoint.State.
var endpointStates = map[string]decision.EndpointState{
	"up":       decision.Ready,
	"draining": decision.Draining,
	"removed":  decision.Removed,
}

// Errors of entries that cannot be used. They are wrapped in an EntryError.
var (
	ErrMissing      = errors.New("missing")
	ErrUnknownState = errors.New("unknown state")
)

// EntryError names the entry and the field of a List that cannot be used.
type EntryError struct {
	Index int    // in List.Endpoints
	Field string // as on the wire
	Err   error
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("targets[%d].%s: %v", e.Index, e.Field, e.Err)
}

// Unwrap returns the reason.
func (e *EntryError) Unwrap() error { return e.Err }

// Nodes checks a list and converts it to the core's form. zones are the names of the zones in the order of their numbers. Its
// errors are EntryErrors.
func (l *List) Nodes(zones []string) ([]core.Node, error) {
	out := make([]core.Node, 0, len(l.Endpoints))
	for i, e := range l.Endpoints {
		state, ok := endpointStates[e.State]
		if !ok {
			return nil, &EntryError{Index: i, Field: "state", Err: fmt.Errorf("%w %q", ErrUnknownState, e.State)}
		}
		if e.ID == "" {
			return nil, &EntryError{Index: i, Field: "uid", Err: ErrMissing}
		}
		if e.Addr == "" && state != decision.Removed {
			return nil, &EntryError{Index: i, Field: "endpoint", Err: ErrMissing}
		}
		n := core.Node{
			ID:         e.ID,
			Addr:       e.Addr,
			ObjectAddr: e.ObjectAddr,
			Shard:      e.Shard,
			State:      state,
			Zone:       zoneNumber(e.Zone, zones),
			StartedAt:  clock.FromMillis(e.StartedAtMS),
		}
		if n.ObjectAddr == "" {
			n.ObjectAddr = n.Addr
		}
		out = append(out, n)
	}
	return out, nil
}

// zoneNumber numbers a zone by its name. Names that the settings do not have get numbers of their own: requests whose
// deduplication is limited to one zone are only retried in the same zone, so zones must not be taken for one another.
func zoneNumber(name string, zones []string) int {
	if i := slices.Index(zones, name); i >= 0 || name == "" {
		return max(i, 0)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash takes everything
	return len(zones) + int(h.Sum32())
}

// DecisionEndpoints converts nodes to the form of the decision module.
func DecisionEndpoints(nodes []core.Node) []decision.Endpoint {
	out := make([]decision.Endpoint, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, decision.Endpoint{
			Node:      n.ID,
			Shard:     n.Shard,
			Zone:      n.Zone,
			State:     n.State,
			StartedAt: clock.Duration(n.StartedAt),
			Capacity:  n.Capacity,
		})
	}
	return out
}

// decode reads one answer within its bounds.
func decode(r io.Reader, lim *limits.Limits) (*List, error) {
	body, err := io.ReadAll(io.LimitReader(r, lim.MaxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("node list: %w", err)
	}
	if int64(len(body)) > lim.MaxListBytes {
		return nil, errors.New("node list: too long")
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, fmt.Errorf("node list: %w", err)
	}
	if len(l.Endpoints) > lim.MaxListEndpoints {
		return nil, fmt.Errorf("node list: %d entries, more than %d", len(l.Endpoints), lim.MaxListEndpoints)
	}
	return &l, nil
}
