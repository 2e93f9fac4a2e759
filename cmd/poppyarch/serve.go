package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"

	"github.com/spf13/cobra"

	"poppyarch/internal/broker/server"
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run one broker in the foreground, set up by LB_CONFIG", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := server.RunProcess(cmd.Context(), os.Getenv, listen, os.Stderr)
			var faulty *server.ConfigError
			if errors.As(err, &faulty) {
				return &exit{exitUsage, err}
			}
			return err
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
