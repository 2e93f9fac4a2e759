package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"os/user"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/desired"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/manager"
	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/fleet/settings"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/fleet/supervisor"
)

// fleetFlags are what all fleet commands have.
type fleetFlags struct {
	config, manager, dir, level, id string
	asJSON                          bool
	timeout                         time.Duration
}

func (f *fleetFlags) load() (settings.File, error) {
	path := f.config
	if path == "" {
		path = os.Getenv("POPPYARCH_FLEET")
	}
	s, err := settings.Load(path, f.dir)
	if err != nil {
		return s, &exit{exitUsage, err}
	}
	if v := os.Getenv("POPPYARCH_MANAGER"); v != "" {
		s.Fleet.Manager, s.Agent.Manager = v, v
	}
	if f.manager != "" {
		s.Fleet.Manager, s.Agent.Manager = f.manager, f.manager
	}
	return s, nil
}

// session is one call of a command: its settings, a client for the manager, and a context that ends with the time-out.
type session struct {
	cmd    *cobra.Command
	args   []string
	set    settings.File
	client *api.Client
	ctx    context.Context
}

// with runs a command in a session of its own.
func (f *fleetFlags) with(run func(*session) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		s, err := f.load()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
		defer cancel()
		client := api.NewClient(s.Fleet.Manager)
		defer client.Close()
		return run(&session{cmd: cmd, args: args, set: s, client: client, ctx: ctx})
	}
}

// command is a new command of the caller's. With --id a script that does not know whether it got through may ask again.
func (f *fleetFlags) command(note string, expect uint64, dry bool) state.Command {
	id := f.id
	if id == "" {
		var b [12]byte
		rand.Read(b[:])
		id = hex.EncodeToString(b[:])
	}
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	return state.Command{ID: id, Author: by, Note: note, ExpectedRevision: expect, DryRun: dry}
}

// fleetCommand is `poppyarch fleet`.
func fleetCommand() *cobra.Command {
	f := &fleetFlags{}
	c := &cobra.Command{
		Use: "fleet", Short: "Manage many instances on many machines as one",
		Long: "A manager keeps what is wanted, in numbered revisions; agents, one a machine, carry it out.\n\nExit codes: 0 done; " +
			"1 failed; 2 wrong arguments or a faulty file; 3 no manager answers;\n4 the fleet is not as wanted; 5 the fleet has moved on, or a rollout " +
			"is under way; 6 the rollout is paused,\nhas failed, or did not end in time.",
	}
	p := c.PersistentFlags()
	p.StringVarP(&f.config, "config", "c", "", "the fleet's TOML file (else POPPYARCH_FLEET)")
	p.StringVar(&f.manager, "manager", "", "unix:PATH or HOST:PORT of the manager (else POPPYARCH_MANAGER, else the file)")
	p.StringVar(&f.dir, "run-dir", defaultDir(), "journals and sockets where the file names no others")
	p.BoolVar(&f.asJSON, "json", false, "for scripts")
	p.DurationVar(&f.timeout, "timeout", 5*time.Minute, "give up after this")
	p.StringVar(&f.id, "id", "", "the command's id; asked again with the same id, it is carried out once")
	p.StringVar(&f.level, "log", "info", "of manager and agent: debug, info, warn or error")
	c.AddCommand(f.managerCommand(), f.agentCommand(), f.statusCommand(), f.applyCommand("apply"), f.applyCommand("plan"),
		f.applyCommand("diff"), f.rolloutCommand(), f.nodesCommand(), f.historyCommand(), f.waitCommand(), f.consoleCommand(), f.agentsCommand())
	for _, sub := range c.Commands() {
		if sub.Args == nil {
			sub.Args = usage(cobra.NoArgs)
		}
	}
	return c
}

// listenAt opens unix:PATH, in place of a dead process's socket, or HOST:PORT.
func listenAt(addr string) (net.Listener, error) {
	path, ok := strings.CutPrefix(addr, "unix:")
	if !ok {
		return net.Listen("tcp", addr)
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process listens there", path)
	}
	os.Remove(path)
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return ln, os.Chmod(path, 0o600)
}

