package backoff

import (
	"testing"
	"time"
)

func TestNext(t *testing.T) {
	const ms = time.Millisecond
	for _, x := range []struct {
		callers, failures int
		cap, bound        time.Duration
		least, most       time.Duration
	}{
		{4, 0, 0, 0, 250 * ms, 750 * ms},
		{4, 1, 0, 0, 500 * ms, 1500 * ms},
		{4, 9, 0, 0, 500 * ms, 1500 * ms},
		{80, 0, 0, 0, 800 * ms, 2400 * ms},
		{80, 9, 0, 0, 3200 * ms, 9600 * ms},
		{300, 9, 5000 * ms, 0, 2500 * ms, 7500 * ms},
		{300, 9, 5000 * ms, 3000 * ms, 1000 * ms, 3000 * ms},
		{4, 0, 0, 60 * ms, 20 * ms, 60 * ms},
	} {
		b := New(x.callers, x.cap)
		if low, high := b.RetryDelay(x.failures, x.bound, 0), b.RetryDelay(x.failures, x.bound, 1); low != x.least || high != x.most {
			t.Errorf("%+v: from %v to %v", x, low, high)
		}
	}
	if one, many := New(4, 0).InitialDelay(1), New(300, 0).InitialDelay(1); one != 0 || many != 1500*ms {
		t.Errorf("first calls are spread over %v and %v", one, many)
	}
}
