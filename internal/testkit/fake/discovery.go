package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"poppyarch/internal/nodes/discovery"
)

// Discovery serves a node list, whole or as a watch.
type Discovery struct {
	mu      sync.Mutex
	rev     int64
	order   []string
	byUID   map[string]entry
	changed chan struct{}
	calls   []time.Time
	down    bool
}

type entry struct {
	discovery.Endpoint
	rev int64
}

// NewDiscovery returns an empty list at version 0.
func NewDiscovery() *Discovery {
	return &Discovery{byUID: map[string]entry{}, changed: make(chan struct{})}
}

// Set adds or changes entries.
func (d *Discovery) Set(targets ...discovery.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, t := range targets {
		if _, ok := d.byUID[t.ID]; !ok {
			d.order = append(d.order, t.ID)
		}
		d.byUID[t.ID] = entry{t, d.rev}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDown has every call end in 503, also those that wait.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

// Calls tells when calls came.
func (d *Discovery) Calls() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.calls...)
}

// List is the list as it stands: what is newer than after, or with -1 all.
func (d *Discovery) List(after int64) discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := discovery.List{Revision: d.rev, Full: after < 0, Endpoints: []discovery.Endpoint{}}
	for _, uid := range d.order {
		if e := d.byUID[uid]; e.rev > after && (!l.Full || e.State != "removed") {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	return l
}

// ServeHTTP answers GET /catalog/members.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, time.Now())
	d.mu.Unlock()
	if r.Method != http.MethodGet || r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	for waiting := after >= 0; waiting; {
		d.mu.Lock()
		news, changed := d.rev > after || d.down, d.changed
		d.mu.Unlock()
		if news {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.List(after))
}
