package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/httpserver"
)

const (
	readHeaderTimeout = 10 * time.Second
	drainTimeout      = time.Second // for the responses to calls in progress when the agent ends
)

// Serve serves calls to an agent on ln until ctx is done; it then answers the calls that have been read, for at most
// drainTimeout, and closes ln and all connections.
func Serve(ctx context.Context, ln net.Listener, a *Agent) error {
	server := httpserver.New(&http.Server{Handler: Handler(a), ReadHeaderTimeout: readHeaderTimeout}, httpserver.Options{
		HeadTimeout:     readHeaderTimeout,
		StallTimeout:    httpserver.DefaultStallTimeout,
		MaxHeaderFields: httpserver.DefaultMaxHeaderFields,
	}, clock.New())
	if err := server.ServeUntil(ctx, ln, drainTimeout); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return nil
}
