package discovery_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
	"poppyarch/internal/timing/clock"
)

func testLimits() *limits.Limits {
	return &limits.Limits{WatchTimeout: 60_000_000, WatchGracePeriod: 30_000_000, MaxListBytes: 1 << 16, MaxListEndpoints: 100, NodeIdleTimeout: 60_000_000,
		WatchMinInterval: 50_000}
}

// watch runs a client against a handler and returns the table that it keeps.
func watch(t *testing.T, h http.Handler, lim *limits.Limits) *core.EndpointTable {
	t.Helper()
	table, _ := client(t, h, lim)
	return table
}

// client is watch for tests that need the client too.
func client(t *testing.T, h http.Handler, lim *limits.Limits, tell ...func(error)) (*core.EndpointTable, *discovery.Client) {
	t.Helper()
	srv := httptest.NewServer(h)
	f, err := dispatcher.New(decision.Config{PollsEndpoints: true, MaxPollInterval: time.Second,
		Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}}}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	table := core.NewEndpointTable()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wait.Wait()
		srv.Close()
	})
	c := discovery.New(strings.TrimPrefix(srv.URL, "http://"), discovery.NoRevision, []string{"room"}, table, f, lim,
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, f := range tell {
		c.OnResult(f)
	}
	wait.Go(func() { core.RunDecisions(ctx, f, clock.New()) })
	wait.Go(func() { c.Run(ctx) })
	return table, c
}

// Moved in the middle of a watch that would wait a minute, the client reads the whole list at the new address at once,
// whatever version the old one had, and what only the old one named is gone.
func TestMovesAtOnce(t *testing.T) {
	old, other := fake.NewDiscovery(), fake.NewDiscovery()
	old.Set(target("a", "up"), target("b", "up"))
	old.Set(target("a", "up"))
	srv := httptest.NewServer(other)
	t.Cleanup(srv.Close)
	table, c := client(t, old, testLimits())
	eventually(t, "a is up", state(table, "a")(decision.Ready))
	eventually(t, "a watch", func() bool { return len(old.Calls()) > 1 })
	other.Set(target("b", "draining"))
	addr := strings.TrimPrefix(srv.URL, "http://")
	c.SetAddress(addr)
	c.SetAddress(addr) // no news
	eventually(t, "b drains", state(table, "b")(decision.Draining))
	if !state(table, "a")(decision.Removed)() {
		t.Error("a is not gone")
	}
	other.Set(target("c", "up"))
	eventually(t, "c is up", state(table, "c")(decision.Ready))
	if n := len(old.Calls()); n != 2 {
		t.Errorf("%d calls at the old address, want 2", n)
	}
	c.SetAddress("127.0.0.1:1") // nobody there: the list stays, and the way back is open
	c.SetAddress(addr)
	other.Set(target("c", "draining"))
	eventually(t, "c drains", state(table, "c")(decision.Draining))
}

// A fleet that is told to move asks the new address spread over a time. Until then the watch at the old one brings news.
func TestMoveOfAFleetIsSpread(t *testing.T) {
	old, other := fake.NewDiscovery(), fake.NewDiscovery()
	old.Set(target("a", "up"))
	other.Set(target("b", "up"))
	srv := httptest.NewServer(other)
	t.Cleanup(srv.Close)
	lim := testLimits()
	lim.DiscoveryMoveJitter = 3_600_000_000 // it will hardly fall into the first seconds
	table, c := client(t, old, lim)
	eventually(t, "a is up", state(table, "a")(decision.Ready))
	c.SetAddress(strings.TrimPrefix(srv.URL, "http://"))
	old.Set(target("a", "draining"))
	eventually(t, "a drains, by word of the old address", state(table, "a")(decision.Draining))
	if n := len(other.Calls()); n > 0 {
		t.Errorf("%d calls at the new address already", n)
	}
}

// A list may name more zones than the settings. Taken for the first of these, they made work whose repeats one zone drops go
// again in another.
func TestZonesThatTheSettingsDoNotName(t *testing.T) {
	list := discovery.List{Endpoints: []discovery.Endpoint{target("a", "up"), target("b", "up"), target("c", "up"), target("d", "up")}}
	for i, az := range []string{"room", "hall", "yard", "hall"} {
		list.Endpoints[i].Zone = az
	}
	n, err := list.Nodes([]string{"room", "cellar"})
	if err != nil {
		t.Fatal(err)
	}
	if n[0].Zone != 0 || n[1].Zone < 2 || n[2].Zone < 2 || n[1].Zone == n[2].Zone || n[1].Zone != n[3].Zone {
		t.Errorf("zones %d %d %d %d", n[0].Zone, n[1].Zone, n[2].Zone, n[3].Zone)
	}
}

// Where a discovery cannot give the whole list to a broker that has moved there, what is new is asked for instead, and the
// whole list once it can be had.
func TestMoveToACrowdedDiscovery(t *testing.T) {
	old, other := fake.NewDiscovery(), fake.NewDiscovery()
	for _, d := range []*fake.Discovery{old, other} {
		d.Set(target("a", "up"))
		d.Set(target("b", "up"))
	}
	other.Set(target("b", "draining"))
	var whole, crowded atomic.Int32
	crowded.Store(1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" && crowded.Load() > 0 {
			whole.Add(1)
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		other.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	lim := testLimits()
	lim.WatchTimeout, lim.WatchGracePeriod = 200_000, 300_000
	var ended atomic.Int32 // watches: each costs a wait in which no news is heard
	table, c := client(t, old, lim, func(err error) {
		if err != nil {
			ended.Add(1)
		}
	})
	eventually(t, "b is up", state(table, "b")(decision.Ready))
	c.SetAddress(strings.TrimPrefix(srv.URL, "http://"))
	eventually(t, "b drains", state(table, "b")(decision.Draining))
	if ended.Load() > 0 {
		t.Error("the failed whole list has ended the watch")
	}
	if whole.Load() != 1 {
		t.Errorf("the whole list was asked for %d times before the news", whole.Load())
	}
	eventually(t, "the whole list is asked for again", func() bool { return whole.Load() > 1 })
	crowded.Store(0)
	other.Set(target("a", "removed"))
	eventually(t, "a is gone", state(table, "a")(decision.Removed))
}

// eventually waits for what must come.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came: " + what)
		}
	}
}

