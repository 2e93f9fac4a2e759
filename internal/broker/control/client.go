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

// ErrNoRecords says that the broker keeps no records in memory.
var ErrNoRecords = errors.New("the broker keeps no records in memory")

// StatusError says that an answer could not be used.
type StatusError struct {
	Status int // of the HTTP answer
	Err    error
}

func (e *StatusError) Error() string { return fmt.Sprintf("control: status %d: %v", e.Status, e.Err) }

// Unwrap returns what was wrong with the answer.
func (e *StatusError) Unwrap() error { return e.Err }

// Client talks to an endpoint. It makes each call once; the caller decides on retries.
type Client struct {
	http *http.Client
	base string
}

// Dial returns a client for an address. It sends nothing yet, and each call opens a connection of its own.
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

// State returns what the boot holds.
func (c *Client) State(ctx context.Context) (*State, error) {
	var st State
	err := c.call(ctx, http.MethodGet, "state", nil, &st)
	return &st, err
}

// Change sends a change. After an error it is unknown whether the change was applied; it may be retried with the same ID.
func (c *Client) Change(ctx context.Context, ch *Change) (*Outcome, error) {
	var o Outcome
	err := c.call(ctx, http.MethodPost, "change", ch, &o)
	return &o, err
}

// Nodes decodes into out the origin of each fact about a node, or about all nodes where id is empty.
func (c *Client) Nodes(ctx context.Context, id string, out any) error {
	path := "nodes"
	if id != "" {
		path += "?id=" + url.QueryEscape(id)
	}
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// AcceptRemovals has the broker apply the node removals that its guard holds back. It returns the number of nodes whose use
// changed.
func (c *Client) AcceptRemovals(ctx context.Context) (changed int, err error) {
	var out acceptResult
	err = c.call(ctx, http.MethodPost, "nodes/accept", nil, &out)
	return out.Changed, err
}

// Records returns, in the form of a segment, the records that a broker without a record folder keeps in memory. More than
// maxBytes are an error. The error is ErrNoRecords where the broker does not record to memory.
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
		err = fmt.Errorf("control: more than %d bytes of records", maxBytes)
	}
	return b, err
}

// call sends in as JSON, unless it is nil, and decodes the answer of any status into out.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("control: %s: %w", path, err)
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
