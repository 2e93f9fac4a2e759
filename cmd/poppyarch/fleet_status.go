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
		Args:              usage(cobra.ArbitraryArgs),
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
	c.Flags().StringArrayVarP(&selectors, "select", "l", nil, "group=G, agent=A, domain=D or label.KEY=VALUE; all given ones must match")
	return c
}

func checkNamesExist(instances []state.InstanceStatus, names []string) error {
	known := map[string]bool{}
	for i := range instances {
		known[instances[i].Name] = true
	}
	for _, name := range names {
		if !known[name] {
			return &exit{exitUsage, fmt.Errorf("instance %s: unknown", name)}
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
		return &exit{exitUnhealthy, fmt.Errorf("%d of %d instances are not as wanted", differing, len(instances))}
	}
	return nil
}

// completionTimeout bounds how long a shell waits for the names of instances.
const completionTimeout = time.Second

// completeInstances asks the manager for the names of instances, for shell completion.
func (f *fleetFlags) completeInstances(cmd *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	set, err := f.load()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), completionTimeout)
	defer cancel()
	client := api.NewClient(set.Fleet.Manager)
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
	c := &cobra.Command{Use: "agents", Short: "Show agents, and retire one whose machine is gone for good"}
	c.AddCommand(f.listAgentsCommand(), f.retireCommand())
	return c
}

func (f *fleetFlags) listAgentsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the agents", Args: usage(cobra.NoArgs),
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
		Use: "retire AGENT", Short: "Declare an agent's machine gone for good, so that its instances can start elsewhere", Args: usage(cobra.ExactArgs(1)),
		Long: "An instance that moves to another agent is started there once the old agent has released it. A machine that will not\n" +
			"come back releases nothing: this command does it in its place. Only a silent agent can be retired. Make sure that its\n" +
			"brokers do not run.",
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

// defaultHistoryCount is how many revisions are shown.
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
	c.Flags().IntVarP(&count, "count", "n", defaultHistoryCount, "show at most this many")
	return c
}
