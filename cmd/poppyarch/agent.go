package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"poppyarch/internal/host/agent"
	"poppyarch/internal/host/inventory"
)

// agentSocket is the name of the agent's socket in its run directory.
const agentSocket = "agent.sock"

// agentFlags are the flags of the agent command.
type agentFlags struct {
	inventory string
	runDir    string
	logLevel  string
}

// agentCommand returns the command that runs the agent in the foreground.
func agentCommand() *cobra.Command {
	f := &agentFlags{}
	c := &cobra.Command{
		Use: "agent --inventory FILE", Short: "Run the instances of an inventory", Args: checkArgs(cobra.NoArgs),
		Long: "Runs the instances of an inventory (.csv, .yaml or .yml) in the foreground: restarts instances that crash, drains\n" +
			"them on SIGTERM, reloads the inventory on SIGHUP. The other commands reach it through the socket in its run directory.",
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context()) },
	}
	c.Flags().StringVarP(&f.inventory, "inventory", "i", "", "the inventory")
	c.Flags().StringVar(&f.runDir, "run-dir", defaultRunDir(), "directory for the agent's socket and the instances' configurations and logs")
	c.Flags().StringVar(&f.logLevel, "log", "info", "log level: debug, info, warn or error")
	markRequired(c, "inventory")
	return c
}

// run serves until SIGTERM or SIGINT and then drains all instances.
func (f *agentFlags) run(ctx context.Context) error {
	log, err := newLogger(f.logLevel)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(f.runDir, 0o700); err != nil {
		return err
	}
	listener, err := agent.Listen(filepath.Join(f.runDir, agentSocket))
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }() // the server closes it too
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	load := func() ([]inventory.Instance, error) { return loadInventory(f.inventory) }
	a := agent.New(load, &agent.ProcessLauncher{Program: program, StateDir: f.runDir}, agent.DefaultTiming(), log)
	defer a.Close()
	if _, err := a.Reload(ctx); err != nil {
		return &exitError{exitUsage, err}
	}
	served := make(chan error, 1)
	go func() { served <- agent.Serve(ctx, listener, a) }()
	log.Info("agent: listening", "socket", listener.Addr().String())
	return followSignals(ctx, a, hangups, served, log)
}

// followSignals reloads the inventory on each SIGHUP until the server has ended, because ctx is done or it has failed.
func followSignals(ctx context.Context, a *agent.Agent, hangups <-chan os.Signal, served <-chan error, log *slog.Logger) error {
	for {
		select {
		case err := <-served:
			if ctx.Err() != nil {
				log.Info("agent: draining all instances")
			}
			return err
		case <-hangups:
			if _, err := a.Reload(ctx); err != nil {
				log.Error("agent: reload failed, nothing changed", "err", err)
			}
		}
	}
}

// loadInventory reads an inventory and checks the configuration of each instance.
func loadInventory(file string) ([]inventory.Instance, error) {
	list, err := inventory.Load(file)
	if err != nil {
		return nil, err
	}
	for _, instance := range list {
		if _, err := agent.ComposeFile(instance); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return list, nil
}
