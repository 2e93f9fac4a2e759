package server

import (
	"context"
	"log/slog"
	"os"

	"poppyarch/internal/broker/config"
)

// Reloader reloads the configuration of a running broker.
type Reloader struct {
	ReloadSignals <-chan os.Signal // each signal triggers a reload
	Getenv        func(string) string
	Level         *slog.LevelVar     // log level, set at a reload and by the control endpoint
	ControlHook   func(point string) // see control.Server.SetHook; nil except in tests
}

// run reloads the configuration at each SIGHUP until ctx is done. An invalid configuration changes nothing.
func (r *Reloader) run(ctx context.Context, cfg *config.Config, state *liveState, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.ReloadSignals:
		}
		next, needRestart, err := cfg.Reload(r.Getenv)
		if err != nil {
			log.Error("reload: invalid configuration, nothing changed", "err", err)
			continue
		}
		cfg = next
		state.reload(cfg.DiscoveryAddr, cfg.LogLevel)
		log.Info("reload: configuration read", "discovery", cfg.DiscoveryAddr, "log", cfg.LogLevel)
		if len(needRestart) > 0 {
			log.Warn("reload: other keys have changed, they take effect at the next start", "keys", needRestart)
		}
	}
}
