package block

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"poppyarch/internal/timing/clock"
)

func TestArrivalIsBetweenTheMarksAroundIt(t *testing.T) {
	var a arrivals
	if _, ok := a.arrivedAt(0); ok {
		t.Error("the arrival of bytes is known although nothing was observed")
	}
	a.observe(0, 100)  // nothing had arrived at 100
	a.observe(50, 200) // bytes 1 to 50 arrived after 100
	a.observe(50, 300) // nothing more had arrived at 300
	a.observe(80, 400) // bytes 51 to 80 arrived after 300
	a.read(80)
	for _, x := range []struct {
		unscanned int
		want      clock.Micros
	}{{79, 100}, {30, 100}, {29, 300}, {0, 300}} {
		if at, ok := a.arrivedAt(x.unscanned); at != x.want || !ok {
			t.Errorf("with %d bytes unscanned: %d, %v, want %d", x.unscanned, at, ok, x.want)
		}
	}
}

// The estimate is never later than the arrival: a deadline that counts from it is never later than the client's.
func TestArrivalEstimateIsNeverTooLate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var a arrivals
	a.observe(0, 1)
	var arrivedAt []clock.Micros // by byte
	scanned := 0
	for now := clock.Micros(2); now < 20_000; now += 1 + clock.Micros(random.IntN(5)) {
		switch random.IntN(4) {
		case 0, 1:
			for range random.IntN(40) {
				arrivedAt = append(arrivedAt, now)
			}
		case 2:
			a.observe(len(arrivedAt)-int(a.consumed), now)
		default:
			waiting := len(arrivedAt) - int(a.consumed)
			a.observe(waiting, now)
			a.read(min(waiting, 50))
			for scanned < int(a.consumed) {
				scanned += min(1+random.IntN(20), int(a.consumed)-scanned)
				at, ok := a.arrivedAt(int(a.consumed) - scanned)
				if !ok || at > arrivedAt[scanned-1] {
					t.Fatalf("byte %d arrived at %d, estimated %d, %v", scanned, arrivedAt[scanned-1], at, ok)
				}
			}
		}
		if a.count > maxArrivalMarks {
			t.Fatalf("%d marks", a.count)
		}
	}
}

// Guards against deadlines that are cut by the difference between two clocks: input that came before its connection was
// accepted counts from the system's time of its arrival, but not from before this process's clock allows.
func TestFirstInputCountsFromItsArrivalBeforeTheAccept(t *testing.T) {
	const waits = 100 * time.Millisecond
	for _, x := range []struct {
		noneWaitedFor clock.Micros // before now
		want          func(age clock.Micros) bool
	}{
		{hour, func(age clock.Micros) bool { return age >= clock.FromDuration(waits)/2 }},
		{0, func(age clock.Micros) bool { return age < clock.FromDuration(waits)/2 }},
	} {
		h := newHarness(t, testLimits(), 4)
		ln := listen(t)
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer disconnect(client)
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer disconnect(accepted)
		send(client, readCommand("a"))
		<-time.After(waits)
		now := h.server.clock.Now()
		c := newConn(h.server, accepted, now-x.noneWaitedFor)
		if _, err := c.reader.next(); err != nil {
			t.Fatal(err)
		}
		if age := now - c.reader.arrivedAt(now); !x.want(age) {
			t.Errorf("none waited %d us ago: the input counts as %d us old", x.noneWaitedFor, age)
		}
	}
}
