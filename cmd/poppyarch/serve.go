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
		Use: "serve", Short: "Run one broker in the foreground, configured by LB_CONFIG", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := server.RunProcess(cmd.Context(), os.Getenv, listen, os.Stderr)
			var faulty *server.ConfigError
			if errors.As(err, &faulty) {
				return &exitError{exitUsage, err}
			}
			return err
		},
	}
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	// TCP keep-alive probes to clients are disabled: they detect nothing useful within the time of a request.
	lc := net.ListenConfig{KeepAlive: -1}
	return lc.Listen(ctx, "tcp", addr)
}

// newLogger returns a logger that writes to standard error, which is the log on the platform.
func newLogger(level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, &exitError{exitUsage, fmt.Errorf("--log: expected debug, info, warn or error: %w", err)}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
