// Package state is the fleet as its manager knows it: what is wanted, in numbered revisions; what agents have seen;
// which rollout is under way; and what to do next. It does no I/O and reads no clock: times come in as microseconds,
// what must survive goes out as Records, and only a Record that is on disk may be applied.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"poppyarch/internal/fleet/spec"
)

// What a command may be refused for.
var (
	ErrConflict      = errors.New("the fleet has moved on")       // the expected revision is not the newest
	ErrRolloutActive = errors.New("a rollout is under way")       // and the caller does not want to wait its turn
	ErrNotFound      = errors.New("unknown")                      // a name, revision or rollout that does not exist
	ErrFenced        = errors.New("a newer agent has taken over") // the token is not the newest one
	ErrInvalidState  = errors.New("not possible now")
)

// CountOrPercent is a count or a share of a whole, as "3" or "25%".
type CountOrPercent struct {
	Count   int
	Percent float64
}

// ParseCountOrPercent reads "3" or "25%".
func ParseCountOrPercent(s string) (CountOrPercent, error) {
	if p, ok := strings.CutSuffix(strings.TrimSpace(s), "%"); ok {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil || !(v >= 0 && v <= 100) {
			return CountOrPercent{}, fmt.Errorf("%q is not a share from 0%% to 100%%", s)
		}
		return CountOrPercent{Percent: v}, nil
	}
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return CountOrPercent{}, fmt.Errorf("%q is neither a count nor a share such as 25%%", s)
	}
	return CountOrPercent{Count: n}, nil
}

// Of is the amount of a whole, rounded down.
func (a CountOrPercent) Of(whole int) int {
	if a.Percent > 0 {
		return int(math.Floor(float64(whole)*a.Percent/100 + 1e-9))
	}
	return a.Count
}

func (a CountOrPercent) String() string {
	if a.Percent > 0 {
		return strconv.FormatFloat(a.Percent, 'g', -1, 64) + "%"
	}
	return strconv.Itoa(a.Count)
}

// MarshalText writes the form that ParseAmount reads.
func (a CountOrPercent) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText reads it.
func (a *CountOrPercent) UnmarshalText(b []byte) (err error) {
	*a, err = ParseCountOrPercent(string(b))
	return err
}

// Strategy says how a revision reaches the instances. Times are microseconds.
type Strategy struct {
	Canary           int            `json:"canary"`          // instances of the first wave; 0: no canary
	Batch            CountOrPercent `json:"batch"`           // instances of each further wave, of those that change
	MaxUnavailable   CountOrPercent `json:"max_unavailable"` // of the enabled instances; at least 1
	OneDomainPerWave bool           `json:"by_domain"`       // a wave stays within one failure domain
	SoakTime         int64          `json:"soak_us"`         // a wave is over when all of it was well for so long
	ProgressDeadline int64          `json:"deadline_us"`     // an instance that is not current so long after its release has failed
	FailureBudget    CountOrPercent `json:"failure_budget"`  // so many may fail, of those that change
	OnFailure        string         `json:"on_failure"`      // beyond the budget: "pause" or "rollback"
	Overlap          string         `json:"overlap"`         // while another is under way: "queue" or "refuse"
}

// DefaultStrategy takes one instance, then a quarter at a time, with one out of service.
func DefaultStrategy() Strategy {
	const s = 1_000_000
	return Strategy{Canary: 1, Batch: CountOrPercent{Percent: 25}, MaxUnavailable: CountOrPercent{Count: 1}, OneDomainPerWave: true, SoakTime: 5 * s,
		ProgressDeadline: 60 * s, OnFailure: "pause", Overlap: "queue"}
}

// Validate reports the first figure that cannot be, by its name.
func (s *Strategy) Validate() error {
	switch {
	case s.Canary < 0:
		return fmt.Errorf("canary: %d is negative", s.Canary)
	case s.SoakTime < 0:
		return fmt.Errorf("soak: %d is negative", s.SoakTime)
	case s.ProgressDeadline <= 0:
		return fmt.Errorf("deadline: %d is not above 0", s.ProgressDeadline)
	case s.OnFailure != "pause" && s.OnFailure != "rollback":
		return fmt.Errorf("on_failure: %q is neither pause nor rollback", s.OnFailure)
	case s.Overlap != "queue" && s.Overlap != "refuse":
		return fmt.Errorf("overlap: %q is neither queue nor refuse", s.Overlap)
	}
	return nil
}

// ProcessState is what an agent knows of an instance's process.
type ProcessState string

// The states of a process. The empty one says that nothing is known.
const (
	Unknown  ProcessState = ""
	Absent   ProcessState = "absent" // the agent has nothing of it any more
	Stopped  ProcessState = "stopped"
	Starting ProcessState = "starting"
	Running  ProcessState = "running"
	Draining ProcessState = "draining"
	Backoff  ProcessState = "backoff" // crashed, waits for its next start
)

