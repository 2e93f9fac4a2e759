package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/agent"
)

// Exit codes, for scripts.
const (
	exitFailed      = 1 // the command failed
	exitUsage       = 2 // wrong arguments, or a faulty configuration, inventory or list
	exitUnavailable = 3 // no agent, manager or broker answers
	exitUnhealthy   = 4 // an instance is not in its desired state, or compared lists differ
	exitConflict    = 5 // the fleet has changed meanwhile, or a rollout is active
	exitRollout     = 6 // the rollout is paused, has failed, or did not end in time
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var e *exitError
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.Is(err, agent.ErrNoAgent), errors.Is(err, api.ErrUnavailable):
		return exitUnavailable
	case errors.Is(err, state.ErrConflict), errors.Is(err, state.ErrRolloutActive), errors.Is(err, state.ErrInvalidState):
		return exitConflict
	case errors.Is(err, state.ErrNotFound), errors.Is(err, api.ErrInvalidRequest):
		return exitUsage
	case errors.Is(err, agent.ErrUnknownInstance):
		return exitUsage
	case strings.HasPrefix(err.Error(), "unknown command"), strings.HasPrefix(err.Error(), "required flag"):
		return exitUsage // cobra's own errors, which have no type
	}
	return exitFailed
}

// rootCommand returns the command with all its subcommands.
func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "poppyarch", Short: "Storage broker, and the tools to run many brokers",
		SilenceErrors: true, SilenceUsage: true, CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		Long: "poppyarch brokers requests between clients and storage nodes.\n\nExit codes: 0 done; 1 failed; " +
			"2 wrong arguments, configuration or inventory;\n3 no agent or manager answers; 4 an instance that should run does not; 5 and 6: see fleet.",
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exitError{exitUsage, err} })
	c.AddCommand(serveCommand(), agentCommand(), validateCommand(), fleetCommand(), incidentCommand(), inventoryCommand(), labCommand(), loadCommand())
	c.AddCommand(instanceCommands()...)
	return c
}

// checkArgs makes the errors of cobra's argument check exit with exitUsage.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &exitError{exitUsage, err}
		}
		return nil
	}
}

// defaultRunDir returns the directory in which an agent by default keeps its socket and its instances' files.
func defaultRunDir() string {
	if d := os.Getenv("POPPYARCH_RUN_DIR"); d != "" {
		return d
	}
	if d := os.Getenv("XDG_RUNTIME_DIR"); d != "" {
		return filepath.Join(d, "poppyarch")
	}
	return filepath.Join(os.TempDir(), fmt.Sprintf("poppyarch-%d", os.Getuid()))
}

// markRequired makes a flag of the command required.
func markRequired(c *cobra.Command, flag string) {
	if err := c.MarkFlagRequired(flag); err != nil {
		panic(err) // the flag was declared just before
	}
}
