package spec

import "fmt"

// NodeOverrideState is the state that operators set for a storage node, in place of the one that discovery reports.
type NodeOverrideState string

// The states of an override. A node without an override is used as discovery reports it.
const (
	NodeAdded    NodeOverrideState = "added" // unknown to discovery; the override has its address and shard
	NodeDraining NodeOverrideState = "drain" // gets no new requests, requests in flight are completed
	NodeRemoved  NodeOverrideState = "out"   // treated as if discovery had removed it
)

// NodeOverride is an operator's override for one storage node.
type NodeOverride struct {
	ID         string            `json:"id"`
	State      NodeOverrideState `json:"state"`
	Addr       string            `json:"addr,omitempty"`
	ObjectAddr string            `json:"objects,omitempty"`
	Shard      int               `json:"shard,omitempty"`
	Zone       string            `json:"zone,omitempty"`
}

// Validate returns a *FieldError for the first field that is not valid, or nil.
func (n NodeOverride) Validate() error {
	switch {
	case n.ID == "":
		return &FieldError{Field: "node.id", Problem: "missing"}
	case n.State != NodeAdded && n.State != NodeDraining && n.State != NodeRemoved:
		return &FieldError{Field: "node.state", Problem: fmt.Sprintf("%q is none of added, drain, out", n.State)}
	case n.State == NodeAdded && n.Addr == "":
		return n.fieldError("addr", "missing for a node that discovery does not know")
	case n.Shard < 0:
		return n.fieldError("shard", fmt.Sprintf("%d is negative", n.Shard))
	}
	return nil
}

func (n NodeOverride) fieldError(field, problem string) error {
	return &FieldError{Field: "node " + n.ID + ": " + field, Problem: problem}
}
