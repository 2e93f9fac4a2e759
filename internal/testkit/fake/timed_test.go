package fake

import (
	"testing"
	"time"
)

// In turn of arrival, on the core that is free first; a new connection costs work; a full room turns away.
func TestTimedServesInTurn(t *testing.T) {
	const ms = time.Millisecond
	n := &Timed{Cores: 2, Speed: 0.5, Room: 1, Handshake: 5 * ms}
	now := time.Unix(1000, 0)
	for i, x := range []struct {
		work  time.Duration
		fresh bool
		done  time.Duration // from now; 0: turned away
	}{
		{10 * ms, false, 20 * ms}, {20 * ms, true, 50 * ms}, {5 * ms, false, 30 * ms}, {5 * ms, false, 0},
	} {
		done, ok := n.take(now, x.work, x.fresh)
		if ok != (x.done > 0) || ok && done != now.Add(x.done) {
			t.Errorf("request %d: done after %v, %v", i, done.Sub(now), ok)
		}
	}
	n.open = 0
	if done, _ := n.take(now.Add(time.Second), 10*ms, false); done != now.Add(time.Second+20*ms) {
		t.Error("a core that stood idle is not free at once")
	}
	if a, c, turned := n.Counts(); a != 5 || c != 1 || turned != 1 {
		t.Errorf("%d attempts, %d connections, %d turned away", a, c, turned)
	}
	if p := Piece(3, 70_000); len(p) != 16 || p != "0000000003011170" {
		t.Errorf("piece %s", p)
	}
}
