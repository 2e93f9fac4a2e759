package state

import (
	"encoding/json"
	"fmt"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// RecordKind says what a Record means.
type RecordKind string

// The kinds of records, with the fields that each uses besides those of its command.
const (
	RecordFleetCreated       RecordKind = "fleet"    // the first of a journal: it belongs to the fleet FleetID
	RecordAgentRegistered    RecordKind = "agent"    // Agent registered and got Token; KnownEdition
	RecordAgentRetired       RecordKind = "retire"   // Agent will not come back: its instances are free; Token
	RecordRevisionCreated    RecordKind = "revision" // Revision has Changes and queues a rollout with Strategy
	RecordNodeOverridesSet   RecordKind = "nodes"    // Revision replaces the node overrides by Nodes
	RecordRolloutStarted     RecordKind = "begin"    // the rollout of Revision is the active one, in Waves
	RecordInstancesReleased  RecordKind = "release"  // the rollout lets Instances change
	RecordInstanceFailed     RecordKind = "fail"     // Instances of the rollout failed, for Reason
	RecordWaveFinished       RecordKind = "wave"     // the rollout turns to its next wave
	RecordPhaseChanged       RecordKind = "phase"    // the rollout is in Phase, for Reason
	RecordInstanceHandedOver RecordKind = "handover" // Instances[0] now belongs to the agent that it is desired at
	RecordInstanceRemoved    RecordKind = "gone"     // Instances[0], which is not desired any more, has ended
)

// Record is one change of the state that has to be stored. The records of a journal, applied in order, give the state.
type Record struct {
	Kind         RecordKind          `json:"kind"`
	CommandID    string              `json:"command,omitempty"` // of the command that caused it
	At           clock.Micros        `json:"at,omitempty"`      // Unix time, shown to operators only
	Author       string              `json:"by,omitempty"`
	Note         string              `json:"note,omitempty"`
	Revision     uint64              `json:"rev,omitempty"`
	Changes      []InstanceChange    `json:"set,omitempty"`
	Configs      map[string]string   `json:"configs,omitempty"` // texts that the changes need and no earlier record has
	Nodes        []spec.NodeOverride `json:"nodes,omitempty"`
	Strategy     *Strategy           `json:"strategy,omitempty"`
	IsRollback   bool                `json:"back,omitempty"`
	RollbackTo   uint64              `json:"from,omitempty"`       // revision that a rollback returns to
	WithNodes    bool                `json:"with_nodes,omitempty"` // a rollback that sets Nodes as well
	Waves        [][]string          `json:"waves,omitempty"`
	Instances    []string            `json:"names,omitempty"`
	Phase        Phase               `json:"phase,omitempty"`
	Reason       string              `json:"reason,omitempty"`
	Agent        string              `json:"agent,omitempty"`
	FleetID      string              `json:"fleet,omitempty"`
	Token        uint64              `json:"token,omitempty"`
	KnownEdition uint64              `json:"seen,omitempty"` // highest edition of another fleet, or of lost history, that the agent followed
}

// InstanceChange is the part of a revision that concerns one instance.
type InstanceChange struct {
	Name    string         `json:"name"`
	Desired *spec.Instance `json:"to"` // nil: the instance is removed
}

// Encode returns the stored form of a record.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the stored form of a record.
func DecodeRecord(b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &r, nil
}
