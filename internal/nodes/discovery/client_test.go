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

// startWatch runs a client against a handler and returns the table that the client updates.
func startWatch(t *testing.T, h http.Handler, lim *limits.Limits) *core.EndpointTable {
	t.Helper()
	table, _ := startClient(t, h, lim)
	return table
}

// startClient is like startWatch and also returns the client.
func startClient(t *testing.T, h http.Handler, lim *limits.Limits, onResult ...func(error)) (*core.EndpointTable, *discovery.Client) {
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
	c := discovery.New(strings.TrimPrefix(srv.URL, "http://"), discovery.NoRevision, []string{"zone-a"}, table, f, lim,
		slog.New(slog.DiscardHandler))
	for _, f := range onResult {
		c.OnResult(f)
	}
	wait.Go(func() { core.RunDecisions(ctx, f, clock.New()) })
	wait.Go(func() { c.Run(ctx) })
	return table, c
}

// A change of the address ends a watch that would wait a minute. The client reads the full list at the new address
// immediately, whatever the revision at the old one, and endpoints that only the old list named are removed.
func TestAddressChangeEndsWatchAndReadsFullList(t *testing.T) {
	old, other := fake.NewDiscovery(), fake.NewDiscovery()
	old.SetEndpoints(endpoint("a", "up"), endpoint("b", "up"))
	old.SetEndpoints(endpoint("a", "up"))
	srv := httptest.NewServer(other)
	t.Cleanup(srv.Close)
	table, c := startClient(t, old, testLimits())
	eventually(t, "a is up", hasState(table, "a")(decision.Ready))
	eventually(t, "a watch", func() bool { return len(old.CallTimes()) > 1 })
	other.SetEndpoints(endpoint("b", "draining"))
	addr := strings.TrimPrefix(srv.URL, "http://")
	c.SetAddress(addr)
	c.SetAddress(addr) // no change
	eventually(t, "b drains", hasState(table, "b")(decision.Draining))
	if !hasState(table, "a")(decision.Removed)() {
		t.Error("a, which only the old address lists, was not removed")
	}
	other.SetEndpoints(endpoint("c", "up"))
	eventually(t, "c is up", hasState(table, "c")(decision.Ready))
	if n := len(old.CallTimes()); n != 2 {
		t.Errorf("%d calls at the old address, want 2", n)
	}
	c.SetAddress("127.0.0.1:1") // no server listens there: the list stays, and the next change works
	c.SetAddress(addr)
	other.SetEndpoints(endpoint("c", "draining"))
	eventually(t, "c drains", hasState(table, "c")(decision.Draining))
}

// The brokers of a fleet switch to a new address after random delays. Until then the watch at the old address
// continues.
func TestAddressChangeIsDelayedByJitter(t *testing.T) {
	old, other := fake.NewDiscovery(), fake.NewDiscovery()
	old.SetEndpoints(endpoint("a", "up"))
	other.SetEndpoints(endpoint("b", "up"))
	srv := httptest.NewServer(other)
	t.Cleanup(srv.Close)
	lim := testLimits()
	lim.DiscoveryMoveJitter = 3_600_000_000 // an hour: the delay will hardly end within the first seconds
	table, c := startClient(t, old, lim)
	eventually(t, "a is up", hasState(table, "a")(decision.Ready))
	c.SetAddress(strings.TrimPrefix(srv.URL, "http://"))
	old.SetEndpoints(endpoint("a", "draining"))
	eventually(t, "a drains at the old address", hasState(table, "a")(decision.Draining))
	if n := len(other.CallTimes()); n > 0 {
		t.Errorf("%d calls at the new address before the delay, want 0", n)
	}
}

// A list may name zones that the settings do not have. If such a zone got the number of another zone, a request that is
// deduplicated within one zone could be retried in the other.
func TestUnknownZonesGetDistinctNumbers(t *testing.T) {
	list := discovery.List{Endpoints: []discovery.Endpoint{endpoint("a", "up"), endpoint("b", "up"), endpoint("c", "up"), endpoint("d", "up")}}
	for i, az := range []string{"zone-a", "zone-c", "zone-d", "zone-c"} {
		list.Endpoints[i].Zone = az
	}
	n, err := list.Nodes([]string{"zone-a", "zone-b"})
	if err != nil {
		t.Fatal(err)
	}
	if n[0].Zone != 0 || n[1].Zone < 2 || n[2].Zone < 2 || n[1].Zone == n[2].Zone || n[1].Zone != n[3].Zone {
		t.Errorf("zones %d %d %d %d", n[0].Zone, n[1].Zone, n[2].Zone, n[3].Zone)
	}
}

// If a discovery service cannot send the full list to a broker that has just switched to it, the broker polls for
// changes instead, and reads the full list once it is available.
func TestChangesAreReadWhileFullListIsRejected(t *testing.T) {
	old, other := fake.NewDiscovery(), fake.NewDiscovery()
	for _, d := range []*fake.Discovery{old, other} {
		d.SetEndpoints(endpoint("a", "up"))
		d.SetEndpoints(endpoint("b", "up"))
	}
	other.SetEndpoints(endpoint("b", "draining"))
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
	var failedWatches atomic.Int32 // each is followed by a backoff in which no change arrives
	table, c := startClient(t, old, lim, func(err error) {
		if err != nil {
			failedWatches.Add(1)
		}
	})
	eventually(t, "b is up", hasState(table, "b")(decision.Ready))
	c.SetAddress(strings.TrimPrefix(srv.URL, "http://"))
	eventually(t, "b drains", hasState(table, "b")(decision.Draining))
	if failedWatches.Load() > 0 {
		t.Error("the rejected call for the full list ended the watch")
	}
	if fullListCalls.Load() != 1 {
		t.Errorf("the full list was requested %d times before the changes, want 1", fullListCalls.Load())
	}
	eventually(t, "the full list is requested again", func() bool { return fullListCalls.Load() > 1 })
	overloaded.Store(0)
	other.SetEndpoints(endpoint("a", "removed"))
	eventually(t, "a is removed", hasState(table, "a")(decision.Removed))
}