func target(uid, state string) discovery.Endpoint {
	return discovery.Endpoint{ID: uid, Addr: "127.0.0.1:1", Zone: "room", State: state}
}

func state(table *core.EndpointTable, uid string) func(decision.EndpointState) func() bool {
	return func(want decision.EndpointState) func() bool {
		return func() bool {
			n, ok := table.Get(uid)
			if want == decision.Removed { // what is gone is forgotten
				return !ok
			}
			return ok && n.State == want
		}
	}
}

// Changes reach the table, one call after the other.
func TestWatchFollowsChanges(t *testing.T) {
	d := fake.NewDiscovery()
	table := watch(t, d, testLimits())
	d.Set(target("a", "up"))
	eventually(t, "a is up", state(table, "a")(decision.Ready))
	d.Set(target("a", "draining"))
	eventually(t, "a drains", state(table, "a")(decision.Draining))
	d.Set(target("a", "removed"), target("b", "up"))
	eventually(t, "a is gone", state(table, "a")(decision.Removed))
	eventually(t, "b is up", state(table, "b")(decision.Ready))
}

// A dead discovery leaves the list in force, is not hammered, and is taken up again.
func TestOutlivesADeadDiscovery(t *testing.T) {
	lim := testLimits()
	lim.NotificationDeadline = lim.WatchGracePeriod + 60_000_000 // as in operation, it leaves room for the backoff
	d := fake.NewDiscovery()
	table := watch(t, d, lim)
	d.Set(target("a", "up"))
	eventually(t, "a is up", state(table, "a")(decision.Ready))
	d.SetDown(true)
	n := len(d.Calls())
	// One may have been on its way, and the first after a long watch goes out at once; from then on there are waits.
	eventually(t, "three more calls", func() bool { return len(d.Calls()) >= n+3 })
	calls := d.Calls()
	// The backoff's first pause is at least a third of 0.75 s, and no slow machine makes a pause shorter.
	if gap := calls[len(calls)-1].Sub(calls[len(calls)-2]); gap < 250*time.Millisecond {
		t.Errorf("asked again after %v", gap)
	}
	if !state(table, "a")(decision.Ready)() {
		t.Error("the list went away with discovery")
	}
	d.SetDown(false)
	d.Set(target("a", "draining"))
	eventually(t, "a drains", state(table, "a")(decision.Draining))
}

// The next call goes out when the answer is in, with no pause between: a watch ends after 200 ms.
func TestWatchesAgainAtOnce(t *testing.T) {
	rev := 1
	var times []time.Time
	var mu sync.Mutex
	watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		rev++
		times = append(times, time.Now())
		fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[]}`, rev)
	}), testLimits())
	eventually(t, "fifty calls", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(times) >= 50 // one for each failure's wait would take half a minute
	})
}

// Version 0 is a version: the list is read once, and then only what is newer is asked for.
func TestVersionZeroIsNotReadOverAndOver(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	d := fake.NewDiscovery()
	table := watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls = append(calls, r.URL.RawQuery)
		mu.Unlock()
		d.ServeHTTP(w, r)
	}), testLimits())
	eventually(t, "a second call", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(calls) > 1
	})
	d.Set(target("a", "up"))
	eventually(t, "a is up", state(table, "a")(decision.Ready))
	mu.Lock()
	defer mu.Unlock()
	if calls[0] != "" || !strings.HasPrefix(calls[1], "after=0&wait_ms=") || len(calls) > 3 {
		t.Errorf("calls: %q", calls)
	}
}

// A discovery that answers at once though it has no news is asked again after a pause, not in a busy loop.
func TestAnswersWithoutNewsAreNotAskedForInABusyLoop(t *testing.T) {
	var mu sync.Mutex
	var times []time.Time
	watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		times = append(times, time.Now())
		io.WriteString(w, `{"rev":7,"all":false,"targets":[]}`)
	}), testLimits())
	eventually(t, "five calls", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(times) >= 5
	})
	mu.Lock()
	defer mu.Unlock()
	if gap := times[4].Sub(times[1]); gap < 3*50*time.Millisecond { // a lower bound: no slow machine goes under it
		t.Errorf("three calls in %v", gap)
	}
}

// Answers that cannot be are failures, not lists: the old one stays.
func TestFaultyAnswersAreFailures(t *testing.T) {
	for _, body := range []string{`{`, `{"rev":5,"targets":[{"uid":"a","endpoint":"x","state":"new"}]}`,
		`{"rev":5,"targets":[{"state":"up"}]}`, `{"rev":5,"targets":"` + strings.Repeat("x", 1<<17) + `"}`} {
		var mu sync.Mutex
		n := 0
		table := watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if n++; n == 1 {
				io.WriteString(w, `{"rev":2,"all":true,"targets":[{"uid":"a","endpoint":"x","state":"up"}]}`)
				return
			}
			io.WriteString(w, body)
		}), testLimits())
		eventually(t, "two calls after the first", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return n >= 3
		})
		if !state(table, "a")(decision.Ready)() {
			t.Errorf("the list went away with %.40q", body)
		}
	}
}
