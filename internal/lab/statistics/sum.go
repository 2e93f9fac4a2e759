package statistics

import "math"

// sumLanes is the number of partial sums that sum keeps.
const sumLanes = 8

// sum adds values in one fixed order, so that results have the same digits on every architecture. The order is that of
// eight interleaved partial sums, in which earlier versions printed their results.
func sum(values []float64) float64 {
	var lanes [sumLanes]float64
	for ; len(values) >= sumLanes; values = values[sumLanes:] {
		addTo(lanes[:], values[:sumLanes])
	}
	total := [4]float64{lanes[0] + lanes[6], lanes[1] + lanes[7], lanes[2] + lanes[4], lanes[3] + lanes[5]}
	if len(values) >= 4 {
		addTo(total[:], values[:4])
		values = values[4:]
	}
	addTo(total[:2], total[2:])
	if len(values) >= 2 {
		addTo(total[:2], values[:2])
		values = values[2:]
	}
	result := total[0] + total[1]
	if len(values) > 0 {
		result += values[0]
	}
	return result
}

// addTo adds each value to the sum of the same index.
func addTo(sums, values []float64) {
	for i, v := range values {
		sums[i] += v
	}
}

// meanAndDeviation returns the mean and the sample standard deviation, by the corrected two-pass algorithm of Chan,
// Golub and LeVeque. The deviation of fewer than two values is NaN.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	n := float64(len(values))
	mean = sum(values) / n
	var squares, residue float64
	for _, v := range values {
		d := v - mean
		squares += float64(d * d) // the conversion prevents a fused multiply and add
		residue += d
	}
	variance := (squares - float64(residue*residue)/n) / (n - 1)
	return mean, math.Sqrt(variance)
}
