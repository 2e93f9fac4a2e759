package state

import (
	"errors"
	"testing"
)

func TestApplyRejectsInconsistentRecords(t *testing.T) {
	for _, test := range []struct {
		record *Record
		want   string
	}{
		{&Record{Kind: "other"}, "record other: unknown kind"},
		{&Record{Kind: RecordNodeOverridesSet, Revision: 2}, "record nodes: revision 2 after 0"},
		{&Record{Kind: RecordRolloutStarted, Revision: 1}, "record begin: rollout 1 is not next"},
		{&Record{Kind: RecordWaveFinished, Revision: 1}, "record wave: rollout 1 is not the active one"},
		{&Record{Kind: RecordAgentRetired, Agent: "a"}, `record retire: no agent "a"`},
		{&Record{Kind: RecordInstanceRemoved, Instances: []string{"n"}}, `record gone: no such instance ["n"]`},
	} {
		err := New(testLimits).Apply(test.record)
		var recordError *RecordError
		if !errors.As(err, &recordError) || recordError.Kind != test.record.Kind || err.Error() != test.want {
			t.Errorf("applying record %s returns error %v, want %s", test.record.Kind, err, test.want)
		}
	}
}

func TestRestoreReportsDamagedSnapshot(t *testing.T) {
	for _, encoded := range []string{"", "[]", `{"head":{"n":1}}`} {
		_, err := Restore([]byte(encoded), testLimits)
		var snapshotError *SnapshotError
		if !errors.As(err, &snapshotError) {
			t.Errorf("restoring snapshot %q returns error %v, want a *SnapshotError", encoded, err)
		}
	}
}
