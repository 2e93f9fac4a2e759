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
		Use: "serve", Short: "Run one broker in the foreground, set up by LB_CONFIG", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(os.Getenv)
			if err != nil {
				return err
			}
			runtime.GOMAXPROCS(cfg.Limits.Procs)
			debug.SetMemoryLimit(cfg.Limits.Memory)
			var level slog.Level
			if err := level.UnmarshalText([]byte(cfg.LogLevel)); err != nil {
				return fmt.Errorf("log: %w", err)
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("broker", cfg.Name)
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
