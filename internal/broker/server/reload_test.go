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

// A reload that moves discovery is followed at once by a drain, with a request at a node: the request is answered.
func TestDrainRightAfterReloadAnswersOpenRequests(t *testing.T) {
	r := newRig(t)
	base, p := r.process()
	home := r.home(base, "/b/k", []byte("x"))
	got, answer := make(chan struct{}), make(chan struct{})
	r.stores[home].SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) {
		close(got)
		<-answer
		next()
	})
	done := make(chan int, 1)
	go func() { done <- r.do("GET", base+"/b/k", nil).status }()
	<-got
	moved := bytes.Replace(r.configText(""), []byte(r.discN.Addr()), []byte("127.0.0.1:1"), 1)
	tmp := filepath.Join(filepath.Dir(p.config), "new")
	if err := os.WriteFile(tmp, moved, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tmp, p.config); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	p.signal(t, syscall.SIGTERM)
	eventually(t, "a drain", func() bool { return p.log.count("draining") > 0 })
	close(answer)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the open request got %d", status)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// A SIGHUP moves the broker to the discovery service that the file now names, whatever LB_DISCOVERY said at the start.
// An invalid file changes nothing. The same holds in a drain.
func TestHangupReloadsTheConfiguration(t *testing.T) {
	r := newRig(t)
	other := fake.NewDiscovery()
	otherNode, err := fake.Start(other)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(otherNode.Kill)
	for i, l := range r.disc.List(-1).Endpoints {
		l.Addr = r.nodes[1-i].Addr() // the other list has the stores the other way round
		other.Set(l)
	}
	base, p := r.process("LB_DISCOVERY=" + r.discN.Addr())
	eventually(t, "a watch at the first discovery", func() bool { return len(r.disc.Calls()) > 0 })
	home := r.home(base, "/b/k", []byte("x"))
	old := r.configText("")
	hangup := func(text []byte, line string, times int) {
		t.Helper()
		tmp := filepath.Join(filepath.Dir(p.config), "new")
		if err := os.WriteFile(tmp, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(tmp, p.config); err != nil {
			t.Fatal(err)
		}
		p.signal(t, syscall.SIGHUP)
		eventually(t, line, func() bool { return p.log.count(line) >= times })
	}
	hangup([]byte(`{"discovery":`), "reload: invalid configuration", 1)
	hangup(bytes.Replace(old, []byte(`"cores":1`), []byte(`"cores":"x"`), 1), "reload: invalid configuration", 2)
	if n := len(other.Calls()); n != 0 {
		t.Errorf("%d calls to a discovery that no configuration named", n)
	}
	moved := bytes.Replace(old, []byte(r.discN.Addr()), []byte(otherNode.Addr()), 1)
	hangup(bytes.Replace(moved, []byte(`"name":"t1"`), []byte(`"name":"t1","log":"debug"`), 1), "reload: configuration read", 1)
	eventually(t, "a list from the new discovery", func() bool { return len(other.Calls()) > 1 })
	// The lines of a process come through a pipe, not in step with its calls.
	eventually(t, "a line of the new log level", func() bool { return p.log.count("discovery: node") > 0 })
	r.list(0, 0) // from the old one, which no longer counts
	eventually(t, "the object at the other store", func() bool {
		r.do("PUT", base+"/b/k", []byte("y"))
		return r.stores[1-home].Get("/b/k") != nil
	})
	// Two hangups in a row, and a key that needs a restart.
	p.signal(t, syscall.SIGHUP)
	hangup(bytes.Replace(moved, []byte(`"cores":1`), []byte(`"cores":2`), 1), "keys=[limits]", 1)

	// In a drain, with a request open.
	got, answer := make(chan struct{}), make(chan struct{})
	for _, s := range r.stores {
		s.SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) {
			close(got)
			<-answer
			next()
		})
	}
	done := make(chan int, 1)
	go func() { done <- r.do("GET", base+"/b/k", nil).status }()
	<-got
	p.signal(t, syscall.SIGTERM)
	eventually(t, "a drain", func() bool { return p.log.count("draining") > 0 })
	before := p.log.count("reload: configuration read")
	hangup(old, "reload: configuration read", before+1)
	close(answer)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the open request got %d", status)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}
