package statistics

import (
	"encoding/json"
	"math"
	"testing"
)

// One value has no interval, and JSON has no word for that: null. Differences by pairs have nothing of what both share.
func TestFigures(t *testing.T) {
	one := Of([]float64{3})
	if text, err := json.Marshal(one); err != nil || string(text) != `{"mean":3,"half":null,"n":1}` {
		t.Errorf("%s %v", text, err)
	}
	if text, err := json.Marshal(Of(nil)); err != nil || string(text) != `{"mean":null,"half":null,"n":0}` {
		t.Errorf("%s %v", text, err)
	}
	f := Of([]float64{1, 2, 3}) // t for two degrees is 4.303, the deviation 1
	if math.Abs(f.Half-4.303/math.Sqrt(3)) > 1e-3 || !f.Holds(2) || f.Holds(5) {
		t.Errorf("%v", f)
	}
	d, err := Paired([]float64{11, 102, 1003}, []float64{10, 101, 1002})
	if err != nil || d.Mean != 1 || d.Half > 1e-9 {
		t.Errorf("%v %v", d, err)
	}
	if _, err := Paired([]float64{1}, nil); err == nil {
		t.Error("pairs of one and none")
	}
}

// What lies before the first batch is warming up; a level's area is dealt out to the batches it lies over.
func TestBatchesAndLevels(t *testing.T) {
	b := NewBatches(100, 300, 2)
	for _, at := range []int64{50, 100, 150, 250, 300} {
		b.Add(at, float64(at))
	}
	if m := b.Mean(); m.Mean != (125+250)/2.0 || m.N != 2 {
		t.Errorf("%v", m)
	}
	l := NewLevel(100, 300, 2)
	l.Add(50, 2)
	l.Add(150, 2)
	l.Add(250, -4)
	if m := l.Mean(300); m.Mean != (3+2)/2.0 {
		t.Errorf("%v", m)
	}
}
