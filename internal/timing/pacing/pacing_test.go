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
			s.client.CountFreeAnswer(now, NoRequest, 0)
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
			flooding.CountFreeAnswer(now, NoRequest, 0)
		}
		if now%(100*1000) == 0 {
			if d := polite.BeginWait(now); d > 0 {
				t.Fatalf("a client with 10 free answers a second waits for %v", d)
			}
			polite.CountFreeAnswer(now, NoRequest, 0)
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
		c.CountFreeAnswer(0, NoRequest, 70<<10)
	}
	if d := c.BeginWait(0); d == 0 {
		t.Error("a client that has sent 210 KiB for free answers does not wait")
	}
}

func TestOneLargeUploadDoesNotMakeItsClientWait(t *testing.T) {
	l := NewLimiter(1000, 200)
	c := l.NewClient(0)
	c.CountFreeAnswer(0, NoRequest, 16<<20)
	if d := c.BeginWait(0); d > 0 {
		t.Errorf("a client whose upload was rejected waits for %v before its next request", d)
	}
}

// Guards against clients that are not read for seconds: the share of the rate becomes as small as the number of waiting
// clients is large, but the wait before a request is bounded.
func TestNoClientWaitsLongerThanItsBound(t *testing.T) {
	for _, kind := range []Kind{Rejection, NoRequest} {
		for _, rate := range []int{1, 100, 2000} {
			for _, clients := range []int{1, 10, 1000} {
				small, large := longestWaits(NewLimiter(rate, 256), kind, clients, 5*second)
				mostSmall, mostLarge := MaxRejectionWait, MaxRejectionWait
				if kind == NoRequest {
					mostSmall, mostLarge = MaxWait, MaxLargeWait
				}
				if small > clock.FromDuration(mostSmall) || large > clock.FromDuration(mostLarge) {
					t.Errorf("kind %d, %d a second, %d clients: a client waits for %d us before a request, one that sends large ones for %d us",
						kind, rate, clients, small, large)
				}
			}
		}
	}
}

// longestWaits returns the longest wait before one request of some clients that ask as fast as they may. Every other client
// sends large requests.
func longestWaits(l *Limiter, kind Kind, clients int, duration clock.Micros) (small, large clock.Micros) {
	type state struct {
		client *Client
		delay  time.Duration // of the wait that is going on
		since  clock.Micros  // when the waits before the next request began
		next   clock.Micros
	}
	states := make([]state, clients)
	for i := range states {
		states[i].client = l.NewClient(second)
	}
	longest := [2]clock.Micros{}
	for now := second; now < second+duration; now += 1000 {
		for i := range states {
			s := &states[i]
			if now < s.next {
				continue
			}
			if s.delay > 0 {
				s.client.EndWait()
			} else {
				s.since = now
			}
			s.delay = s.client.BeginWait(now)
			s.next = now + clock.FromDuration(s.delay)
			if s.delay == 0 {
				longest[i%2] = max(longest[i%2], now-s.since)
				s.client.CountFreeAnswer(now, kind, i%2*(100<<10))
			} else {
				longest[i%2] = max(longest[i%2], s.next-s.since)
			}
		}
	}
	return longest[0], longest[1]
}

// Guards against clients whose sound requests are rejected under load and that are then made to wait because others send
// what is no request: on kept connections, or on ever new ones.
func TestRejectedClientsDoNotWaitForOthersErrors(t *testing.T) {
	for _, badClients := range []int{1, 20, 1000} {
		l := NewLimiter(2000, 256)
		bad := make([]*Client, badClients)
		for i := range bad {
			bad[i] = l.NewClient(second)
		}
		usual := l.NewClient(second)
		for now := second; now < 30*second; now += 50_000 {
			getErrors(l, bad, now)
			if now%(5*second) == 0 {
				usual = l.NewClient(now)
			}
			if now%(600*1000) != 0 {
				continue
			}
			if d := waitOfBatch(usual, now); d > 0 {
				t.Fatalf("beside %d bad clients a client with 107 rejections a second waits for %v", badClients, d)
			}
		}
	}
}

// getErrors gives bad clients some errors each. Every other one then connects anew, the others begin to wait and never end.
func getErrors(l *Limiter, bad []*Client, now clock.Micros) {
	for i, c := range bad {
		for range 30 {
			c.CountFreeAnswer(now, NoRequest, 0)
		}
		if i%2 == 0 {
			bad[i] = l.NewClient(now)
		} else {
			c.BeginWait(now)
		}
	}
}

// waitOfBatch returns how long a client waits within a batch of requests that are all rejected.
func waitOfBatch(c *Client, now clock.Micros) time.Duration {
	for range 64 {
		if d := c.BeginWait(now); d > 0 {
			return d
		}
		c.CountFreeAnswer(now, Rejection, 0)
	}
	return 0
}

// Guards against clients that get a new burst with each connection while all together get too many free answers.
func TestNewClientGetsNoBurstWhileThereAreTooManyAnswers(t *testing.T) {
	for _, kind := range []Kind{Rejection, NoRequest} {
		l := NewLimiter(1000, 256)
		for range 1000 + 1 {
			l.NewClient(second).CountFreeAnswer(second, kind, 0)
		}
		next := l.NewClient(second)
		answers := 0
		for ; next.BeginWait(second) == 0; answers++ {
			next.CountFreeAnswer(second, kind, 0)
		}
		if answers > graceAnswers+1 {
			t.Errorf("kind %d: a new client got %d answers without a wait, want about %d", kind, answers, graceAnswers)
		}
	}
}

// Guards against a client that gets several times the rate: it has a thousand requests read before the first one is rejected,
// and its debt for all of them counts.
func TestRejectionsOfRequestsReadTogetherAreAllPaidFor(t *testing.T) {
	l := NewLimiter(2000, 256)
	c := l.NewClient(second)
	for range 1000 {
		c.CountFreeAnswer(second, Rejection, 0)
	}
	now := second + 200_000 // 400 of them are paid for, 256 were free
	if c.BeginWait(now) == 0 {
		t.Error("a client does not wait although it has not paid for its rejections")
	}
}
