package server

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"poppyarch/internal/testkit/fake"
)

// A SIGHUP that changes the address of discovery is immediately followed by a SIGTERM, while a request is at a node.
// The request is answered.
func TestDrainRightAfterReloadAnswersRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	base, process := f.startProcess()
	storeIndex := f.putObject(base, "/b/k", []byte("x"))
	received, release := make(chan struct{}), make(chan struct{})
	f.stores[storeIndex].SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) {
		close(received)
		<-release
		next()
	})
	done := make(chan int, 1)
	go func() { done <- f.do("GET", base+"/b/k", nil).status }()
	<-received
	moved := bytes.Replace(f.configText(""), []byte(f.discoveryServer.Addr()), []byte("127.0.0.1:1"), 1)
	tmp := filepath.Join(filepath.Dir(process.config), "new")
	if err := os.WriteFile(tmp, moved, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tmp, process.config); err != nil {
		t.Fatal(err)
	}
	process.signal(t, syscall.SIGHUP)
	process.signal(t, syscall.SIGTERM)
	eventually(t, "the drain has started", func() bool { return process.log.count("draining") > 0 })
	close(release)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the request in flight got status %d, want 200", status)
	}
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("the process ended with error %v", err)
	}
}

// After a SIGHUP the broker uses the discovery service that the file now names, even if LB_DISCOVERY was set at the
// start. An invalid file changes nothing. SIGHUP also reloads the configuration during a drain.
func TestSIGHUPReloadsTheConfiguration(t *testing.T) {
	f := newFixture(t)
	newDiscovery := fake.NewDiscovery()
	newDiscoveryServer, err := fake.StartServer(newDiscovery)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(newDiscoveryServer.Kill)
	for i, endpoint := range f.discovery.List(-1).Endpoints {
		endpoint.Addr = f.nodes[1-i].Addr() // the new list swaps the addresses of the stores
		newDiscovery.SetEndpoints(endpoint)
	}
	base, process := f.startProcess("LB_DISCOVERY=" + f.discoveryServer.Addr())
	eventually(t, "a watch at the first discovery service", func() bool { return len(f.discovery.CallTimes()) > 0 })
	storeIndex := f.putObject(base, "/b/k", []byte("x"))
	original := f.configText("")
	// reload replaces the configuration file, sends SIGHUP and waits until a log line has come at least times times.
	reload := func(text []byte, line string, times int) {
		t.Helper()
		tmp := filepath.Join(filepath.Dir(process.config), "new")
		if err := os.WriteFile(tmp, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(tmp, process.config); err != nil {
			t.Fatal(err)
		}
		process.signal(t, syscall.SIGHUP)
		eventually(t, line, func() bool { return process.log.count(line) >= times })
	}
	reload([]byte(`{"discovery":`), "reload: invalid configuration", 1)
	reload(bytes.Replace(original, []byte(`"cores":1`), []byte(`"cores":"x"`), 1), "reload: invalid configuration", 2)
	if n := len(newDiscovery.CallTimes()); n != 0 {
		t.Errorf("%d calls to a discovery service that no valid configuration has named", n)
	}
	moved := bytes.Replace(original, []byte(f.discoveryServer.Addr()), []byte(newDiscoveryServer.Addr()), 1)
	reload(bytes.Replace(moved, []byte(`"name":"t1"`), []byte(`"name":"t1","log":"debug"`), 1), "reload: configuration read", 1)
	eventually(t, "calls to the new discovery service", func() bool { return len(newDiscovery.CallTimes()) > 1 })
	// Log lines of the process come through a pipe and can arrive later than its calls.
	eventually(t, "a line at the new log level", func() bool { return process.log.count("discovery: node") > 0 })
	f.listNodes(0, 0) // at the old discovery service, which the broker no longer uses
	eventually(t, "the object is stored at the address in the new list", func() bool {
		f.do("PUT", base+"/b/k", []byte("y"))
		return f.stores[1-storeIndex].Get("/b/k") != nil
	})
	// Two SIGHUPs in a row, and a changed key that needs a restart.
	process.signal(t, syscall.SIGHUP)
	reload(bytes.Replace(moved, []byte(`"cores":1`), []byte(`"cores":2`), 1), "keys=[limits]", 1)

	// A reload during a drain, with a request in flight.
	received, release := make(chan struct{}), make(chan struct{})
	for _, s := range f.stores {
		s.SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) {
			close(received)
			<-release
			next()
		})
	}
	done := make(chan int, 1)
	go func() { done <- f.do("GET", base+"/b/k", nil).status }()
	<-received
	process.signal(t, syscall.SIGTERM)
	eventually(t, "the drain has started", func() bool { return process.log.count("draining") > 0 })
	before := process.log.count("reload: configuration read")
	reload(original, "reload: configuration read", before+1)
	close(release)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the request in flight got status %d, want 200", status)
	}
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("the process ended with error %v", err)
	}
}
