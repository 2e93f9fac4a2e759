package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

func (f *fleetFlags) statusCommand() *cobra.Command {
	var selectors []string
	c := &cobra.Command{
		Use: "status [INSTANCE...]", Short: "Show instances, agents and rollouts; exit code 4 if anything differs from its desired state",
		Args:              checkArgs(cobra.ArbitraryArgs),
		ValidArgsFunction: f.completeInstances,
		RunE: f.inSession(func(s *session) error {
			overview, err := s.client.Overview(s.ctx, s.args, selectors)
			if err != nil {
				return err
			}
			if err := checkNamesExist(overview.Instances, s.args); err != nil {
				return err
			}
			if err := s.print(overview, func(out io.Writer) error { return printOverview(out, overview) }); err != nil {
				return err
			}
			return checkDesiredState(overview.Instances)
		}),
	}
	c.Flags().StringArrayVarP(&selectors, "select", "l", nil, "show only instances that match group=G, agent=A, domain=D or label.KEY=VALUE; repeated selectors must all match")
	return c
}

func checkNamesExist(instances []state.InstanceStatus, names []string) error {
	known := map[string]bool{}
	for i := range instances {
		known[instances[i].Name] = true
	}
	for _, name := range names {
		if !known[name] {
			return &exitError{exitUsage, fmt.Errorf("unknown instance: %s", name)}
		}
	}
	return nil
}

// checkDesiredState returns an error if an instance is not current, or is enabled and not available.
func checkDesiredState(instances []state.InstanceStatus) error {
	differing := 0
	for i := range instances {
		if !instances[i].Current || instances[i].Enabled && !instances[i].Available {
			differing++
		}
	}
	if differing > 0 {
		return &exitError{exitUnhealthy, fmt.Errorf("%d of %d instances are not in their desired state", differing, len(instances))}
	}
	return nil
}

// completionTimeout bounds how long shell completion waits for the names of instances.
const completionTimeout = time.Second

// completeInstances asks the manager for the names of instances, for shell completion.
func (f *fleetFlags) completeInstances(cmd *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	fleetSettings, err := f.load()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), completionTimeout)
	defer cancel()
	client := api.NewClient(fleetSettings.Fleet.Manager)
	defer client.Close()
	overview, err := client.Overview(ctx, nil, nil)
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	var names []string
	for i := range overview.Instances {
		names = append(names, overview.Instances[i].Name)
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func (f *fleetFlags) agentsCommand() *cobra.Command {
	c := &cobra.Command{Use: "agents", Short: "Show agents, and retire an agent whose machine will not come back"}
	c.AddCommand(f.listAgentsCommand(), f.retireCommand())
	return c
}

func (f *fleetFlags) listAgentsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the agents", Args: checkArgs(cobra.NoArgs),
		RunE: f.inSession(func(s *session) error {
			overview, err := s.client.Overview(s.ctx, nil, nil)
			if err != nil {
				return err
			}
			return s.print(overview.Agents, func(out io.Writer) error { return printAgents(out, overview.Agents) })
		}),
	}
}

func (f *fleetFlags) retireCommand() *cobra.Command {
	change := changeFlags{}
	c := &cobra.Command{
		Use: "retire AGENT", Short: "Declare that an agent's machine will not come back, so that its instances can start elsewhere", Args: checkArgs(cobra.ExactArgs(1)),
		Long: "An instance that moves to another agent is started there once the old agent has released it. An agent whose\n" +
			"machine will not come back cannot release its instances: this command releases them in its place. Only an agent that\n" +
			"the manager shows as silent can be retired. Make sure first that its brokers do not run.",
		RunE: f.inSession(func(s *session) error {
			command, err := s.newCommand(change)
			if err != nil {
				return err
			}
			reply, err := s.client.Retire(s.ctx, &api.RetireRequest{Command: command, Agent: s.args[0]})
			if err != nil {
				return err
			}
			return s.printReply("agents retire", reply)
		}),
	}
	change.addNote(c)
	return c
}

// defaultHistoryCount is the number of revisions that history shows by default.
const defaultHistoryCount = 20

func (f *fleetFlags) historyCommand() *cobra.Command {
	var count int
	c := &cobra.Command{
		Use: "history", Short: "Show the revisions, newest first",
		RunE: f.inSession(func(s *session) error {
			history, err := s.client.History(s.ctx, count)
			if err != nil {
				return err
			}
			return s.print(history, func(out io.Writer) error { return printHistory(out, history) })
		}),
	}
	c.Flags().IntVarP(&count, "count", "n", defaultHistoryCount, "maximum number of revisions to show")
	return c
}
