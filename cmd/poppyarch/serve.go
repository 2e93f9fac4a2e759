package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"poppyarch/internal/config"
	"poppyarch/internal/serve"
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run one broker in the foreground, set up by LB_CONFIG", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(os.Getenv)
			if err != nil {
				return &exit{exitUsage, err}
			}
			runtime.GOMAXPROCS(cfg.Limits.Procs)
			debug.SetMemoryLimit(cfg.Limits.Memory)
			log, err := logger(cfg.LogLevel)
			if err != nil {
				return err
			}
			log = log.With("broker", cfg.Name)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return serve.Run(ctx, cfg, listen, log)
		},
	}
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	// No keep-alive probes to clients: they tell nothing that matters within a request's time.
	lc := net.ListenConfig{KeepAlive: -1}
	return lc.Listen(ctx, "tcp", addr)
}

// logger writes to standard error, which is the log on the platform.
func logger(level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, &exit{exitUsage, fmt.Errorf("log: %w", err)}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
