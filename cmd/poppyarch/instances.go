package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/host/agent"
	"poppyarch/internal/textoutput"
)

// instanceCommand is a command that calls a running agent.
type instanceCommand struct {
	name   string
	method string // HTTP method of the call to the agent

	asJSON  bool
	runDir  string
	timeout time.Duration
}

// instanceCommands returns the commands that call a running agent.
func instanceCommands() []*cobra.Command {
	var commands []*cobra.Command
	for _, x := range []struct{ name, short, method string }{
		{"status", "Show the instances", http.MethodGet},
		{"start", "Start the named instances, or all that the inventory enables", http.MethodPost},
		{"stop", "Drain and stop the named instances, or all", http.MethodPost},
		{"restart", "Restart the named instances, or all running ones, one after another", http.MethodPost},
		{"reload", "Reload the inventory and reconcile the instances with it", http.MethodPost},
	} {
		f := &instanceCommand{name: x.name, method: x.method}
		c := &cobra.Command{Use: x.name + " [INSTANCE...]", Short: x.short, Args: checkArgs(cobra.ArbitraryArgs), RunE: f.run}
		if x.name == "reload" {
			c.Use = x.name
			c.Args = checkArgs(cobra.NoArgs)
		}
		c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON, for scripts")
		c.Flags().StringVar(&f.runDir, "run-dir", defaultRunDir(), "the agent's run directory")
		c.Flags().DurationVar(&f.timeout, "timeout", 5*time.Minute, "give up after this time")
		commands = append(commands, c)
	}
	return commands
}

func (f *instanceCommand) run(cmd *cobra.Command, names []string) error {
	ctx, stop := context.WithTimeout(cmd.Context(), f.timeout)
	defer stop()
	reply, err := agent.Call(ctx, filepath.Join(f.runDir, agentSocket), f.method, f.name, agent.Request{Names: names})
	if err == nil && f.name == "status" {
		reply.Instances, err = selectInstances(reply.Instances, names)
	}
	switch {
	case f.asJSON:
		if err != nil {
			reply.Error = err.Error()
		}
		if err := printJSON(cmd.OutOrStdout(), reply); err != nil {
			return err
		}
	case err == nil:
		if err := printAgentReply(cmd.OutOrStdout(), f.name, reply); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if f.name == "status" {
		return checkRunning(reply.Instances)
	}
	return nil
}

// selectInstances returns the named instances, or all if names is empty.
func selectInstances(all []agent.Status, names []string) ([]agent.Status, error) {
	if len(names) == 0 {
		return all, nil
	}
	var selected []agent.Status
	for _, name := range names {
		before := len(selected)
		for _, instance := range all {
			if instance.Name == name {
				selected = append(selected, instance)
			}
		}
		if len(selected) == before {
			return nil, fmt.Errorf("instance %s: %w", name, agent.ErrUnknownInstance)
		}
	}
	return selected, nil
}

// checkRunning returns an error if an instance that should run does not.
func checkRunning(all []agent.Status) error {
	down := 0
	for _, instance := range all {
		if instance.ShouldRun && instance.State != agent.Running {
			down++
		}
	}
	if down > 0 {
		return &exitError{exitUnhealthy, fmt.Errorf("%d of %d instances should be running and are not", down, len(all))}
	}
	return nil
}

// printAgentReply prints an agent's reply as text.
func printAgentReply(out io.Writer, command string, reply agent.Reply) error {
	p := textoutput.NewPrinter(out)
	if c := reply.Changes; c != nil {
		p.Printf("added %v, removed %v, restarted %v, unchanged %d\n", c.Added, c.Removed, c.Restarted, c.Unchanged)
	}
	if command != "status" && reply.Changes == nil {
		p.Println(command + ": done")
		return p.Err()
	}
	p.Section(func(out io.Writer) error { return printInstances(out, reply.Instances) })
	return p.Err()
}

func printInstances(out io.Writer, instances []agent.Status) error {
	t := textoutput.NewTable(out, "NAME", "STATE", "PID", "LISTEN", "RESTARTS", "SINCE", "LAST ERROR")
	for _, s := range instances {
		addresses := strings.Trim(s.Listen+" "+s.ObjectListen, " ")
		t.Printf("%s\t%s\t%d\t%s\t%d\t%s\t%s\n", s.Name, s.State, s.PID, addresses, s.Restarts,
			s.Since.Format(time.RFC3339), s.Error)
	}
	return t.Flush()
}
