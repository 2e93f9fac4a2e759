package fake

import (
	"testing"
	"time"
)

// Requests are served in order of arrival, each on the core that becomes free first. The first request of a connection
// takes the work of a handshake in addition. A full queue rejects requests.
func TestTimedSchedulesInOrderOfArrival(t *testing.T) {
	const ms = time.Millisecond
	n := &TimedBlockServer{Cores: 2, Speed: 0.5, QueueCapacity: 1, HandshakeWork: 5 * ms}
	now := time.Unix(1000, 0)
	for i, x := range []struct {
		work    time.Duration
		newConn bool
		done    time.Duration // after now; 0 if the request is rejected
	}{
		{10 * ms, false, 20 * ms}, {20 * ms, true, 50 * ms}, {5 * ms, false, 30 * ms}, {5 * ms, false, 0},
	} {
		done, ok := n.assignToCore(now, x.work, x.newConn)
		if ok != (x.done > 0) || ok && done != now.Add(x.done) {
			t.Errorf("request %d: done after %v, accepted %v; want done after %v", i, done.Sub(now), ok, x.done)
		}
	}
	n.pending = 0
	if done, _ := n.assignToCore(now.Add(time.Second), 10*ms, false); done != now.Add(time.Second+20*ms) {
		t.Error("an idle core does not start a request immediately")
	}
	if attempts, conns, rejected := n.Counts(); attempts != 5 || conns != 1 || rejected != 1 {
		t.Errorf("%d attempts, %d connections, %d rejected, want 5, 1 and 1", attempts, conns, rejected)
	}
	if p := PieceID(3, 70_000); len(p) != 16 || p != "0000000003011170" {
		t.Errorf("piece id is %s", p)
	}
}
