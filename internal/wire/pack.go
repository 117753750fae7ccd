// Package wire contains the protobuf messages that stepwick processes exchange,
// generated from wire.proto, and a compact encoding of the token counts in some
// of them.
package wire

import "math"

// maxExactInteger (2^53) is the bound up to which a float64 represents every integer exactly.
const maxExactInteger = 1 << 53

// PackCounts moves slices that contain only non-negative integers to the integer
// fields, whose varint encoding is shorter than that of doubles. It modifies the
// counts, so they must not be shared.
func PackCounts(counts []*Count) {
	for _, count := range counts {
		count.Slices, count.WholeSlices = packIntegers(count.Slices)
		count.LearnedSlices, count.WholeLearned = packIntegers(count.LearnedSlices)
	}
}

// UnpackCounts reverses PackCounts, also modifying the counts.
func UnpackCounts(counts []*Count) {
	for _, count := range counts {
		count.Slices, count.WholeSlices = unpackIntegers(count.Slices, count.WholeSlices), nil
		count.LearnedSlices, count.WholeLearned = unpackIntegers(count.LearnedSlices, count.WholeLearned), nil
	}
}

// PackTotals moves slices that contain only non-negative integers to the integer
// fields, whose varint encoding is shorter than that of doubles. It modifies the
// totals, so they must not be shared.
func PackTotals(totals []*Total) {
	for _, total := range totals {
		total.Slices, total.WholeSlices = packIntegers(total.Slices)
		total.AckedSlices, total.WholeAcked = packIntegers(total.AckedSlices)
	}
}

// UnpackTotals reverses PackTotals, also modifying the totals.
func UnpackTotals(totals []*Total) {
	for _, total := range totals {
		total.Slices, total.WholeSlices = unpackIntegers(total.Slices, total.WholeSlices), nil
		total.AckedSlices, total.WholeAcked = unpackIntegers(total.AckedSlices, total.WholeAcked), nil
	}
}

// packIntegers returns the values as integers, or unchanged as floats if any of
// them is negative, fractional or above maxExactInteger.
func packIntegers(values []float64) (floats []float64, integers []uint64) {
	integers = make([]uint64, len(values))
	for i, value := range values {
		if value < 0 || value > maxExactInteger || value != math.Trunc(value) {
			return values, nil
		}
		integers[i] = uint64(value)
	}
	return nil, integers
}

// unpackIntegers returns the integers as floats, or the floats if there are no integers.
func unpackIntegers(floats []float64, integers []uint64) []float64 {
	if len(integers) == 0 {
		return floats
	}
	floats = make([]float64, len(integers))
	for i, integer := range integers {
		floats[i] = float64(integer)
	}
	return floats
}
