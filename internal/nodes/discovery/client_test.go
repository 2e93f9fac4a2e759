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
	return &limits.Limits{
		WatchTimeout:     60_000_000,
		WatchGracePeriod: 30_000_000,
		MaxListBytes:     1 << 16,
		MaxListEndpoints: 100,
		NodeIdleTimeout:  60_000_000,
		WatchMinInterval: 50_000,
	}
}

// watch runs a client against a handler and returns the table that it keeps.
func watch(t *testing.T, h http.Handler, lim *limits.Limits) *core.EndpointTable {
	t.Helper()
	table, _ := client(t, h, lim)
	return table
}

// client is watch for tests that need the client too.
func client(t *testing.T, h http.Handler, lim *limits.Limits, onResult ...func(error)) (*core.EndpointTable, *discovery.Client) {
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
		slog.New(slog.DiscardHandler))
	for _, f := range onResult {
		c.OnResult(f)
	}
	wait.Go(func() { core.RunDecisions(ctx, f, clock.New()) })
	wait.Go(func() { c.Run(ctx) })
	return table, c
}

// In the middle of a watch that would wait a minute, the client reads the full list at the new address at once, whatever
// revision the old one had, and endpoints that only the old one named are removed.
func TestAddressChangeEndsWatchAndReadsFullList(t *testing.T) {
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
	c.SetAddress(addr) // no change
	eventually(t, "b drains", state(table, "b")(decision.Draining))
	if !state(table, "a")(decision.Removed)() {
		t.Error("a is not gone")
	}
	other.Set(target("c", "up"))
	eventually(t, "c is up", state(table, "c")(decision.Ready))
	if n := len(old.Calls()); n != 2 {
		t.Errorf("%d calls at the old address, want 2", n)
	}
	c.SetAddress("127.0.0.1:1") // nobody listens there: the list stays, and a further change works
	c.SetAddress(addr)
	other.Set(target("c", "draining"))
	eventually(t, "c drains", state(table, "c")(decision.Draining))
}

// The brokers of a fleet poll a new address spread over a time. Until then the watch at the old one goes on.
func TestAddressChangeIsDelayedByJitter(t *testing.T) {
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
	eventually(t, "a drains, as the old address says", state(table, "a")(decision.Draining))
	if n := len(other.Calls()); n > 0 {
		t.Errorf("%d calls at the new address already", n)
	}
}

// A list may name more zones than the settings. Taken for one of the settings' zones, they would let a request that one zone
// deduplicates be retried in another.
func TestUnknownZonesGetDistinctNumbers(t *testing.T) {
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

// Where a discovery cannot give the full list to a broker that has changed to it, changes are polled instead, and the full
// list once it is available.
func TestChangesAreReadWhileFullListIsRejected(t *testing.T) {
	old, other := fake.NewDiscovery(), fake.NewDiscovery()
	for _, d := range []*fake.Discovery{old, other} {
		d.Set(target("a", "up"))
		d.Set(target("b", "up"))
	}
	other.Set(target("b", "draining"))
	var fullListCalls, overloaded atomic.Int32
	overloaded.Store(1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" && overloaded.Load() > 0 {
			fullListCalls.Add(1)
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		other.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	lim := testLimits()
	lim.WatchTimeout, lim.WatchGracePeriod = 200_000, 300_000
	var failedWatches atomic.Int32 // each costs a backoff in which no change arrives
	table, c := client(t, old, lim, func(err error) {
		if err != nil {
			failedWatches.Add(1)
		}
	})
	eventually(t, "b is up", state(table, "b")(decision.Ready))
	c.SetAddress(strings.TrimPrefix(srv.URL, "http://"))
	eventually(t, "b drains", state(table, "b")(decision.Draining))
	if failedWatches.Load() > 0 {
		t.Error("the failed full list has ended the watch")
	}
	if fullListCalls.Load() != 1 {
		t.Errorf("the full list was polled %d times before the changes", fullListCalls.Load())
	}
	eventually(t, "the full list is polled again", func() bool { return fullListCalls.Load() > 1 })
	overloaded.Store(0)
	other.Set(target("a", "removed"))
	eventually(t, "a is gone", state(table, "a")(decision.Removed))
}

// answer writes a body. A client that has gone away fails the test by what it does not get.
func answer(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

// eventually waits until ok returns true.
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

// While discovery is down the list stays in force and polls back off; afterwards the watch goes on.
func TestListStaysAndPollsBackOffWhileDiscoveryIsDown(t *testing.T) {
	lim := testLimits()
	lim.NotificationDeadline = lim.WatchGracePeriod + 60_000_000 // as in operation, it leaves room for the backoff
	d := fake.NewDiscovery()
	table := watch(t, d, lim)
	d.Set(target("a", "up"))
	eventually(t, "a is up", state(table, "a")(decision.Ready))
	d.SetDown(true)
	n := len(d.Calls())
	// One call may have been on its way, and the first after a long watch goes out at once; from then on there is a backoff.
	eventually(t, "three more calls", func() bool { return len(d.Calls()) >= n+3 })
	calls := d.Calls()
	// The backoff's first pause is at least a third of 0.75 s, and no slow machine makes a pause shorter.
	if gap := calls[len(calls)-1].Sub(calls[len(calls)-2]); gap < 250*time.Millisecond {
		t.Errorf("polled again after %v", gap)
	}
	if !state(table, "a")(decision.Ready)() {
		t.Error("the list went away with discovery")
	}
	d.SetDown(false)
	d.Set(target("a", "draining"))
	eventually(t, "a drains", state(table, "a")(decision.Draining))
}

// The next call goes out when the answer has arrived, without a pause.
func TestNextPollFollowsAnswerWithoutPause(t *testing.T) {
	revision := 1
	var times []time.Time
	var mu sync.Mutex
	watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		revision++
		times = append(times, time.Now())
		answer(w, fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, revision))
	}), testLimits())
	eventually(t, "fifty calls", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(times) >= 50 // with a backoff before each this would take half a minute
	})
}

// The list is read once, and then only changes since revision 0.
func TestRevisionZeroIsAKnownRevision(t *testing.T) {
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

// A discovery that answers at once though it has no changes is polled again after a pause.
func TestAnswersWithoutChangesAreNotPolledInABusyLoop(t *testing.T) {
	var mu sync.Mutex
	var times []time.Time
	watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		times = append(times, time.Now())
		answer(w, `{"rev":7,"all":false,"targets":[]}`)
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

// An answer that cannot be read or used is a failure, and the list in force stays.
func TestInvalidAnswerKeepsList(t *testing.T) {
	for _, body := range []string{`{`, `{"rev":5,"targets":[{"uid":"a","endpoint":"x","state":"new"}]}`,
		`{"rev":5,"targets":[{"state":"up"}]}`, `{"rev":5,"targets":"` + strings.Repeat("x", 1<<17) + `"}`} {
		var mu sync.Mutex
		n := 0
		table := watch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if n++; n == 1 {
				answer(w, `{"rev":2,"all":true,"targets":[{"uid":"a","endpoint":"x","state":"up"}]}`)
				return
			}
			answer(w, body)
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
