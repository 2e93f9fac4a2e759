package manager

import (
	"fmt"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/state"
)

// commit appends a record to the journal and applies it to the state once it is on disk. The caller holds mu. The error
// wraps api.ErrStorage if nothing has changed.
func (m *Manager) commit(r *state.Record) error {
	encoded, err := r.Encode()
	if err == nil {
		err = m.journal.Append(encoded)
	}
	if err != nil {
		m.journalFault = err.Error()
		m.log.Error("manager: journal not written, nothing has changed", "record", r.Kind, "err", err)
		if fatal := m.journal.Err(); fatal != nil {
			m.fail(fatal)
		}
		return fmt.Errorf("%w: %w", api.ErrStorage, err)
	}
	if err := m.state.Apply(r); err != nil {
		m.fail(fmt.Errorf("record %s: %w", r.Kind, err))
		return err
	}
	m.journalFault = ""
	m.logRecord(r)
	m.notifyChanged()
	return nil
}

// fail ends the manager, whose state may differ from what is on disk. The next incarnation reads the journal again. The
// caller holds mu.
func (m *Manager) fail(err error) {
	if m.failure == nil {
		m.failure = err
		close(m.failed)
	}
}

// notifyChanged wakes all calls that wait for a change of the state. The caller holds mu.
func (m *Manager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// compactIfDue replaces the journal's log with a snapshot once the log exceeds Options.CompactBytes. The caller holds
// mu.
func (m *Manager) compactIfDue() {
	if m.failure != nil || m.journal.Size() <= m.options.CompactBytes {
		return
	}
	snapshot, err := m.state.Snapshot()
	if err == nil {
		err = m.journal.Compact(snapshot)
	}
	if err != nil {
		m.journalFault = err.Error()
		m.log.Error("manager: journal not compacted", "err", err)
		if fatal := m.journal.Err(); fatal != nil {
			m.fail(fatal)
		}
		return
	}
	m.log.Info("manager: journal compacted", "bytes", len(snapshot))
}

// logRecovery logs the faults found in the journal when it was opened.
func (m *Manager) logRecovery(report *journal.RecoveryReport) {
	if report.TornBytes > 0 {
		m.log.Warn("manager: cut off an incomplete last record of the journal", "bytes", report.TornBytes)
	}
	for _, d := range report.Damaged {
		m.log.Error("manager: damaged journal", "file", d.File, "offset", d.Offset, "bytes", d.Bytes, "kept", d.RenamedTo, "what", d.Reason)
		m.journalFault = "records were lost: " + d.File + ": " + d.Reason
	}
}

// logRecord logs a change of the state.
func (m *Manager) logRecord(r *state.Record) {
	switch r.Kind {
	case state.RecordAgentRegistered:
		m.log.Info("manager: agent registered", "agent", r.Agent, "token", r.Token)
	case state.RecordRevisionCreated:
		m.log.Info("manager: new revision", "revision", r.Revision, "changes", len(r.Changes), "back_to", r.RollbackTo,
			"by", r.Author, "note", r.Note)
	case state.RecordNodeOverridesSet:
		m.log.Info("manager: node overrides changed", "revision", r.Revision, "in_force", len(r.Nodes), "by", r.Author, "note", r.Note)
	case state.RecordRolloutStarted:
		m.log.Info("manager: rollout started", "rollout", r.Revision, "waves", len(r.Waves))
	case state.RecordInstancesReleased:
		m.log.Info("manager: instances released", "rollout", r.Revision, "instances", r.Instances)
	case state.RecordInstanceFailed:
		m.log.Error("manager: instance failed", "rollout", r.Revision, "instance", r.Instances[0], "reason", r.Reason)
	case state.RecordWaveFinished:
		m.log.Info("manager: wave finished", "rollout", r.Revision)
	case state.RecordPhaseChanged:
		m.log.Info("manager: rollout phase changed", "rollout", r.Revision, "phase", r.Phase, "reason", r.Reason, "by", r.Author)
	case state.RecordAgentRetired:
		m.log.Warn("manager: agent retired, its instances may start elsewhere", "agent", r.Agent, "by", r.Author, "note", r.Note)
	case state.RecordInstanceHandedOver:
		m.log.Info("manager: instance handed over", "instance", r.Instances[0], "why", r.Kind)
	case state.RecordInstanceRemoved:
		m.log.Info("manager: instance removed", "instance", r.Instances[0], "why", r.Kind)
	}
}
