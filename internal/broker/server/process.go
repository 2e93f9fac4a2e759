package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"poppyarch/internal/broker/config"
)

// ConfigError reports a configuration that a broker cannot start with.
type ConfigError struct{ Err error }

func (e *ConfigError) Error() string { return e.Err.Error() }
func (e *ConfigError) Unwrap() error { return e.Err }

// RunProcess runs a broker process: it applies the configured limits to the Go runtime, serves requests, drains on
// SIGTERM or SIGINT and reloads the configuration on SIGHUP. It logs to out. If it cannot start with the configuration,
// the error is a *ConfigError.
func RunProcess(ctx context.Context, getenv func(string) string, listen ListenFunc, out io.Writer) error {
	return RunProcessWithHook(ctx, getenv, listen, out, nil)
}

// RunProcessWithHook is RunProcess with a hook for the control endpoint. Tests use it to stop the process at
// control.PointAdmitted or control.PointRecorded.
func RunProcessWithHook(ctx context.Context, getenv func(string) string, listen ListenFunc, out io.Writer,
	controlHook func(point string)) error {
	// Must come first, since an unhandled SIGHUP ends the process. SIGHUP is handled until the process ends, also
	// during a drain. Two signals in quick succession count as one, and the configuration is read after the second.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	cfg, err := config.Load(getenv)
	if err != nil {
		return &ConfigError{err}
	}
	runtime.GOMAXPROCS(cfg.Limits.Procs)
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes)
	var level slog.LevelVar
	if err := level.UnmarshalText([]byte(cfg.LogLevel)); err != nil {
		return &ConfigError{fmt.Errorf("log: %w", err)}
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: &level})).With("broker", cfg.Name)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, cfg, listen, &Reloader{
		ReloadSignals: reloadSignals,
		Getenv:        getenv,
		Level:         &level,
		ControlHook:   controlHook,
	}, log)
}
