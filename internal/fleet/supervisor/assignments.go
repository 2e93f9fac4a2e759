package supervisor

import (
	"context"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

// takeAssignments makes assignments the desired state. It fetches the configurations that they refer to first, so that
// one journal record holds both. Assignments of a session that has ended meanwhile are ignored.
func (s *Supervisor) takeAssignments(ctx context.Context, registration api.Registration, assignments *api.Assignments) error {
	configs, err := s.fetchConfigs(ctx, assignments)
	if err != nil {
		return err
	}
	return s.runInLoop(ctx, func() error {
		current := s.session.registration
		if current.Epoch != registration.Epoch || current.Token != registration.Token {
			return nil
		}
		return s.commitAssignments(registration.FleetID, assignments, configs)
	})
}

// fetchConfigs fetches the configurations that the journal does not hold, and returns their texts by digest.
func (s *Supervisor) fetchConfigs(ctx context.Context, assignments *api.Assignments) (map[string]string, error) {
	var missing []string
	if err := s.runInLoop(ctx, func() error {
		for i := range assignments.List {
			desired := assignments.List[i].Desired
			if desired != nil && s.state.Configs[desired.Start.Config] == "" {
				missing = append(missing, desired.Start.Config)
			}
		}
		return nil
	}); err != nil {
		return nil, err
	}
	configs := map[string]string{}
	for _, digest := range missing {
		if configs[digest] != "" {
			continue
		}
		text, err := s.manager.Config(ctx, digest)
		if err != nil {
			return nil, err
		}
		configs[digest] = text
	}
	return configs, nil
}

// commitAssignments writes assignments to the journal, and sets the desired state of the instances from them.
func (s *Supervisor) commitAssignments(fleetID string, assignments *api.Assignments, configs map[string]string) error {
	if fleetID == s.state.FleetID && assignments.Edition < s.state.Edition {
		return &HistoryError{
			FleetID:      fleetID,
			Edition:      assignments.Edition,
			KnownFleetID: s.state.FleetID,
			KnownEdition: s.state.Edition,
		}
	}
	finished := s.releasedAndReported(assignments)
	if len(assignments.List) > 0 || assignments.Full || assignments.Edition > s.state.Edition {
		if err := s.commit(&record{
			Kind:        recordAssignments,
			FleetID:     fleetID,
			Edition:     assignments.Edition,
			Full:        assignments.Full,
			Assignments: assignments.List,
			Nodes:       assignments.Nodes,
			Configs:     configs,
		}); err != nil {
			return err
		}
	}
	s.session.assignmentsVersion = assignments.Version
	for name, stored := range s.state.Instances {
		instance := s.instance(name)
		if desired := stored.desired(); desired != instance.Desired {
			instance.SetDesired(desired)
		}
		instance.nextActionAt = 0
	}
	if err := s.forget(finished); err != nil {
		return err
	}
	s.requestReport()
	return nil
}

// releasedAndReported returns the names of the instances that had been released and have ended, and that the
// assignments release again: the manager knows that they have ended, and they can be forgotten.
func (s *Supervisor) releasedAndReported(assignments *api.Assignments) []string {
	released := map[string]bool{}
	for i := range assignments.List {
		assignment := &assignments.List[i]
		released[assignment.Name] = assignment.Release && !assignment.Unreleased
	}
	var names []string
	for name, instance := range s.instances {
		release, listed := released[name]
		if assignments.Full && !listed {
			release = true
		}
		ended := instance.handle == nil && instance.Report(s.clock.Now()).Process == state.ProcessAbsent
		if release && instance.Desired.Released && ended {
			names = append(names, name)
		}
	}
	return names
}

// forget deletes the named instances that are still released.
func (s *Supervisor) forget(names []string) error {
	for _, name := range names {
		if stored := s.state.Instances[name]; stored == nil || !stored.Assignment.Release {
			continue
		}
		if err := s.commit(&record{Kind: recordForgotten, Name: name}); err != nil {
			return err
		}
		delete(s.instances, name)
	}
	return nil
}
