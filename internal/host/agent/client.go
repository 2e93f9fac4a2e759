package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// ErrNoAgent reports that no agent listens on a socket.
var ErrNoAgent = errors.New("no agent")

// Call makes one call to the agent that listens on a socket. An error matches ErrNoAgent or ErrUnknownInstance if one
// of these is the cause. If the agent reports an error, the reply is valid as well.
func Call(ctx context.Context, socket, method, path string, request Request) (Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Reply{}, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://agent/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	resp, err := socketClient(socket).Do(req)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return Reply{}, fmt.Errorf("%w at %s", ErrNoAgent, socket)
		}
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out Reply
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("decode the agent's reply: %w", err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return out, fmt.Errorf("%w: %s", ErrUnknownInstance, out.Error)
	}
	if out.Error != "" {
		return out, errors.New(out.Error)
	}
	return out, nil
}

// socketClient returns a client that sends all requests to a Unix socket.
func socketClient(socket string) *http.Client {
	var dialer net.Dialer
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "unix", socket)
		},
	}
	return &http.Client{Transport: transport}
}
