package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
)

// ErrNoRecords reports a broker that keeps no records in memory.
var ErrNoRecords = errors.New("the broker keeps no records in memory")

// StatusError reports a response that cannot be used.
type StatusError struct {
	Status int // HTTP status of the response
	Err    error
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("control: response with HTTP status %d: %v", e.Status, e.Err)
}

func (e *StatusError) Unwrap() error { return e.Err }

// Client calls the control endpoint of a broker. It makes each call once; the caller decides on retries.
type Client struct {
	http *http.Client
	base string
}

// Dial returns a client for an address. It opens no connection; each call opens its own.
func Dial(addr string) (*Client, error) {
	network, address, err := ParseAddress(addr)
	if err != nil {
		return nil, err
	}
	var dialer net.Dialer
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
	}
	return &Client{http: &http.Client{Transport: transport}, base: "http://broker/v1/"}, nil
}

// State returns the state of the broker process.
func (c *Client) State(ctx context.Context) (*State, error) {
	var st State
	err := c.call(ctx, http.MethodGet, "state", nil, &st)
	return &st, err
}

// Change sends a change. After an error it is unknown whether the change was applied; it may be retried with the same
// ID.
func (c *Client) Change(ctx context.Context, ch *Change) (*Outcome, error) {
	var o Outcome
	err := c.call(ctx, http.MethodPost, "change", ch, &o)
	return &o, err
}

// Nodes decodes into out the source of each attribute of a node, or of all nodes if id is empty.
func (c *Client) Nodes(ctx context.Context, id string, out any) error {
	path := "nodes"
	if id != "" {
		path += "?id=" + url.QueryEscape(id)
	}
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// AcceptRemovals makes the broker apply the node removals that its removal guard holds back. It returns the number of
// nodes whose state changed.
func (c *Client) AcceptRemovals(ctx context.Context) (changed int, err error) {
	var out acceptResult
	err = c.call(ctx, http.MethodPost, "nodes/accept", nil, &out)
	return out.Changed, err
}

// Records returns, in the format of a segment, the records that a broker without a record directory keeps in memory. A
// response of more than maxBytes is an error. If the broker does not record to memory, the error is ErrNoRecords.
func (c *Client) Records(ctx context.Context, maxBytes int64) ([]byte, error) {
	resp, err := c.send(ctx, http.MethodGet, "records", nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode, Err: ErrNoRecords}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(b)) > maxBytes {
		err = fmt.Errorf("control: the records exceed %d bytes", maxBytes)
	}
	return b, err
}

// call sends in as JSON, unless it is nil, and decodes a response of any status into out.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("control: encode the request body for %s: %w", path, err)
		}
		body = bytes.NewReader(b)
	}
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxChangeBytes)).Decode(out); err != nil {
		return &StatusError{Status: resp.StatusCode, Err: err}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}
