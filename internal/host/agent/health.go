package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"poppyarch/internal/host/inventory"
)

// readyTimeout bounds one readiness check.
const readyTimeout = time.Second

// Ready reports whether all frontends of an instance answer their health checks.
func (l *ProcessLauncher) Ready(ctx context.Context, instance inventory.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if instance.Listen != "" && checkBlockFrontend(ctx, instance.Listen) != nil {
		return false
	}
	return instance.ObjectListen == "" || checkObjectFrontend(ctx, instance.ObjectListen) == nil
}

// checkBlockFrontend sends a PING and expects a PONG.
func checkBlockFrontend(ctx context.Context, addr string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return err
	}
	const want = "+PONG\r\n"
	response := make([]byte, len(want))
	if _, err := io.ReadFull(conn, response); err != nil {
		return err
	}
	if string(response) != want {
		return errors.New("no PONG")
	}
	return nil
}

// checkObjectFrontend sends a request for the health path and expects status 200.
func checkObjectFrontend(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/_health", nil)
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
