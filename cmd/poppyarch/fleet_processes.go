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

// staleSocketTimeout bounds the connection attempt that checks whether a process still listens on a socket.
const staleSocketTimeout = time.Second

// listenAt listens on unix:PATH or HOST:PORT. It replaces a Unix socket on which no process listens any more.
func listenAt(addr string) (net.Listener, error) {
	path, isUnix := strings.CutPrefix(addr, "unix:")
	if !isUnix {
		return net.Listen("tcp", addr)
	}
	if conn, err := net.DialTimeout("unix", path, staleSocketTimeout); err == nil {
		return nil, errors.Join(fmt.Errorf("listen on unix:%s: another process already listens on this socket", path), conn.Close())
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
			fleetSettings, err := f.load()
			if err != nil {
				return err
			}
			log, err := newLogger(f.logLevel)
			if err != nil {
				return err
			}
			return runManager(cmd.Context(), fleetSettings, log)
		},
	}
}

// runManager runs the manager until SIGTERM or SIGINT.
func runManager(ctx context.Context, fleetSettings settings.File, log *slog.Logger) (err error) {
	dir, err := journal.OpenDir(fleetSettings.Manager.JournalDir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, dir.Close()) }()
	limits := state.DefaultLimits()
	limits.AgentTimeout = fleetSettings.Manager.AgentTimeout.Micros()
	limits.MaxRevisions = fleetSettings.Manager.MaxRevisions
	m, err := manager.Open(dir, manager.Options{Limits: limits, AcceptDamage: fleetSettings.Manager.AcceptDamage}, log)
	if err != nil {
		return err
	}
	defer func() { _ = m.Close() }()
	listener, err := listenAt(fleetSettings.Manager.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("manager: listening", "addr", fleetSettings.Manager.Listen)
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
			"--drain, the agent drains them before it ends.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleetSettings, err := f.load()
			if err != nil {
				return err
			}
			if name != "" {
				fleetSettings.Agent.Name = name
			}
			log, err := newLogger(f.logLevel)
			if err != nil {
				return err
			}
			return runAgent(cmd.Context(), fleetSettings, drain, log.With("agent", fleetSettings.Agent.Name))
		},
	}
	c.Flags().BoolVar(&drain, "drain", false, "drain the brokers on SIGTERM")
	c.Flags().StringVar(&name, "name", "", "name of the agent (default: from the file)")
	return c
}

// drainSlack is added to the drain timeout of one broker to bound the drain of all brokers.
const drainSlack = 5 * time.Second

// minProbesPerStatusTTL is the minimum number of health probes within the status TTL, the time without a status after
// which a broker counts as unresponsive.
const minProbesPerStatusTTL = 3

// runAgent runs the agent until SIGTERM or SIGINT, and drains its brokers afterwards if drain is set.
func runAgent(ctx context.Context, fleetSettings settings.File, drain bool, log *slog.Logger) (err error) {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(fleetSettings.Agent.RunDir, 0o700); err != nil {
		return err
	}
	runDir, err := filepath.Abs(fleetSettings.Agent.RunDir)
	if err != nil {
		return err
	}
	dir, err := journal.OpenDir(fleetSettings.Agent.JournalDir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, dir.Close()) }()
	config := reconcile.DefaultConfig()
	config.DrainTimeout = fleetSettings.Agent.DrainTimeout.Micros()
	config.HealthyProbeInterval = fleetSettings.Agent.PollInterval.Micros()
	config.StatusTTL = max(config.StatusTTL, minProbesPerStatusTTL*config.HealthyProbeInterval)
	brokers := &supervisor.LocalBrokers{Program: program, Dir: runDir}
	client := api.NewClient(fleetSettings.Agent.Manager)
	defer client.Close()
	options := supervisor.Options{Name: fleetSettings.Agent.Name, Reconcile: config, AcceptNewFleet: fleetSettings.Agent.AcceptNewFleet}
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
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(fleetSettings.Agent.DrainTimeout)+drainSlack)
		defer cancel()
		agent.Drain(end)
	}
	log.Info("agent: stopped", "err", err)
	return err
}
