package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"poppyarch/internal/nodes/discovery"
)

// Discovery is a discovery service. It answers with the full node list, or with the changes since a revision as soon as
// there are any.
type Discovery struct {
	mu        sync.Mutex
	revision  int64
	order     []string
	byID      map[string]entry
	changed   chan struct{}
	callTimes []time.Time
	down      bool
}

type entry struct {
	discovery.Endpoint
	revision int64
}

// NewDiscovery returns a service with an empty list at revision 0.
func NewDiscovery() *Discovery {
	return &Discovery{byID: map[string]entry{}, changed: make(chan struct{})}
}

// SetEndpoints adds or replaces endpoints, as one revision.
func (d *Discovery) SetEndpoints(endpoints ...discovery.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, endpoint := range endpoints {
		if _, ok := d.byID[endpoint.ID]; !ok {
			d.order = append(d.order, endpoint.ID)
		}
		d.byID[endpoint.ID] = entry{endpoint, d.revision}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDown has every call answered with status 503, including those that are waiting for a change.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

// CallTimes returns the time of each call.
func (d *Discovery) CallTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.callTimes...)
}

// List returns the endpoints that were changed after a revision, or the full list if after is -1.
func (d *Discovery) List(after int64) discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := discovery.List{Revision: d.revision, Full: after < 0, Endpoints: []discovery.Endpoint{}}
	for _, id := range d.order {
		if e := d.byID[id]; e.revision > after && (!l.Full || e.State != "removed") {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
		}
	}
	return l
}

// ServeHTTP answers GET /catalog/members.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.callTimes = append(d.callTimes, time.Now())
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
		ready, changed := d.revision > after || d.down, d.changed
		d.mu.Unlock()
		if ready {
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
