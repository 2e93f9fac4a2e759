package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/desired"
	"poppyarch/internal/fleet/state"
)

// submitInventory sends an inventory to the manager as the desired state.
func (s *session) submitInventory(file string, f changeFlags) (api.Reply, error) {
	if file == "" {
		file = s.settings.Fleet.Inventory
	}
	if file == "" {
		return api.Reply{}, &exitError{exitUsage, errors.New("no inventory given: use --inventory, or fleet.inventory in the fleet's TOML file")}
	}
	spec, err := desired.Load(file, s.settings.Fleet.DefaultAgent)
	if err != nil {
		return api.Reply{}, &exitError{exitUsage, err}
	}
	command, err := s.newCommand(f)
	if err != nil {
		return api.Reply{}, err
	}
	return s.client.Apply(s.ctx, &api.ApplyRequest{Command: command, Spec: *spec, Strategy: s.settings.Strategy.RolloutStrategy()})
}

func addInventoryFlag(c *cobra.Command, file *string) {
	c.Flags().StringVarP(file, "inventory", "i", "", "inventory file (.csv, .yaml or .yml; default: fleet.inventory in the fleet's TOML file)")
}

func (f *fleetFlags) applyCommand() *cobra.Command {
	var file string
	change := changeFlags{}
	c := &cobra.Command{
		Use: "apply", Short: "Make the inventory the desired state and roll it out",
		RunE: f.inSession(func(s *session) error {
			reply, err := s.submitInventory(file, change)
			if err != nil {
				return err
			}
			return s.finishRollout("apply", reply, change)
		}),
	}
	addInventoryFlag(c, &file)
	change.addAll(c, "return when the rollout has ended")
	return c
}

func (f *fleetFlags) planCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "plan", Short: "Show what apply would do, wave by wave",
		RunE: f.inSession(func(s *session) error {
			reply, err := s.submitInventory(file, changeFlags{dryRun: true})
			if err != nil {
				return err
			}
			return s.printReply("plan", reply)
		}),
	}
	addInventoryFlag(c, &file)
	return c
}

func (f *fleetFlags) diffCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "diff", Short: "Show what differs between the inventory and the fleet; exit code 4 if anything does",
		RunE: f.inSession(func(s *session) error {
			reply, err := s.submitInventory(file, changeFlags{dryRun: true})
			if err != nil {
				return err
			}
			if err := s.printReply("diff", reply); err != nil {
				return err
			}
			if reply.Plan != nil && len(reply.Plan.Changes) > 0 {
				return &exitError{exitUnhealthy, fmt.Errorf("%d instances differ", len(reply.Plan.Changes))}
			}
			return nil
		}),
	}
	addInventoryFlag(c, &file)
	return c
}

// finishRollout prints the reply to a command that starts a rollout and, with --wait, waits until the rollout has
// ended.
func (s *session) finishRollout(command string, reply api.Reply, f changeFlags) error {
	if err := s.printReply(command, reply); err != nil {
		return err
	}
	if f.wait && !f.dryRun && reply.Result.Rollout > 0 {
		return s.waitForRollout(reply.Result.Rollout)
	}
	return nil
}

func (f *fleetFlags) rolloutCommand() *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "Show and control rollouts"}
	c.AddCommand(f.rolloutStatusCommand(), f.rollbackCommand())
	for _, x := range []struct {
		name, short string
		phase       state.Phase
	}{
		{"pause", "Release no further instances until the rollout is resumed", state.Paused},
		{"resume", "Continue the rollout; failed instances are retried", state.Active},
		{"abort", "End the rollout at its current state; no further instances are released", state.Aborted},
	} {
		c.AddCommand(f.phaseCommand(x.name, x.short, x.phase))
	}
	return c
}

func (f *fleetFlags) rolloutStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the rollouts", Args: checkArgs(cobra.NoArgs),
		RunE: f.inSession(func(s *session) error {
			overview, err := s.client.Overview(s.ctx, nil, nil)
			if err != nil {
				return err
			}
			return s.print(overview.Rollouts, func(out io.Writer) error { return printRollouts(out, overview.Rollouts) })
		}),
	}
}

func (f *fleetFlags) phaseCommand(name, short string, phase state.Phase) *cobra.Command {
	var revision uint64
	change := changeFlags{}
	c := &cobra.Command{
		Use: name, Short: short, Args: checkArgs(cobra.NoArgs),
		RunE: f.inSession(func(s *session) error {
			command, err := s.newCommand(change)
			if err != nil {
				return err
			}
			reply, err := s.client.SetRolloutPhase(s.ctx, &api.SetPhaseRequest{Command: command, Revision: revision, To: phase})
			if err != nil {
				return err
			}
			return s.printReply("rollout "+name, reply)
		}),
	}
	c.Flags().Uint64Var(&revision, "rollout", 0, "revision of the rollout (default: the active one)")
	change.addNote(c)
	return c
}