func (f *fleetFlags) managerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "manager", Short: "Run the manager in the foreground",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := f.load()
			if err != nil {
				return err
			}
			log, err := logger(f.level)
			if err != nil {
				return err
			}
			dir, err := journal.OpenDir(s.Manager.JournalDir)
			if err != nil {
				return err
			}
			defer dir.Close()
			lim := state.DefaultLimits()
			lim.AgentTimeout, lim.MaxRevisions = s.Manager.AgentTimeout.Micros(), s.Manager.MaxRevisions
			m, err := manager.Open(dir, manager.Options{Limits: lim, AcceptDamage: s.Manager.AcceptDamage}, log)
			if err != nil {
				return err
			}
			defer m.Close()
			ln, err := listenAt(s.Manager.Listen)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			log.Info("manager: listening", "addr", s.Manager.Listen)
			err = m.Serve(ctx, ln)
			if errors.Is(err, http.ErrServerClosed) {
				err = nil
			}
			log.Info("manager: stopped")
			return err
		},
	}
}

func (f *fleetFlags) agentCommand() *cobra.Command {
	var drain bool
	var name string
	c := &cobra.Command{
		Use: "agent", Short: "Run a machine's agent in the foreground",
		Long: "Runs a machine's agent. SIGTERM ends the agent and leaves its brokers serving, for the next agent to adopt; with --drain it " +
			"drains them.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := f.load()
			if err != nil {
				return err
			}
			if name != "" {
				s.Agent.Name = name
			}
			log, err := logger(f.level)
			if err != nil {
				return err
			}
			log = log.With("agent", s.Agent.Name)
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if err := os.MkdirAll(s.Agent.RunDir, 0o700); err != nil {
				return err
			}
			run, err := filepath.Abs(s.Agent.RunDir)
			if err != nil {
				return err
			}
			dir, err := journal.OpenDir(s.Agent.JournalDir)
			if err != nil {
				return err
			}
			defer dir.Close()
			times := reconcile.DefaultTimes()
			times.Drain, times.Look = s.Agent.DrainTimeout.Micros(), s.Agent.PollInterval.Micros()
			times.Deaf = max(times.Deaf, 3*times.Look)
			x := &supervisor.Exec{Program: self, Dir: run}
			client := api.NewClient(s.Agent.Manager)
			defer client.Close()
			sv, err := supervisor.Open(dir, supervisor.Options{Name: s.Agent.Name, Times: times, NewFleet: s.Agent.AcceptNewFleet}, x, x, client, log)
			if err != nil {
				return err
			}
			defer sv.Close()
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			err = sv.Run(ctx)
			if drain && ctx.Err() != nil {
				log.Info("agent: draining all instances")
				end, cancel := context.WithTimeout(context.Background(), time.Duration(s.Agent.DrainTimeout)+5*time.Second)
				defer cancel()
				sv.Drain(end)
			}
			log.Info("agent: stopped", "err", err)
			return err
		},
	}
	c.Flags().BoolVar(&drain, "drain", false, "drain the brokers on SIGTERM")
	c.Flags().StringVar(&name, "name", "", "of the agent, instead of the file's")
	return c
}

