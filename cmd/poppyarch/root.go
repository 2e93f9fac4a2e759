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
	exitFailed    = 1 // the call was made and failed
	exitUsage     = 2 // wrong arguments, or a faulty configuration or inventory
	exitNoAgent   = 3 // no agent answers on the socket
	exitUnhealthy = 4 // status: an instance that should run does not
	exitMoved     = 5 // the fleet has moved on, or a rollout is under way
	exitRollout   = 6 // the rollout is paused, has failed, or did not end in time
)

// exit is an error with its exit code.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }
func (e *exit) Unwrap() error { return e.err }

// code is the exit code for an error.
func code(err error) int {
	var e *exit
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.Is(err, agent.ErrNoAgent), errors.Is(err, api.ErrUnavailable):
		return exitNoAgent
	case errors.Is(err, state.ErrConflict), errors.Is(err, state.ErrRolloutActive), errors.Is(err, state.ErrInvalidState):
		return exitMoved
	case errors.Is(err, state.ErrNotFound), errors.Is(err, api.ErrRequest):
		return exitUsage
	case errors.Is(err, agent.ErrUnknownInstance):
		return exitUsage
	case strings.HasPrefix(err.Error(), "unknown command"), strings.HasPrefix(err.Error(), "required flag"):
		return exitUsage // cobra's own, which have no type
	}
	return exitFailed
}

// root is the command line.
func root() *cobra.Command {
	c := &cobra.Command{
		Use: "poppyarch", Short: "Storage broker, and the agent that runs many of it",
		SilenceErrors: true, SilenceUsage: true, CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		Long: "poppyarch brokers requests between clients and storage nodes.\n\nExit codes: 0 done; 1 failed; " +
			"2 wrong arguments, configuration or inventory;\n3 no agent or manager answers; 4 an instance that should run does not; 5 and 6: see fleet.",
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exit{exitUsage, err} })
	c.AddCommand(serveCommand(), agentCommand(), validateCommand(), fleetCommand(), incidentCommand(), inventoryCommand(), labCommand(), loadCommand())
	c.AddCommand(instanceCommands()...)
	return c
}

// usage makes cobra's complaints about arguments exit like other wrong usage.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &exit{exitUsage, err}
		}
		return nil
	}
}

// defaultDir is where an agent keeps its socket and its instances' files.
func defaultDir() string {
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