func (f *fleetFlags) rollbackCommand() *cobra.Command {
	var target uint64
	var withNodes bool
	change := changeFlags{}
	c := &cobra.Command{
		Use: "rollback --to REVISION", Short: "Roll back to an earlier revision; an active rollout ends", Args: checkArgs(cobra.NoArgs),
		RunE: f.inSession(func(s *session) error {
			command, err := s.newCommand(change)
			if err != nil {
				return err
			}
			call := &api.RollbackRequest{Command: command, To: target, WithNodes: withNodes, Strategy: s.settings.Strategy.RolloutStrategy()}
			reply, err := s.client.Rollback(s.ctx, call)
			if err != nil {
				return err
			}
			return s.finishRollout("rollout rollback", reply, change)
		}),
	}
	c.Flags().Uint64Var(&target, "to", 0, "the revision")
	c.Flags().BoolVar(&withNodes, "nodes", false, "restore the node overrides of that revision too")
	change.addAll(c, "return when the rollout has ended")
	markRequired(c, "to")
	return c
}

func (f *fleetFlags) waitCommand() *cobra.Command {
	var revision uint64
	c := &cobra.Command{
		Use: "wait", Short: "Return when the fleet is in its desired state, or a rollout has ended",
		RunE: f.inSession(func(s *session) error {
			if revision > 0 {
				return s.waitForRollout(revision)
			}
			return s.waitUntilSettled()
		}),
	}
	c.Flags().Uint64Var(&revision, "rollout", 0, "wait for the rollout of this revision (default: for the whole fleet)")
	return c
}

// longPollTimeout is how long the manager may hold one Wait call open for a change.
const longPollTimeout = 500 * time.Millisecond

var errWaitTimeout = &exitError{exitRollout, errors.New("the rollout did not end, or the fleet did not settle, in time (see --timeout)")}

// settledResult is the JSON output of a wait for the whole fleet.
type settledResult struct {
	Settled bool `json:"settled"`
}

// waitForRollout follows a rollout to its end.
func (s *session) waitForRollout(revision uint64) error {
	progress := &rolloutProgress{session: s}
	return s.poll(revision, func(rollouts []state.RolloutStatus, _ bool) (bool, error) {
		for _, r := range rollouts {
			if r.Revision != revision {
				continue
			}
			progress.report(r)
			if err := checkNotStopped(r); err != nil {
				return true, err
			}
			if r.Phase == state.Done {
				return true, s.print(r, func(io.Writer) error { return nil })
			}
		}
		return false, nil
	})
}

// waitUntilSettled follows all rollouts until the whole fleet is in its desired state.
func (s *session) waitUntilSettled() error {
	progress := &rolloutProgress{session: s}
	return s.poll(0, func(rollouts []state.RolloutStatus, settled bool) (bool, error) {
		for _, r := range rollouts {
			if r.Phase == state.Done || r.Phase == state.Aborted {
				continue
			}
			progress.report(r)
			if err := checkNotStopped(r); err != nil {
				return true, err
			}
		}
		if !settled {
			return false, nil
		}
		return true, s.print(settledResult{Settled: true}, func(out io.Writer) error {
			_, err := fmt.Fprintln(out, "settled")
			return err
		})
	})
}

// poll fetches the rollouts until check reports the end or the session times out.
func (s *session) poll(revision uint64, check func(rollouts []state.RolloutStatus, settled bool) (bool, error)) error {
	for {
		progress, err := s.client.Wait(s.ctx, revision, longPollTimeout)
		if err != nil {
			if s.ctx.Err() != nil {
				return errWaitTimeout
			}
			return err
		}
		ended, err := check(progress.Rollouts, progress.Settled)
		if ended || err != nil {
			return err
		}
		if s.ctx.Err() != nil {
			return errWaitTimeout
		}
	}
}

// checkNotStopped returns an error for a paused or aborted rollout, which does not continue by itself.
func checkNotStopped(r state.RolloutStatus) error {
	switch r.Phase {
	case state.Paused:
		return &exitError{exitRollout, fmt.Errorf("rollout %d is paused: %s", r.Revision, r.Reason)}
	case state.Aborted:
		return &exitError{exitRollout, fmt.Errorf("rollout %d was aborted: %s", r.Revision, r.Reason)}
	}
	return nil
}

// rolloutProgress prints the state of a rollout to standard error whenever the state has changed.
type rolloutProgress struct {
	session *session
	last    string
}

func (p *rolloutProgress) report(r state.RolloutStatus) {
	text := formatRollout(r)
	if text == p.last || p.session.flags.asJSON {
		return
	}
	p.session.cmd.PrintErrln(text)
	p.last = text
}
