package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is one entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Shard    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// discovery answers as the protocol page says: the whole list, and watches for changes.
type discovery struct {
	b  *bench
	ln net.Listener

	mu      sync.Mutex
	rev     int64
	now     map[string]target
	history map[int64]target // change that made a version
	changed chan struct{}
	told    map[string]time.Time // by uid and state: when an answer with it was written first
}

func (b *bench) startDiscovery(list ...target) *discovery {
	d := &discovery{b: b, ln: b.listen(), rev: 40, now: map[string]target{}, history: map[int64]target{},
		changed: make(chan struct{}), told: map[string]time.Time{}}
	for _, t := range list {
		d.now[t.UID] = t
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.serve)
	go func() { _ = http.Serve(d.ln, mux) }()
	return d
}

func (d *discovery) addr() string { return d.ln.Addr().String() }

// set changes one entry.
func (d *discovery) set(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	d.history[d.rev] = t
	if t.State == "removed" {
		delete(d.now, t.UID)
	} else {
		d.now[t.UID] = t
	}
	d.b.log("discovery: version %d, %s is %s", d.rev, t.UID, t.State)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	whole := err != nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		d.mu.Lock()
		rev, changed := d.rev, d.changed
		d.mu.Unlock()
		if whole || rev > after {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	d.mu.Lock()
	out := struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{Rev: d.rev, All: whole, Targets: []target{}}
	if whole {
		for _, t := range d.now {
			out.Targets = append(out.Targets, t)
		}
	} else {
		for v := after + 1; v <= d.rev; v++ {
			if t, ok := d.history[v]; ok {
				out.Targets = append(out.Targets, t)
			}
		}
	}
	d.mu.Unlock()
	body, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range out.Targets {
		key := t.UID + " " + t.State
		if _, known := d.told[key]; !known {
			d.told[key] = time.Now()
			if t.State != "up" {
				d.b.log("discovery: the broker has been told that %s is %s", t.UID, t.State)
			}
		}
	}
}

// toldAt returns when the broker was told that a node is in a state; ok is false if it was not.
func (d *discovery) toldAt(uid, state string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.told[uid+" "+state]
	return at, ok
}
