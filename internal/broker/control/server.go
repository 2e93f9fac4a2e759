package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"poppyarch/internal/fleet/spec"
)

// State is what a boot says of itself.
type State struct {
	Name                 string            `json:"name"`
	Boot                 string            `json:"boot"`
	PID                  int               `json:"pid"`
	StartDigest          string            `json:"started"` // digest of its start settings, as its configuration names it
	AppliedRevision      uint64            `json:"applied"` // revision that it holds; 0: what it started with
	FleetRevision        uint64            `json:"rev"`     // the fleet's revision that this is of
	FencingToken         uint64            `json:"token"`
	StartedAt            time.Time         `json:"since"`
	Draining             bool              `json:"draining,omitempty"`
	EndpointListRevision int64             `json:"list_rev"` // version of discovery's list that it works by; -1: none yet
	NodeCount            int               `json:"nodes"`
	InFlight             int64             `json:"open"`              // requests taken and not answered
	Live                 spec.LiveSettings `json:"live"`              // in force
	Stats                *Stats            `json:"figures,omitempty"` // of the last second, where the broker records
}

// Stats are what a broker did in a span of time. Times are microseconds.
type Stats struct {
	Span     int64          `json:"span"`
	Requests []RequestStats `json:"groups"`
	Nodes    []NodeStats    `json:"nodes"`
	Volumes  []VolumeStats  `json:"volumes"`           // those that came most often
	Dropped  uint64         `json:"dropped,omitempty"` // records that found no room, since the boot
}

// RequestStats is the requests of one class and plan.
type RequestStats struct {
	Class    string `json:"class"`
	Plan     string `json:"plan"`
	Served   uint64 `json:"served"`
	Late     uint64 `json:"late"` // of the served, after the aim
	Rejected uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	P50      int64  `json:"p50"`
	P99      int64  `json:"p99"`
}

// VolumeStats is the requests of a volume. Count may be too high by Error.
type VolumeStats struct {
	Volume     string `json:"volume"`
	Count      uint64 `json:"count"`
	CountError uint64 `json:"error,omitempty"`
	Rejected   uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
	Late       uint64 `json:"late"`
}

// NodeStats is the attempts at one node.
type NodeStats struct {
	Node     string `json:"node"`
	Served   uint64 `json:"served"`
	TimedOut uint64 `json:"silent"` // no answer in time
	Other    uint64 `json:"other"`
	P50      int64  `json:"p50"`
	P99      int64  `json:"p99"`
}

// Broker is the running broker behind the endpoint.
type Broker interface {
	// Check reports what in a change cannot be taken up, naming the field.
	Check(spec.LiveSettings, []spec.NodeOverride) error
	// Apply takes a checked change up and tells what that did.
	Apply(spec.LiveSettings, []spec.NodeOverride) []Effect
	// FillState fills in what the broker knows: list, nodes, open requests, settings in force.
	FillState(*State)
}

// Server serves one boot's endpoint.
type Server struct {
	broker Broker
	log    *slog.Logger
	since  time.Time
	name   string
	start  string

	mu       sync.Mutex
	ledger   *Ledger
	draining bool
	rev      uint64
	hook     func(string) // tests stop the process at its points
	observe  func(*Change, *Outcome)
	records  func() []byte
	explain  func(id string) any
	accept   func() int
}

// NewServer begins a boot. started is the digest that the configuration names.
func NewServer(name, boot, started string, b Broker, log *slog.Logger) *Server {
	return &Server{broker: b, log: log, since: time.Now(), name: name, start: started, ledger: NewLedger(boot, 256)}
}

// SetHook has f called with "admitted" before a change is taken up and with "recorded" after, before it is answered.
func (s *Server) SetHook(f func(point string)) { s.hook = f }

// OnChange has f called with every change and what became of it.
func (s *Server) OnChange(f func(*Change, *Outcome)) { s.observe = f }

// HandleNodes has GET /v1/nodes tell what explain returns (of one node with ?id=), and POST /v1/nodes/accept call accept.
func (s *Server) HandleNodes(explain func(id string) any, accept func() int) {
	s.explain, s.accept = explain, accept
}

// HandleRecords has GET /v1/records give what f returns: the broker's records where it keeps them in memory.
func (s *Server) HandleRecords(f func() []byte) { s.records = f }

func (s *Server) at(point string) {
	if s.hook != nil {
		s.hook(point)
	}
}

// Drain has changes refused from now on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// State is the answer to GET /v1/state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{Name: s.name, Boot: s.ledger.Boot(), PID: os.Getpid(), StartDigest: s.start, AppliedRevision: s.ledger.Applied(),
		FleetRevision: s.rev, FencingToken: s.ledger.Token(), StartedAt: s.since, Draining: s.draining}
	s.broker.FillState(&st)
	return st
}

// Change takes a change up, or tells why not. Changes come one after the other.
func (s *Server) Change(c *Change) *Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.change(c)
	if s.observe != nil {
		s.observe(c, o)
	}
	return o
}

