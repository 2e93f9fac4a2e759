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

// NoRevision means that the revision of the list is unknown. 0 is a valid revision: discovery starts with it.
const NoRevision int64 = -1

// List is a response of the discovery service: the full list or the changed entries.
type List struct {
	Revision  int64      `json:"rev"`
	Full      bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// Endpoint is one storage node in a List.
type Endpoint struct {
	ID          string  `json:"uid"`
	Addr        string  `json:"endpoint"`
	ObjectAddr  string  `json:"object_endpoint,omitempty"` // defaults to Addr
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

// Errors for entries that cannot be used. They are wrapped in an EntryError.
var (
	ErrMissing      = errors.New("missing")
	ErrUnknownState = errors.New("unknown state")
)

// EntryError reports which field of which entry of a List cannot be used.
type EntryError struct {
	Index int    // index in List.Endpoints
	Field string // name of the JSON field
	Err   error
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("targets[%d].%s: %v", e.Index, e.Field, e.Err)
}

// Unwrap returns the underlying error.
func (e *EntryError) Unwrap() error { return e.Err }

// Nodes validates a list and converts it to the form used by package core. zones are the names of the zones in the
// order of their numbers. Errors are of type *EntryError.
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

// zoneNumber returns the number of a zone. A name that is missing from the settings gets a distinct number, a hash of
// the name: requests whose deduplication is limited to one zone are only retried in the same zone, so two zones must
// not be confused.
func zoneNumber(name string, zones []string) int {
	if i := slices.Index(zones, name); i >= 0 || name == "" {
		return max(i, 0)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return len(zones) + int(h.Sum32())
}

// DecisionEndpoints converts nodes to the form used by the decision module.
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

// decode reads one response and enforces the limits on its size and its number of entries.
func decode(r io.Reader, lim *limits.Limits) (*List, error) {
	body, err := io.ReadAll(io.LimitReader(r, lim.MaxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("node list: read response: %w", err)
	}
	if int64(len(body)) > lim.MaxListBytes {
		return nil, fmt.Errorf("node list: response is larger than %d bytes", lim.MaxListBytes)
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, fmt.Errorf("node list: decode response: %w", err)
	}
	if len(l.Endpoints) > lim.MaxListEndpoints {
		return nil, fmt.Errorf("node list: %d entries, limit %d", len(l.Endpoints), lim.MaxListEndpoints)
	}
	return &l, nil
}
