// Package wire holds the messages that stepwick's processes exchange,
// generated from wire.proto, and the shorter form of some on their way.
package wire

import "math"

// maxExactInteger is the highest integer that a double holds exactly.
const maxExactInteger = 1 << 53

// PackCounts puts slices of integral tokens into the shorter form that they have
// on the wire. The counts must not be in use elsewhere.
func PackCounts(counts []*Count) {
	for _, count := range counts {
		count.Slices, count.WholeSlices = pack(count.Slices)
		count.LearnedSlices, count.WholeLearned = pack(count.LearnedSlices)
	}
}

// UnpackCounts undoes PackCounts.
func UnpackCounts(counts []*Count) {
	for _, count := range counts {
		count.Slices, count.WholeSlices = unpack(count.Slices, count.WholeSlices), nil
		count.LearnedSlices, count.WholeLearned = unpack(count.LearnedSlices, count.WholeLearned), nil
	}
}

// PackTotals puts slices of integral tokens into the shorter form that they have
// on the wire. The totals must not be in use elsewhere.
func PackTotals(totals []*Total) {
	for _, total := range totals {
		total.Slices, total.WholeSlices = pack(total.Slices)
		total.AckedSlices, total.WholeAcked = pack(total.AckedSlices)
	}
}

// UnpackTotals undoes PackTotals.
func UnpackTotals(totals []*Total) {
	for _, total := range totals {
		total.Slices, total.WholeSlices = unpack(total.Slices, total.WholeSlices), nil
		total.AckedSlices, total.WholeAcked = unpack(total.AckedSlices, total.WholeAcked), nil
	}
}

// pack returns the values as integers, or as they are where one is not
// an integer.
func pack(values []float64) (rest []float64, whole []uint64) {
	whole = make([]uint64, len(values))
	for i, value := range values {
		if value < 0 || value > maxExactInteger || value != math.Trunc(value) {
			return values, nil
		}
		whole[i] = uint64(value)
	}
	return nil, whole
}

func unpack(values []float64, whole []uint64) []float64 {
	if len(whole) == 0 {
		return values
	}
	values = make([]float64, len(whole))
	for i, value := range whole {
		values[i] = float64(value)
	}
	return values
}
