package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is an entry of the list of disk nodes.
type Target struct {
	UID            string  `json:"uid"`
	Endpoint       string  `json:"endpoint"`
	ObjectEndpoint string  `json:"object_endpoint,omitempty"`
	AZ             string  `json:"az"`
	Model          string  `json:"model"`
	PodGroup       int     `json:"pod_group"`
	State          string  `json:"state"`
	CapacityHint   float64 `json:"capacity_hint"`
	BootMS         int64   `json:"boot_ms"`

	rev int64
}

// Discovery is a stand-in of discovery.
type Discovery struct {
	mu      sync.Mutex
	rev     int64
	targets []Target
	changed chan struct{}
}

// StartDiscovery serves a list of disk nodes until the end of the case, and returns its address.
func (c *Case) StartDiscovery(targets ...Target) (*Discovery, string) {
	d := &Discovery{changed: make(chan struct{})}
	for _, t := range targets {
		d.Set(t)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(ln) }()
	c.Cleanup(func() { _ = server.Close() })
	return d, ln.Addr().String()
}

// Set adds or changes an entry.
func (d *Discovery) Set(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	t.rev = d.rev
	found := false
	for i := range d.targets {
		if d.targets[i].UID == t.UID {
			d.targets[i] = t
			found = true
		}
	}
	if !found {
		d.targets = append(d.targets, t)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers GET /catalog/members.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	all := err != nil
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(max(waitMS, 0), 60000)) * time.Millisecond)
	for !all {
		d.mu.Lock()
		rev, changed := d.rev, d.changed
		d.mu.Unlock()
		if rev > after {
			break
		}
		timedOut := false
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
		if timedOut {
			break
		}
	}
	d.mu.Lock()
	list := []Target{}
	for _, t := range d.targets {
		if all && t.State != "removed" || !all && t.rev > after {
			list = append(list, t)
		}
	}
	answer, err := json.Marshal(map[string]any{"rev": d.rev, "all": all, "targets": list})
	d.mu.Unlock()
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}
