package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/fleet/settings"
	"poppyarch/internal/host/agent"
	"poppyarch/internal/host/inventory"
)

// agentCommand runs the agent in the foreground.
func agentCommand() *cobra.Command {
	var file, dir, level string
	c := &cobra.Command{
		Use: "agent --inventory FILE", Short: "Run the instances of an inventory", Args: usage(cobra.NoArgs),
		Long: "Runs the instances of an inventory (.csv, .yaml or .yml) in the foreground: restarts what crashes, drains on\n" +
			"SIGTERM, reads the inventory anew on SIGHUP. Other commands reach it by the socket in its run directory.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := logger(level)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
			ln, err := agent.Listen(filepath.Join(dir, "agent.sock"))
			if err != nil {
				return err
			}
			defer ln.Close()
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			a := agent.New(func() ([]inventory.Instance, error) { return load(file) },
				&agent.ProcessLauncher{Program: self, StateDir: dir}, agent.DefaultTiming(), log)
			defer a.Close()
			if _, err := a.Reload(ctx); err != nil {
				return &exit{exitUsage, err}
			}
			srv := &http.Server{Handler: agent.Handler(a), ReadHeaderTimeout: 10 * time.Second}
			defer srv.Close()
			failed := make(chan error, 1)
			go func() { failed <- srv.Serve(ln) }()
			log.Info("agent: listening", "socket", ln.Addr().String())
			for {
				select {
				case <-ctx.Done():
					log.Info("agent: draining all instances")
					return nil
				case err := <-failed:
					return err
				case <-hup:
					if _, err := a.Reload(ctx); err != nil {
						log.Error("agent: reload failed, nothing changed", "err", err)
					}
				}
			}
		},
	}
	c.Flags().StringVarP(&file, "inventory", "i", "", "the inventory")
	c.Flags().StringVar(&dir, "run-dir", defaultDir(), "socket, configurations and logs of the instances")
	c.Flags().StringVar(&level, "log", "info", "debug, info, warn or error")
	c.MarkFlagRequired("inventory")
	return c
}

// load reads an inventory and checks the configuration of each instance.
func load(file string) ([]inventory.Instance, error) {
	list, err := inventory.Load(file)
	if err != nil {
		return nil, err
	}
	for _, in := range list {
		if _, err := agent.ComposeFile(in); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return list, nil
}

// validateCommand checks files without running anything.
func validateCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "validate FILE...", Short: "Check inventories (.csv, .yaml, .yml), configurations (.json) and fleet settings (.toml)",
		Args: usage(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			type result struct {
				File      string               `json:"file"`
				OK        bool                 `json:"ok"`
				Error     string               `json:"error,omitempty"`
				Instances []inventory.Instance `json:"instances,omitempty"`
			}
			var all []result
			bad := 0
			for _, file := range args {
				r := result{File: file}
				var err error
				if strings.EqualFold(filepath.Ext(file), ".toml") {
					_, err = settings.Load(file, defaultDir())
				} else if strings.EqualFold(filepath.Ext(file), ".json") {
					_, err = config.Load(func(key string) string {
						if key == "LB_CONFIG" {
							return file
						}
						return ""
					})
				} else {
					r.Instances, err = load(file)
				}
				if r.OK = err == nil; !r.OK {
					r.Error = err.Error()
					bad++
				}
				all = append(all, r)
				if !asJSON && err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
				} else if !asJSON {
					fmt.Fprintln(cmd.ErrOrStderr(), err)
				}
			}
			if asJSON {
				if err := printJSON(cmd.OutOrStdout(), all); err != nil {
					return err
				}
			}
			if bad > 0 {
				return &exit{exitUsage, fmt.Errorf("%d of %d files are faulty", bad, len(args))}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
	return c
}

// controlCommands talk to a running agent.
func controlCommands() (out []*cobra.Command) {
	for _, x := range []struct{ name, short, method string }{
		{"status", "Show the instances", http.MethodGet},
		{"start", "Start instances, or all that the inventory enables", http.MethodPost},
		{"stop", "Drain and stop instances, or all", http.MethodPost},
		{"restart", "Restart instances one after the other, or all that run", http.MethodPost},
		{"reload", "Read the inventory anew and bring the instances in line with it", http.MethodPost},
	} {
		var asJSON bool
		var dir string
		var timeout time.Duration
		c := &cobra.Command{
			Use: x.name + " [INSTANCE...]", Short: x.short, Args: usage(cobra.ArbitraryArgs),
			RunE: func(cmd *cobra.Command, names []string) error {
				ctx, stop := context.WithTimeout(cmd.Context(), timeout)
				defer stop()
				r, err := agent.Call(ctx, filepath.Join(dir, "agent.sock"), x.method, x.name, agent.Request{Names: names})
				if err == nil && x.name == "status" {
					r.Instances, err = pick(r.Instances, names)
				}
				switch {
				case asJSON:
					if err != nil {
						r.Error = err.Error()
					}
					if err := printJSON(cmd.OutOrStdout(), r); err != nil {
						return err
					}
				case err == nil:
					show(cmd.OutOrStdout(), x.name, r)
				}
				if err != nil {
					return err
				}
				return healthy(x.name, r.Instances)
			},
		}
		if x.name == "reload" {
			c.Use, c.Args = x.name, usage(cobra.NoArgs)
		}
		c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
		c.Flags().StringVar(&dir, "run-dir", defaultDir(), "the agent's run directory")
		c.Flags().DurationVar(&timeout, "timeout", 5*time.Minute, "give up after this")
		out = append(out, c)
	}
	return out
}

// pick keeps the named instances.
func pick(all []agent.Status, names []string) ([]agent.Status, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []agent.Status
	for _, name := range names {
		n := len(out)
		for _, s := range all {
			if s.Name == name {
				out = append(out, s)
			}
		}
		if len(out) == n {
			return nil, fmt.Errorf("%s: %w", name, agent.ErrUnknownInstance)
		}
	}
	return out, nil
}

// healthy is status's verdict.
func healthy(command string, all []agent.Status) error {
	if command != "status" {
		return nil
	}
	bad := 0
	for _, s := range all {
		if s.ShouldRun && s.State != agent.Running {
			bad++
		}
	}
	if bad > 0 {
		return &exit{exitUnhealthy, fmt.Errorf("%d of %d instances do not run as they should", bad, len(all))}
	}
	return nil
}

// show prints a reply for people.
func show(w io.Writer, command string, r agent.Reply) {
	if c := r.Changes; c != nil {
		fmt.Fprintf(w, "added %v, removed %v, restarted %v, unchanged %d\n", c.Added, c.Removed, c.Restarted, c.Unchanged)
	}
	if command != "status" && r.Changes == nil {
		fmt.Fprintln(w, command+": done")
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tPID\tLISTEN\tRESTARTS\tSINCE\tLAST ERROR")
	for _, s := range r.Instances {
		at := strings.Trim(s.Listen+" "+s.ObjectListen, " ")
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%s\t%s\n", s.Name, s.State, s.PID, at, s.Restarts,
			s.Since.Format(time.RFC3339), s.Error)
	}
	t.Flush()
}
