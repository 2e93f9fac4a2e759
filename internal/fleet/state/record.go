package state

import (
	"encoding/json"
	"fmt"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// RecordKind is the kind of a Record.
type RecordKind string

// The kinds of records. Each comment names the fields that the kind uses, apart from those that every command sets.
const (
	RecordFleetCreated       RecordKind = "fleet"    // first record of the journal of the fleet FleetID
	RecordAgentRegistered    RecordKind = "agent"    // Agent registered with KnownEdition and got Token
	RecordAgentRetired       RecordKind = "retire"   // Agent will not come back; Token replaces its token
	RecordRevisionCreated    RecordKind = "revision" // Revision makes Changes and queues a rollout with Strategy
	RecordNodeOverridesSet   RecordKind = "nodes"    // Revision replaces the node overrides with Nodes
	RecordRolloutStarted     RecordKind = "begin"    // the rollout of Revision becomes the active one, with Waves
	RecordInstancesReleased  RecordKind = "release"  // the rollout releases Instances: they may change
	RecordInstanceFailed     RecordKind = "fail"     // Instances failed in the rollout because of Reason
	RecordWaveFinished       RecordKind = "wave"     // the rollout proceeds to its next wave
	RecordPhaseChanged       RecordKind = "phase"    // the rollout enters Phase because of Reason
	RecordInstanceHandedOver RecordKind = "handover" // Instances[0] now belongs to the agent on which it is desired
	RecordInstanceRemoved    RecordKind = "gone"     // Instances[0], which is no longer desired, has ended
)

// Record is one stored change of the state. Applying the records of a journal in order gives the state.
type Record struct {
	Kind         RecordKind          `json:"kind"`
	CommandID    string              `json:"command,omitempty"` // of the command that caused it
	At           clock.Micros        `json:"at,omitempty"`      // Unix time, shown to operators only
	Author       string              `json:"by,omitempty"`
	Note         string              `json:"note,omitempty"`
	Revision     uint64              `json:"rev,omitempty"`
	Changes      []InstanceChange    `json:"set,omitempty"`
	Configs      map[string]string   `json:"configs,omitempty"` // by digest: texts that no earlier record has
	Nodes        []spec.NodeOverride `json:"nodes,omitempty"`
	Strategy     *Strategy           `json:"strategy,omitempty"`
	IsRollback   bool                `json:"back,omitempty"`
	RollbackTo   uint64              `json:"from,omitempty"`       // revision that a rollback goes back to
	WithNodes    bool                `json:"with_nodes,omitempty"` // a rollback that also replaces the node overrides
	Waves        [][]string          `json:"waves,omitempty"`
	Instances    []string            `json:"names,omitempty"`
	Phase        Phase               `json:"phase,omitempty"`
	Reason       string              `json:"reason,omitempty"`
	Agent        string              `json:"agent,omitempty"`
	FleetID      string              `json:"fleet,omitempty"`
	Token        uint64              `json:"token,omitempty"`
	KnownEdition uint64              `json:"seen,omitempty"` // highest edition in another fleet or lost history
}

// InstanceChange is the part of a revision that concerns one instance.
type InstanceChange struct {
	Name    string         `json:"name"`
	Desired *spec.Instance `json:"to"` // nil removes the instance
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
