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

// ConfigError is a configuration that a broker cannot start from.
type ConfigError struct{ Err error }

func (e *ConfigError) Error() string { return e.Err.Error() }
func (e *ConfigError) Unwrap() error { return e.Err }

// RunProcess is a broker process: it sets the runtime up as the configuration says, serves, drains on SIGTERM and
// SIGINT, and reads the configuration anew on SIGHUP. It logs to out.
func RunProcess(ctx context.Context, getenv func(string) string, listen ListenFunc, out io.Writer) error {
	return RunProcessWithHook(ctx, getenv, listen, out, nil)
}

// RunProcessWithHook is Process with a hook into the control endpoint, so that tests can kill it at the points named there.
func RunProcessWithHook(ctx context.Context, getenv func(string) string, listen ListenFunc, out io.Writer, hook func(string)) error {
	// First of all, since a SIGHUP that nobody handles ends the process. It is handled until the process ends, in a
	// drain as well; two in quick succession are one, read after the second.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
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
	return Run(ctx, cfg, listen, &Reloader{Hangups: hup, Getenv: getenv, Level: &level, ControlHook: hook}, log)
}

// Reloader is how a running broker takes up a new configuration.
type Reloader struct {
	Hangups     <-chan os.Signal
	Getenv      func(string) string
	Level       *slog.LevelVar
	ControlHook func(string) // of the control endpoint; nil but in tests
}

// run reads the configuration at each hangup until ctx is done. A faulty one changes nothing.
func (r *Reloader) run(ctx context.Context, cfg *config.Config, l *live, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Hangups:
		}
		next, restart, err := cfg.Reload(r.Getenv)
		if err != nil {
			log.Error("reload: faulty configuration, nothing changed", "err", err)
			continue
		}
		cfg = next
		l.reload(cfg.DiscoveryAddr, cfg.LogLevel)
		log.Info("reload: configuration read", "discovery", cfg.DiscoveryAddr, "log", cfg.LogLevel)
		if len(restart) > 0 {
			log.Warn("reload: other keys have changed, which take effect at the next start", "keys", restart)
		}
	}
}