// writeBody writes a response body. Write errors are ignored: the test fails anyway if the client lacks the response.
func writeBody(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 30 s: " + what)
		}
	}
}

func endpoint(uid, state string) discovery.Endpoint {
	return discovery.Endpoint{ID: uid, Addr: "127.0.0.1:1", Zone: "zone-a", State: state}
}

func hasState(table *core.EndpointTable, uid string) func(decision.EndpointState) func() bool {
	return func(want decision.EndpointState) func() bool {
		return func() bool {
			n, ok := table.Get(uid)
			if want == decision.Removed { // the table deletes removed nodes
				return !ok
			}
			return ok && n.State == want
		}
	}
}

// Successive calls bring all changes into the table.
func TestWatchFollowsChanges(t *testing.T) {
	d := fake.NewDiscovery()
	table := startWatch(t, d, testLimits())
	d.SetEndpoints(endpoint("a", "up"))
	eventually(t, "a is up", hasState(table, "a")(decision.Ready))
	d.SetEndpoints(endpoint("a", "draining"))
	eventually(t, "a drains", hasState(table, "a")(decision.Draining))
	d.SetEndpoints(endpoint("a", "removed"), endpoint("b", "up"))
	eventually(t, "a is removed", hasState(table, "a")(decision.Removed))
	eventually(t, "b is up", hasState(table, "b")(decision.Ready))
}

// While discovery is down the list stays in use and polls back off; afterwards the watch continues.
func TestListStaysAndPollsBackOffWhileDiscoveryIsDown(t *testing.T) {
	lim := testLimits()
	lim.NotificationDeadline = lim.WatchGracePeriod + 60_000_000 // as in production, leaves time for the backoff
	d := fake.NewDiscovery()
	table := startWatch(t, d, lim)
	d.SetEndpoints(endpoint("a", "up"))
	eventually(t, "a is up", hasState(table, "a")(decision.Ready))
	d.SetDown(true)
	n := len(d.CallTimes())
	// One call may have been in flight, and the first after a long watch follows immediately; later ones follow a
	// backoff.
	eventually(t, "three more calls", func() bool { return len(d.CallTimes()) >= n+3 })
	calls := d.CallTimes()
	// The first backoff is at least a third of 0.75 s. A slow machine can only make it longer.
	if gap := calls[len(calls)-1].Sub(calls[len(calls)-2]); gap < 250*time.Millisecond {
		t.Errorf("polled again after %v", gap)
	}
	if !hasState(table, "a")(decision.Ready)() {
		t.Error("the list was dropped while discovery was down")
	}
	d.SetDown(false)
	d.SetEndpoints(endpoint("a", "draining"))
	eventually(t, "a drains", hasState(table, "a")(decision.Draining))
}

// The next call follows a response without a pause.
func TestNextPollFollowsAnswerWithoutPause(t *testing.T) {
	revision := 1
	var times []time.Time
	var mu sync.Mutex
	startWatch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		revision++
		times = append(times, time.Now())
		writeBody(w, fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, revision))
	}), testLimits())
	eventually(t, "fifty calls", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(times) >= 50 // with a backoff before each call this would take half a minute
	})
}

// The list is read once, and then only changes since revision 0.
func TestRevisionZeroIsAKnownRevision(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	d := fake.NewDiscovery()
	table := startWatch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	d.SetEndpoints(endpoint("a", "up"))
	eventually(t, "a is up", hasState(table, "a")(decision.Ready))
	mu.Lock()
	defer mu.Unlock()
	if calls[0] != "" || !strings.HasPrefix(calls[1], "after=0&wait_ms=") || len(calls) > 3 {
		t.Errorf("calls: %q", calls)
	}
}

// A discovery service that answers immediately although it has no changes is polled again after a pause.
func TestAnswersWithoutChangesAreNotPolledInABusyLoop(t *testing.T) {
	var mu sync.Mutex
	var times []time.Time
	startWatch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		times = append(times, time.Now())
		writeBody(w, `{"rev":7,"all":false,"targets":[]}`)
	}), testLimits())
	eventually(t, "five calls", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(times) >= 5
	})
	mu.Lock()
	defer mu.Unlock()
	if gap := times[4].Sub(times[1]); gap < 3*50*time.Millisecond { // a slow machine can only make the gap longer
		t.Errorf("three calls within %v, want at least 150 ms", gap)
	}
}

// A response that cannot be decoded or used counts as a failure, and the current list stays in use.
func TestInvalidAnswerKeepsList(t *testing.T) {
	for _, body := range []string{`{`, `{"rev":5,"targets":[{"uid":"a","endpoint":"x","state":"new"}]}`,
		`{"rev":5,"targets":[{"state":"up"}]}`, `{"rev":5,"targets":"` + strings.Repeat("x", 1<<17) + `"}`} {
		var mu sync.Mutex
		n := 0
		table := startWatch(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if n++; n == 1 {
				writeBody(w, `{"rev":2,"all":true,"targets":[{"uid":"a","endpoint":"x","state":"up"}]}`)
				return
			}
			writeBody(w, body)
		}), testLimits())
		eventually(t, "two calls after the first", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return n >= 3
		})
		if !hasState(table, "a")(decision.Ready)() {
			t.Errorf("the list was dropped after the response %.40q", body)
		}
	}
}
