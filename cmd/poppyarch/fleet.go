package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/settings"
	"poppyarch/internal/fleet/state"
)

// fleetFlags are the flags that all fleet commands share.
type fleetFlags struct {
	config    string
	manager   string
	runDir    string
	logLevel  string
	commandID string
	asJSON    bool
	timeout   time.Duration
}

// load reads the fleet's settings file. The manager's address is taken from the flag, else from the environment, else
// from the file.
func (f *fleetFlags) load() (settings.File, error) {
	path := f.config
	if path == "" {
		path = os.Getenv("POPPYARCH_FLEET")
	}
	s, err := settings.Load(path, f.runDir)
	if err != nil {
		return s, &exitError{exitUsage, err}
	}
	if addr := cmp.Or(f.manager, os.Getenv("POPPYARCH_MANAGER")); addr != "" {
		s.Fleet.Manager = addr
		s.Agent.Manager = addr
	}
	return s, nil
}

// session is one run of a command: its settings, a client of the manager, and a context that ends after --timeout.
type session struct {
	ctx      context.Context
	cmd      *cobra.Command
	args     []string
	settings settings.File
	client   *api.Client
	flags    *fleetFlags
}

// inSession returns a cobra run function that calls run with a new session.
func (f *fleetFlags) inSession(run func(*session) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		fleetSettings, err := f.load()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
		defer cancel()
		client := api.NewClient(fleetSettings.Fleet.Manager)
		defer client.Close()
		return run(&session{ctx: ctx, cmd: cmd, args: args, settings: fleetSettings, client: client, flags: f})
	}
}

// print writes the value as JSON if --json is set; otherwise it calls printText.
func (s *session) print(value any, printText func(io.Writer) error) error {
	out := s.cmd.OutOrStdout()
	if s.flags.asJSON {
		return printJSON(out, value)
	}
	return printText(out)
}

// changeFlags are the flags of commands that change the fleet.
type changeFlags struct {
	note             string
	expectedRevision uint64
	dryRun           bool
	wait             bool
}

// addAll declares all flags of changeFlags; waitUsage is the help text of --wait.
func (f *changeFlags) addAll(c *cobra.Command, waitUsage string) {
	f.addNote(c)
	c.Flags().Uint64Var(&f.expectedRevision, "expect", 0, "fail unless the newest revision is this one")
	c.Flags().BoolVar(&f.dryRun, "dry-run", false, "show the result and change nothing")
	c.Flags().BoolVar(&f.wait, "wait", false, waitUsage)
}

func (f *changeFlags) addNote(c *cobra.Command) {
	c.Flags().StringVar(&f.note, "note", "", "reason for the change, for the history")
}

// commandIDBytes is the number of random bytes in a generated command ID.
const commandIDBytes = 12

// newCommand returns a command whose author is the current user. With --id, a script can safely repeat a command whose
// response was lost.
func (s *session) newCommand(f changeFlags) (state.Command, error) {
	id := s.flags.commandID
	if id == "" {
		var random [commandIDBytes]byte
		if _, err := rand.Read(random[:]); err != nil {
			return state.Command{}, err
		}
		id = hex.EncodeToString(random[:])
	}
	author := "unknown"
	if u, err := user.Current(); err == nil {
		author = u.Username
	}
	return state.Command{ID: id, Author: author, Note: f.note, ExpectedRevision: f.expectedRevision, DryRun: f.dryRun}, nil
}

// fleetCommand returns `poppyarch fleet`.
func fleetCommand() *cobra.Command {
	f := &fleetFlags{}
	c := &cobra.Command{
		Use: "fleet", Short: "Manage many instances on many machines as one fleet",
		Long: "A manager keeps the desired state in numbered revisions; agents, one per machine, reconcile their instances with it.\n\n" +
			"Exit codes: 0 done; 1 failed; 2 wrong arguments or a faulty file; 3 no manager answers;\n4 the fleet is not in its desired " +
			"state; 5 the fleet has changed meanwhile, or a rollout is active;\n6 the rollout is paused, has failed, or did not end in time.",
	}
	flags := c.PersistentFlags()
	flags.StringVarP(&f.config, "config", "c", "", "the fleet's TOML file (default: POPPYARCH_FLEET)")
	flags.StringVar(&f.manager, "manager", "", "unix:PATH or HOST:PORT of the manager (default: POPPYARCH_MANAGER, else from the file)")
	flags.StringVar(&f.runDir, "run-dir", defaultRunDir(), "directory for journals and sockets whose place the file does not set")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON, for scripts")
	flags.DurationVar(&f.timeout, "timeout", 5*time.Minute, "give up after this time")
	flags.StringVar(&f.commandID, "id", "", "command ID; a repeated command with the same ID is carried out only once")
	flags.StringVar(&f.logLevel, "log", "info", "log level of manager and agent: debug, info, warn or error")
	c.AddCommand(f.managerCommand(), f.agentCommand(), f.consoleCommand())
	c.AddCommand(f.applyCommand(), f.planCommand(), f.diffCommand(), f.rolloutCommand(), f.nodesCommand())
	c.AddCommand(f.statusCommand(), f.agentsCommand(), f.historyCommand(), f.waitCommand())
	for _, sub := range c.Commands() {
		if sub.Args == nil {
			sub.Args = checkArgs(cobra.NoArgs)
		}
	}
	return c
}
