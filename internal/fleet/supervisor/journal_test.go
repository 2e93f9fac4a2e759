package supervisor

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/testkit/faultfs"
)

// assignment returns the assignment of an instance with a configuration.
func assignment(name, configDigest string) state.Assignment {
	return state.Assignment{Name: name, Desired: &spec.Instance{Name: name, Start: spec.StartSettings{Config: configDigest}}}
}

func mustApply(t *testing.T, s *journalState, r *record) {
	t.Helper()
	if err := s.apply(r); err != nil {
		t.Fatalf("apply record %s: %v", r.Kind, err)
	}
}

func TestRecordOfUnknownInstanceOrKindIsRejected(t *testing.T) {
	for _, c := range []struct {
		name   string
		record record
		want   string
	}{
		{"unknown instance", record{Kind: recordStarted, Name: "n9"}, `record started: no instance "n9"`},
		{"unknown kind", record{Kind: "later", Name: "n1"}, `record "later": unknown kind`},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newJournalState()
			mustApply(t, s, &record{Kind: recordAssignments, Assignments: []state.Assignment{assignment("n1", "d")}})
			if err := s.apply(&c.record); err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestFullListReleasesUnlistedInstances(t *testing.T) {
	s := newJournalState()
	mustApply(t, s, &record{Kind: recordAssignments, Assignments: []state.Assignment{assignment("n1", "d"), assignment("n2", "d"), assignment("n3", "d")}})
	unreleased := state.Assignment{Name: "n3", Unreleased: true}
	mustApply(t, s, &record{Kind: recordAssignments, Full: true, Assignments: []state.Assignment{assignment("n1", "d"), unreleased}})
	for name, released := range map[string]bool{"n1": false, "n2": true, "n3": false} {
		if got := s.Instances[name].desired().Released; got != released {
			t.Errorf("%s released: %v, want %v", name, got, released)
		}
	}
	if s.Instances["n3"].Assignment.Desired == nil {
		t.Error("n3 lost its assignment before its rollout wave")
	}
}

func TestUnusedConfigurationsAreDropped(t *testing.T) {
	s := newJournalState()
	mustApply(t, s, &record{
		Kind:        recordAssignments,
		Assignments: []state.Assignment{assignment("n1", "old"), assignment("n2", "kept")},
		Configs:     map[string]string{"old": "1", "kept": "2"},
	})
	mustApply(t, s, &record{
		Kind:        recordAssignments,
		Assignments: []state.Assignment{assignment("n1", "new")},
		Configs:     map[string]string{"new": "3"},
	})
	if got := slices.Sorted(maps.Keys(s.Configs)); !slices.Equal(got, []string{"kept", "new"}) {
		t.Errorf("configurations are %v, want kept and new", got)
	}
}

func TestRecordThatCannotBeWrittenIsNotApplied(t *testing.T) {
	disk := faultfs.New()
	machine := newFakeMachine(t)
	s, err := Open(disk, Options{Name: "a1"}, machine, machine, &managerLink{}, testLog)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}()
	disk.SetFreeSpace(0)
	r := &record{Kind: recordAssignments, FleetID: "f", Assignments: []state.Assignment{assignment("n1", "d")}}
	if err := s.commit(r); !errors.Is(err, errJournal) {
		t.Errorf("commit on a full disk returned %v, want errJournal", err)
	}
	if err := s.commitResult(r); err != nil {
		t.Errorf("commitResult on a full disk returned %v, want none", err)
	}
	if s.state.FleetID != "" || len(s.state.Instances) != 0 {
		t.Errorf("a record that is not on disk was applied: %+v", s.state)
	}
	disk.SetFreeSpace(-1)
	if err := s.commit(r); err != nil {
		t.Error(err)
	}
	if s.state.FleetID != "f" || s.state.Instances["n1"] == nil {
		t.Errorf("the record on disk was not applied: %+v", s.state)
	}
}

func TestCommittedRecordsAreReplayedByTheNextAgent(t *testing.T) {
	disk := faultfs.New()
	machine := newFakeMachine(t)
	first, err := Open(disk, Options{Name: "a1", CompactBytes: 1}, machine, machine, &managerLink{}, testLog)
	if err != nil {
		t.Fatal(err)
	}
	r := &record{Kind: recordAssignments, FleetID: "f", Edition: 7, Assignments: []state.Assignment{assignment("n1", "d")}}
	if err := first.commit(r); err != nil {
		t.Fatal(err)
	}
	if err := first.compactIfDue(); err != nil {
		t.Fatal(err)
	}
	if err := first.commit(&record{Kind: recordStarting, Name: "n1", LaunchID: "l1", StartDigest: "s1"}); err != nil {
		t.Fatal(err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	j, contents, err := journal.Open(disk, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := j.Close(); err != nil {
			t.Error(err)
		}
	}()
	s, err := replay(contents.Snapshot, contents.Records)
	if err != nil {
		t.Fatal(err)
	}
	if s.FleetID != "f" || s.Edition != 7 || s.Instances["n1"].LaunchID != "l1" || s.Instances["n1"].StartDigest != "s1" {
		t.Errorf("replayed state is %+v, want fleet f, edition 7, and n1 with launch id l1 and start digest s1", s)
	}
}
