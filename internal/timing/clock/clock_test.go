package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestClockStartsAtUnixTimeAndAdvances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		start := Micros(time.Now().UnixMicro())
		if now := c.Now(); now != start {
			t.Errorf("the clock starts at %d, want %d", now, start)
		}
		time.Sleep(1500 * time.Microsecond)
		if now := c.Now(); now != start+1500 {
			t.Errorf("the clock is at %d after 1500 us, want %d", now, start+1500)
		}
	})
}

func TestConversions(t *testing.T) {
	if d := Duration(1500); d != 1500*time.Microsecond {
		t.Errorf("Duration(1500) = %v", d)
	}
	if m := FromDuration(1999 * time.Nanosecond); m != 1 {
		t.Errorf("FromDuration(1999 ns) = %d", m)
	}
	if m := FromMillis(3); m != 3000 {
		t.Errorf("FromMillis(3) = %d", m)
	}
}