// applyCommand is apply, plan or diff: the last two change nothing.
func (f *fleetFlags) applyCommand(what string) *cobra.Command {
	var file, note string
	var expect uint64
	var dry, wait bool
	short := map[string]string{"apply": "Want what the inventory says, and roll it out", "plan": "Show what apply would do, wave by wave",
		"diff": "Show what differs between the inventory and the fleet; exit code 4 if anything does"}[what]
	c := &cobra.Command{
		Use: what, Short: short,
		RunE: f.with(func(in *session) error {
			s := in.set
			if file == "" {
				file = s.Fleet.Inventory
			}
			if file == "" {
				return &exit{exitUsage, errors.New("no inventory: --inventory, or fleet.inventory in the file")}
			}
			want, err := desired.Load(file, s.Fleet.DefaultAgent)
			if err != nil {
				return &exit{exitUsage, err}
			}
			dry = dry || what != "apply"
			r, err := in.client.Apply(in.ctx, &api.ApplyCall{Command: f.command(note, expect, dry), Spec: *want, Strategy: s.Strategy.RolloutStrategy()})
			if err != nil {
				return err
			}
			if err := f.show(in.cmd, what, r); err != nil {
				return err
			}
			if what == "diff" && r.Plan != nil && len(r.Plan.Changes) > 0 {
				return &exit{exitUnhealthy, fmt.Errorf("%d instances differ", len(r.Plan.Changes))}
			}
			if wait && !dry && r.Result.Rollout > 0 {
				return f.wait(in.cmd, in.ctx, in.client, r.Result.Rollout)
			}
			return nil
		}),
	}
	c.Flags().StringVarP(&file, "inventory", "i", "", "the inventory (.csv, .yaml or .yml)")
	if what == "apply" {
		c.Flags().StringVar(&note, "note", "", "why, for the history")
		c.Flags().Uint64Var(&expect, "expect", 0, "refuse unless this is the newest revision")
		c.Flags().BoolVar(&dry, "dry-run", false, "change nothing")
		c.Flags().BoolVar(&wait, "wait", false, "return when the rollout has ended")
	}
	return c
}

// rolloutCommand is status, pause, resume, abort and rollback.
func (f *fleetFlags) rolloutCommand() *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "Look at rollouts and steer them"}
	status := &cobra.Command{
		Use: "status", Short: "Show the rollouts", Args: usage(cobra.NoArgs),
		RunE: f.with(func(in *session) error {
			o, err := in.client.Overview(in.ctx, nil, nil)
			if err != nil {
				return err
			}
			return f.print(in.cmd, o.Rollouts, func() { showRollouts(in.cmd.OutOrStdout(), o.Rollouts) })
		}),
	}
	c.AddCommand(status)
	for _, x := range []struct {
		name, short string
		to          state.Phase
	}{
		{"pause", "Release nothing more until it is resumed", state.Paused},
		{"resume", "Go on; what has failed gets another chance", state.Active},
		{"abort", "End it where it stands", state.Aborted},
	} {
		var rev uint64
		var note string
		sub := &cobra.Command{
			Use: x.name, Short: x.short, Args: usage(cobra.NoArgs),
			RunE: f.with(func(in *session) error {
				r, err := in.client.Steer(in.ctx, &api.SetPhaseCall{Command: f.command(note, 0, false), Rev: rev, To: x.to})
				if err != nil {
					return err
				}
				return f.show(in.cmd, "rollout "+x.name, r)
			}),
		}
		sub.Flags().Uint64Var(&rev, "rollout", 0, "its revision; else the one under way")
		sub.Flags().StringVar(&note, "note", "", "why")
		c.AddCommand(sub)
	}
	var to, expect uint64
	var note string
	var nodes, dry, wait bool
	back := &cobra.Command{
		Use: "rollback --to REVISION", Short: "Go back to an earlier revision; a rollout under way ends", Args: usage(cobra.NoArgs),
		RunE: f.with(func(in *session) error {
			s := in.set
			r, err := in.client.Rollback(in.ctx, &api.RollbackCall{Command: f.command(note, expect, dry), To: to, WithNodes: nodes, Strategy: s.Strategy.RolloutStrategy()})
			if err != nil {
				return err
			}
			if err := f.show(in.cmd, "rollout rollback", r); err != nil {
				return err
			}
			if wait && !dry && r.Result.Rollout > 0 {
				return f.wait(in.cmd, in.ctx, in.client, r.Result.Rollout)
			}
			return nil
		}),
	}
	back.Flags().Uint64Var(&to, "to", 0, "the revision")
	back.Flags().Uint64Var(&expect, "expect", 0, "refuse unless this is the newest revision")
	back.Flags().StringVar(&note, "note", "", "why")
	back.Flags().BoolVar(&nodes, "nodes", false, "with the node changes of that time")
	back.Flags().BoolVar(&dry, "dry-run", false, "change nothing")
	back.Flags().BoolVar(&wait, "wait", false, "return when the rollout has ended")
	back.MarkFlagRequired("to")
	c.AddCommand(back)
	return c
}