func (s *Server) change(c *Change) *Outcome {
	if s.draining {
		return s.ledger.say(CodeDraining, "the broker is draining")
	}
	if o := s.ledger.Admit(c); o != nil {
		s.log.Warn("control: change not taken", "id", c.ID, "code", o.Code, "reason", o.Reason, "repeated", o.Repeated)
		return o
	}
	s.at("admitted")
	var did []Effect
	err := s.broker.Check(c.Live, c.NodeOverrides)
	if err == nil {
		did = s.broker.Apply(c.Live, c.NodeOverrides)
		s.rev = c.FleetRevision
	}
	o := s.ledger.Record(c, did, err)
	s.at("recorded")
	if err != nil {
		s.log.Error("control: change refused", "id", c.ID, "revision", c.Revision, "reason", err)
	} else {
		s.log.Info("control: change taken", "id", c.ID, "revision", c.Revision, "effects", len(did))
	}
	return o
}

// maxChange bounds a change's text: node commands for thousands of nodes fit.
const maxChange = 8 << 20

// Handler serves GET /v1/state and POST /v1/change.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, status int, v any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, r *http.Request) { reply(w, http.StatusOK, s.State()) })
	mux.HandleFunc("GET /v1/nodes", func(w http.ResponseWriter, r *http.Request) {
		if s.explain == nil {
			http.NotFound(w, r)
			return
		}
		reply(w, http.StatusOK, s.explain(r.URL.Query().Get("id")))
	})
	mux.HandleFunc("POST /v1/nodes/accept", func(w http.ResponseWriter, r *http.Request) {
		if s.accept == nil {
			http.NotFound(w, r)
			return
		}
		reply(w, http.StatusOK, map[string]int{"changed": s.accept()})
	})
	mux.HandleFunc("GET /v1/records", func(w http.ResponseWriter, r *http.Request) {
		if s.records == nil {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(s.records())
	})
	mux.HandleFunc("POST /v1/change", func(w http.ResponseWriter, r *http.Request) {
		var c Change
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChange))
		d.DisallowUnknownFields() // a field that is not known cannot be promised
		if err := d.Decode(&c); err != nil {
			reply(w, http.StatusBadRequest, Outcome{Code: CodeRejected, Reason: err.Error()})
			return
		}
		o := s.Change(&c)
		status := http.StatusConflict
		switch o.Code {
		case CodeApplied:
			status = http.StatusOK
		case CodeRejected:
			status = http.StatusUnprocessableEntity
		case CodeDraining:
			status = http.StatusServiceUnavailable
		}
		reply(w, status, o)
	})
	return mux
}

// Serve answers on ln until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Network splits a control address: unix:PATH, or HOST:PORT on loopback.
func Network(addr string) (network, at string, err error) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		if len(path) == 0 || len(path) > 100 { // what the kernel takes, with some room
			return "", "", fmt.Errorf("%q: a socket's path has 1 to 100 bytes", addr)
		}
		return "unix", path, nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return "", "", fmt.Errorf("%q is neither unix:PATH nor HOST:PORT", addr)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", "", fmt.Errorf("%q is not on loopback: whoever reaches it may change the broker", addr)
	}
	return "tcp", addr, nil
}

// Listen opens a control address, in place of a socket that a dead process left behind.
func Listen(addr string) (net.Listener, error) {
	network, at, err := Network(addr)
	if err != nil {
		return nil, err
	}
	if network == "unix" {
		if c, err := net.DialTimeout("unix", at, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("%s: another process listens there", at)
		}
		os.Remove(at)
	}
	ln, err := net.Listen(network, at)
	if err != nil {
		return nil, err
	}
	if network == "unix" {
		if err := os.Chmod(at, 0o600); err != nil {
			ln.Close()
			return nil, err
		}
	}
	return ln, nil
}

// Client talks to an endpoint. It makes each call once; whoever calls decides on repeats.
type Client struct {
	http *http.Client
	base string
}

// Dial returns a client for an address; nothing is sent yet.
func Dial(addr string) (*Client, error) {
	network, at, err := Network(addr)
	if err != nil {
		return nil, err
	}
	d := &net.Dialer{}
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return d.DialContext(ctx, network, at)
	}}
	return &Client{http: &http.Client{Transport: tr}, base: "http://broker/v1/"}, nil
}

// State asks what the boot holds.
func (c *Client) State(ctx context.Context) (*State, error) {
	var st State
	err := c.call(ctx, http.MethodGet, "state", nil, &st)
	return &st, err
}

// Change hands a change in. An error says nothing about whether it was taken.
func (c *Client) Change(ctx context.Context, ch *Change) (*Outcome, error) {
	var o Outcome
	err := c.call(ctx, http.MethodPost, "change", ch, &o)
	return &o, err
}

// Nodes asks where each fact about nodes comes from; id empty: about all.
func (c *Client) Nodes(ctx context.Context, id string, out any) error {
	path := "nodes"
	if id != "" {
		path += "?id=" + url.QueryEscape(id)
	}
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Records fetches what a broker without a folder keeps in memory, in the form of a segment. It is read within most bytes.
func (c *Client) Records(ctx context.Context, most int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"records", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("control: status %d: the broker keeps no records in memory", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(b)) > most {
		err = fmt.Errorf("control: more than %d bytes of records", most)
	}
	return b, err
}

// AcceptRemovals has the broker believe the omissions that its guard holds back.
func (c *Client) AcceptRemovals(ctx context.Context) (changed int, err error) {
	var out struct{ Changed int }
	err = c.call(ctx, http.MethodPost, "nodes/accept", nil, &out)
	return out.Changed, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = strings.NewReader(string(b))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxChange)).Decode(out); err != nil {
		return fmt.Errorf("control: status %d: %w", resp.StatusCode, err)
	}
	return nil
}
