package pacing

import (
	"testing"
	"time"

	"poppyarch/internal/timing/clock"
)

const second = clock.Micros(1_000_000)

// answersWithin returns how many free answers each of some clients gets in a time if they ask as fast as they may.
func answersWithin(l *Limiter, clients int, duration clock.Micros) []int {
	counts := make([]int, clients)
	type state struct {
		client  *Client
		waiting bool
		next    clock.Micros
	}
	states := make([]state, clients)
	for i := range states {
		states[i].client = l.NewClient(0)
	}
	for now := clock.Micros(0); now < duration; now += 100 {
		for i := range states {
			s := &states[i]
			if now < s.next {
				continue
			}
			if s.waiting {
				s.client.EndWait()
				s.waiting = false
			}
			if d := s.client.BeginWait(now); d > 0 {
				s.waiting = true
				s.next = now + clock.FromDuration(d)
				continue
			}
			s.client.CountFreeAnswer(now, 0)
			counts[i]++
		}
	}
	return counts
}

func TestFloodingClientsShareTheRate(t *testing.T) {
	const (
		rate  = 1000
		burst = 200
	)
	for _, clients := range []int{1, 10, 300} {
		total := 0
		counts := answersWithin(NewLimiter(rate, burst), clients, 10*second)
		for _, n := range counts {
			total += n
		}
		most := clients*burst + 11*rate // their bursts, what all may get at once, and the rate for 10 s
		if total > most || total < 9*rate {
			t.Errorf("%d clients got %d free answers in 10 s, want %d to %d", clients, total, 9*rate, most)
		}
		if clients > 1 && counts[0] < total/clients/2 {
			t.Errorf("the first of %d clients got %d of %d answers, want about its share", clients, counts[0], total)
		}
	}
}

func TestClientWithFewFreeAnswersNeverWaits(t *testing.T) {
	l := NewLimiter(1000, 200)
	polite, flooding := l.NewClient(0), l.NewClient(0)
	for now := clock.Micros(0); now < 10*second; now += 1000 {
		for range 50 {
			flooding.CountFreeAnswer(now, 0)
		}
		if now%(100*1000) == 0 {
			if d := polite.BeginWait(now); d > 0 {
				t.Fatalf("a client with 10 free answers a second waits for %v", d)
			}
			polite.CountFreeAnswer(now, 0)
		}
	}
	if d := flooding.BeginWait(10 * second); d <= 0 || d > time.Second {
		t.Errorf("a flooding client waits for %v", d)
	}
}

func TestLargeRequestCountsAsSeveralAnswers(t *testing.T) {
	l := NewLimiter(1000, 200)
	c := l.NewClient(0)
	for range 3 {
		if d := c.BeginWait(0); d > 0 {
			t.Fatalf("a client waits for %v within its burst", d)
		}
		c.CountFreeAnswer(0, 70<<10)
	}
	if d := c.BeginWait(0); d == 0 {
		t.Error("a client that has sent 210 KiB for free answers does not wait")
	}
}

func TestOneLargeUploadDoesNotMakeItsClientWait(t *testing.T) {
	l := NewLimiter(1000, 200)
	c := l.NewClient(0)
	c.CountFreeAnswer(0, 16<<20)
	if d := c.BeginWait(0); d > 0 {
		t.Errorf("a client whose upload was rejected waits for %v before its next request", d)
	}
}
