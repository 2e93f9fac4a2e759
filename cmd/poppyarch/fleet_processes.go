package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/manager"
	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/fleet/settings"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/fleet/supervisor"
)

// staleSocketTimeout bounds the check whether a socket's process still lives.
const staleSocketTimeout = time.Second

// listenAt opens unix:PATH, replacing the socket of a dead process, or HOST:PORT.
func listenAt(addr string) (net.Listener, error) {
	path, isUnix := strings.CutPrefix(addr, "unix:")
	if !isUnix {
		return net.Listen("tcp", addr)
	}
	if conn, err := net.DialTimeout("unix", path, staleSocketTimeout); err == nil {
		return nil, errors.Join(fmt.Errorf("%s: another process listens there", path), conn.Close())
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return listener, os.Chmod(path, 0o600)
}

func (f *fleetFlags) managerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "manager", Short: "Run the manager in the foreground",
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := f.load()
			if err != nil {
				return err
			}
			log, err := logger(f.logLevel)
			if err != nil {
				return err
			}
			return runManager(cmd.Context(), set, log)
		},
	}
}

// runManager serves until SIGTERM or SIGINT.
func runManager(ctx context.Context, set settings.File, log *slog.Logger) (err error) {
	dir, err := journal.OpenDir(set.Manager.JournalDir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, dir.Close()) }()
	limits := state.DefaultLimits()
	limits.AgentTimeout = set.Manager.AgentTimeout.Micros()
	limits.MaxRevisions = set.Manager.MaxRevisions
	m, err := manager.Open(dir, manager.Options{Limits: limits, AcceptDamage: set.Manager.AcceptDamage}, log)
	if err != nil {
		return err
	}
	defer func() { _ = m.Close() }()
	listener, err := listenAt(set.Manager.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("manager: listening", "addr", set.Manager.Listen)
	err = m.Serve(ctx, listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	log.Info("manager: stopped")
	return err
}

func (f *fleetFlags) agentCommand() *cobra.Command {
	var drain bool
	var name string
	c := &cobra.Command{
		Use: "agent", Short: "Run a machine's agent in the foreground",
		Long: "Runs a machine's agent. SIGTERM ends the agent and leaves its brokers running, for the next agent to adopt; with\n" +
			"--drain it drains them.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := f.load()
			if err != nil {
				return err
			}
			if name != "" {
				set.Agent.Name = name
			}
			log, err := logger(f.logLevel)
			if err != nil {
				return err
			}
			return runAgent(cmd.Context(), set, drain, log.With("agent", set.Agent.Name))
		},
	}
	c.Flags().BoolVar(&drain, "drain", false, "drain the brokers on SIGTERM")
	c.Flags().StringVar(&name, "name", "", "name of the agent, instead of the file's")
	return c
}

// drainSlack is how much longer than one broker's drain the drain of all of them may take.
const drainSlack = 5 * time.Second

// probesPerTimeout is the least number of health checks within the time after which a broker counts as unresponsive.
const probesPerTimeout = 3

// runAgent serves until SIGTERM or SIGINT.
func runAgent(ctx context.Context, set settings.File, drain bool, log *slog.Logger) (err error) {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(set.Agent.RunDir, 0o700); err != nil {
		return err
	}
	runDir, err := filepath.Abs(set.Agent.RunDir)
	if err != nil {
		return err
	}
	dir, err := journal.OpenDir(set.Agent.JournalDir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, dir.Close()) }()
	config := reconcile.DefaultConfig()
	config.DrainTimeout = set.Agent.DrainTimeout.Micros()
	config.HealthyProbeInterval = set.Agent.PollInterval.Micros()
	config.StatusTTL = max(config.StatusTTL, probesPerTimeout*config.HealthyProbeInterval)
	brokers := &supervisor.LocalBrokers{Program: program, Dir: runDir}
	client := api.NewClient(set.Agent.Manager)
	defer client.Close()
	options := supervisor.Options{Name: set.Agent.Name, Reconcile: config, AcceptNewFleet: set.Agent.AcceptNewFleet}
	agent, err := supervisor.Open(dir, options, brokers, brokers, client, log)
	if err != nil {
		return err
	}
	defer func() { _ = agent.Close() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = agent.Run(ctx)
	if drain && ctx.Err() != nil {
		log.Info("agent: draining all instances")
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(set.Agent.DrainTimeout)+drainSlack)
		defer cancel()
		agent.Drain(end)
	}
	log.Info("agent: stopped", "err", err)
	return err
}