// Report is an instance as its agent last saw it.
type Report struct {
	Name            string       `json:"name"`
	Process         ProcessState `json:"proc"`
	PID             int          `json:"pid,omitempty"`
	Incarnation     string       `json:"boot,omitempty"`    // of the broker, in its own words
	AppliedEdition  uint64       `json:"applied,omitempty"` // the edition that this boot holds, in its own words
	StartDigest     string       `json:"started,omitempty"` // digest of the start settings of this process
	ListRevision    int64        `json:"list,omitempty"`    // version of the node list that it works by
	NodeCount       int          `json:"nodes,omitempty"`   // entries of it
	Healthy         bool         `json:"healthy,omitempty"` // its fronts answer
	RejectedEdition uint64       `json:"refused,omitempty"` // an edition that this boot turned down
	Crashes         int          `json:"crashes,omitempty"`
	Flapping        bool         `json:"flapping,omitempty"`
	Error           string       `json:"error,omitempty"`
}

// Phase is where a rollout stands.
type Phase string

// The phases. Done and Aborted are ends.
const (
	Queued  Phase = "queued"
	Active  Phase = "active"
	Paused  Phase = "paused"
	Done    Phase = "done"
	Aborted Phase = "aborted"
)

// RecordKind names what a Record says.
type RecordKind string

// The kinds of records.
const (
	RecordFleetCreated       RecordKind = "fleet"    // the first of a journal: it is Fleet's
	RecordAgentRegistered    RecordKind = "agent"    // Agent registered and got Token
	RecordRevisionCreated    RecordKind = "revision" // Rev changes Set and begins a rollout
	RecordNodeOverridesSet   RecordKind = "nodes"    // Rev changes the operators' node changes to Nodes
	RecordRolloutStarted     RecordKind = "begin"    // the rollout of Rev is the active one, in Waves
	RecordInstancesReleased  RecordKind = "release"  // Names of it are told to change
	RecordInstanceFailed     RecordKind = "fail"     // Names[0] of it failed, for Reason
	RecordWaveFinished       RecordKind = "wave"     // its wave is over
	RecordPhaseChanged       RecordKind = "phase"    // it is now in Phase, for Reason
	RecordInstanceHandedOver RecordKind = "handover" // Names[0] is now the agent's that it is wanted at
	RecordInstanceRemoved    RecordKind = "gone"     // Names[0], not wanted any more, has ended
	RecordAgentRetired       RecordKind = "retire"   // Agent will not come back: what it held is free
)

// Record is one fact that survives. Replaying a journal's records in order gives the state again.
type Record struct {
	Kind         RecordKind          `json:"kind"`
	CommandID    string              `json:"command,omitempty"` // id of the command it comes from
	At           int64               `json:"at,omitempty"`      // Unix time in microseconds, for people
	Author       string              `json:"by,omitempty"`
	Note         string              `json:"note,omitempty"`
	Revision     uint64              `json:"rev,omitempty"`
	Changes      []InstanceChange    `json:"set,omitempty"`
	Configs      map[string]string   `json:"configs,omitempty"`
	Nodes        []spec.NodeOverride `json:"nodes,omitempty"`
	Strategy     *Strategy           `json:"strategy,omitempty"`
	IsRollback   bool                `json:"back,omitempty"` // the revision goes back to that of From
	RollbackTo   uint64              `json:"from,omitempty"`
	WithNodes    bool                `json:"with_nodes,omitempty"` // a revision that sets Nodes as well
	Waves        [][]string          `json:"waves,omitempty"`
	Instances    []string            `json:"names,omitempty"`
	Phase        Phase               `json:"phase,omitempty"`
	Reason       string              `json:"reason,omitempty"`
	Agent        string              `json:"agent,omitempty"`
	FleetID      string              `json:"fleet,omitempty"`
	Token        uint64              `json:"token,omitempty"`
	KnownEdition uint64              `json:"seen,omitempty"` // edition that the agent's brokers may hold, of another fleet or of lost history
}

// InstanceChange is one instance of a revision; nil removes it.
type InstanceChange struct {
	Name    string         `json:"name"`
	Desired *spec.Instance `json:"to"`
}

// Encode is a record's form on disk.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads it.
func DecodeRecord(b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &r, nil
}

// Result is what a command did. A repeated command gets the result of its first time.
type Result struct {
	Revision uint64        `json:"rev,omitempty"`
	Rollout  uint64        `json:"rollout,omitempty"` // a rollout goes by its revision's number
	Changes  []spec.Change `json:"changes,omitempty"`
	Repeated bool          `json:"repeated,omitempty"`
	Text     string        `json:"text,omitempty"`
}

// Limits bounds the state. Times are microseconds.
type Limits struct {
	MaxRevisions int   // kept for rollback
	MaxCommands  int   // remembered by their ids
	AgentTimeout int64 // an agent not heard of for so long is silent: nothing is known of its instances
	MaxReleases  int   // in one record
}

// DefaultLimits suit agents that call at least once a second.
func DefaultLimits() Limits {
	return Limits{MaxRevisions: 500, MaxCommands: 4096, AgentTimeout: 5_000_000, MaxReleases: 256}
}