// nodesCommand is list, add, drain, out and back.
func (f *fleetFlags) nodesCommand() *cobra.Command {
	c := &cobra.Command{Use: "nodes", Short: "Operators' word on storage nodes, over what discovery says",
		Long: "Node changes go to every broker at once and wait for no rollout. They can add a node that discovery does not know and take " +
			"work away from one that it does; they never bring work to a node that discovery has draining or removed."}
	c.AddCommand(&cobra.Command{
		Use: "list", Short: "Show the node changes in force", Args: usage(cobra.NoArgs),
		RunE: f.with(func(in *session) error {
			o, err := in.client.Overview(in.ctx, nil, nil)
			if err != nil {
				return err
			}
			return f.print(in.cmd, o.Nodes, func() { showNodes(in.cmd.OutOrStdout(), o.Nodes) })
		}),
	})
	for _, x := range []struct {
		name, short string
		to          spec.NodeOverrideState
	}{
		{"add", "Have brokers use a node that discovery does not know", spec.NodeAdded},
		{"drain", "Send nodes nothing new; what is open goes on", spec.NodeDraining},
		{"out", "Take nodes out, as if discovery had removed them", spec.NodeRemoved},
		{"back", "Take the word on nodes back: discovery's counts alone", ""},
	} {
		var addr, objects, zone, note string
		var shard int
		var expect uint64
		var dry, wait bool
		sub := &cobra.Command{
			Use: x.name + " NODE...", Short: x.short, Args: usage(cobra.MinimumNArgs(1)),
			RunE: f.with(func(in *session) error {
				ids := in.args
				var list []state.NodeChange
				for _, id := range ids {
					ch := state.NodeChange{ID: id}
					if x.to != "" {
						ch.Override = &spec.NodeOverride{ID: id, State: x.to, Addr: addr, ObjectAddr: objects, Shard: shard, Zone: zone}
					}
					list = append(list, ch)
				}
				r, err := in.client.Nodes(in.ctx, &api.NodesCall{Command: f.command(note, expect, dry), Changes: list})
				if err != nil {
					return err
				}
				if err := f.show(in.cmd, "nodes "+x.name, r); err != nil || !wait {
					return err
				}
				return f.wait(in.cmd, in.ctx, in.client, 0)
			}),
		}
		if x.to == spec.NodeAdded {
			sub.Args = usage(cobra.ExactArgs(1))
			sub.Use = "add NODE"
			sub.Flags().StringVar(&addr, "addr", "", "HOST:PORT")
			sub.Flags().StringVar(&objects, "objects", "", "HOST:PORT of its object API, where it differs")
			sub.Flags().StringVar(&zone, "zone", "", "its zone")
			sub.Flags().IntVar(&shard, "shard", 0, "the shard that it holds")
			sub.MarkFlagRequired("addr")
		}
		sub.Flags().StringVar(&note, "note", "", "why, for the history")
		sub.Flags().Uint64Var(&expect, "expect", 0, "refuse unless this is the newest revision")
		sub.Flags().BoolVar(&dry, "dry-run", false, "change nothing")
		sub.Flags().BoolVar(&wait, "wait", false, "return when every broker holds it")
		c.AddCommand(sub)
	}
	return c
}

