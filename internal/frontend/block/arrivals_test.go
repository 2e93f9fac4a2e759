package block

import (
	"math/rand/v2"
	"testing"

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