func (f *fleetFlags) statusCommand() *cobra.Command {
	var terms []string
	c := &cobra.Command{
		Use: "status [INSTANCE...]", Short: "Show instances, agents and rollouts; exit code 4 if anything is not as wanted",
		Args:              usage(cobra.ArbitraryArgs),
		ValidArgsFunction: f.completeInstances,
		RunE: f.with(func(in *session) error {
			names := in.args
			o, err := in.client.Overview(in.ctx, names, terms)
			if err != nil {
				return err
			}
			for _, name := range names {
				found := false
				for _, i := range o.Instances {
					found = found || i.Name == name
				}
				if !found {
					return &exit{exitUsage, fmt.Errorf("instance %s: unknown", name)}
				}
			}
			if err := f.print(in.cmd, o, func() { showOverview(in.cmd.OutOrStdout(), o) }); err != nil {
				return err
			}
			bad := 0
			for _, i := range o.Instances {
				if !i.Current || i.Enabled && !i.Available {
					bad++
				}
			}
			if bad > 0 {
				return &exit{exitUnhealthy, fmt.Errorf("%d of %d instances are not as wanted", bad, len(o.Instances))}
			}
			return nil
		}),
	}
	c.Flags().StringArrayVarP(&terms, "select", "l", nil, "group=G, agent=A, domain=D or label.KEY=VALUE; several must all hold")
	return c
}

// completeInstances asks the manager for names, briefly.
func (f *fleetFlags) completeInstances(cmd *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	s, err := f.load()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o, err := api.NewClient(s.Fleet.Manager).Overview(ctx, nil, nil)
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	var names []string
	for _, i := range o.Instances {
		names = append(names, i.Name)
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// agentsCommand is list and retire.
func (f *fleetFlags) agentsCommand() *cobra.Command {
	c := &cobra.Command{Use: "agents", Short: "Show agents, and say that one is gone for good"}
	c.AddCommand(&cobra.Command{
		Use: "list", Short: "Show the agents", Args: usage(cobra.NoArgs),
		RunE: f.with(func(in *session) error {
			o, err := in.client.Overview(in.ctx, nil, nil)
			if err != nil {
				return err
			}
			return f.print(in.cmd, o.Agents, func() { showAgents(in.cmd.OutOrStdout(), o.Agents) })
		}),
	})
	var note string
	retire := &cobra.Command{
		Use: "retire AGENT", Short: "Its machine is gone for good: what is wanted elsewhere need not wait for it", Args: usage(cobra.ExactArgs(1)),
		Long: "An instance that moves to another agent is started there once the old one has let it go. A machine that will not come back lets\n" +
			"nothing go: this says so in its place. Only a silent agent can be retired. Be sure that its brokers do not run.",
		RunE: f.with(func(in *session) error {
			r, err := in.client.Retire(in.ctx, &api.RetireCall{Command: f.command(note, 0, false), Agent: in.args[0]})
			if err != nil {
				return err
			}
			return f.show(in.cmd, "agents retire", r)
		}),
	}
	retire.Flags().StringVar(&note, "note", "", "why, for the log")
	c.AddCommand(retire)
	return c
}

func (f *fleetFlags) historyCommand() *cobra.Command {
	var most int
	c := &cobra.Command{
		Use: "history", Short: "Show the revisions, newest first",
		RunE: f.with(func(in *session) error {
			h, err := in.client.History(in.ctx, most)
			if err != nil {
				return err
			}
			return f.print(in.cmd, h, func() { showHistory(in.cmd.OutOrStdout(), h) })
		}),
	}
	c.Flags().IntVarP(&most, "count", "n", 20, "at most so many")
	return c
}

func (f *fleetFlags) waitCommand() *cobra.Command {
	var rev uint64
	c := &cobra.Command{
		Use: "wait", Short: "Return when everything is as wanted, or a rollout has ended",
		RunE: f.with(func(in *session) error {
			return f.wait(in.cmd, in.ctx, in.client, rev)
		}),
	}
	c.Flags().Uint64Var(&rev, "rollout", 0, "wait for the rollout of this revision; else for the whole fleet")
	return c
}
