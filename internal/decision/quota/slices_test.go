package quota

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestSliceRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grid := timeGrid{sliceMicros: 1, slicesPerWindow: 4}
		ring := newSliceRing(grid)
		model := map[int64]float64{}
		newest := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			slice := max(0, newest+rapid.Int64Range(-8, 12).Draw(t, "slice"))
			newest = max(newest, slice)
			tokens := float64(rapid.IntRange(0, 9).Draw(t, "tokens"))
			if rapid.Bool().Draw(t, "raise") {
				if ring.raise(slice, tokens); slice > newest-10 {
					model[slice] = max(model[slice], tokens)
				}
			} else if ring.add(slice, tokens); slice > newest-10 {
				model[slice] += tokens
			}
			want := 0.0
			for slice := newest - 7; slice <= newest; slice++ {
				want += model[slice]
			}
			if got := ring.sum(newest-7, newest); got != want {
				t.Fatalf("sum %v, want %v", got, want)
			}
		}
	})
}

func TestSparseSlices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grid := timeGrid{sliceMicros: 1, slicesPerWindow: 4}
		sparse := sparseSlices{}
		dense := newSliceRing(grid)
		newest := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			slice := max(0, newest+rapid.Int64Range(-12, 12).Draw(t, "slice"))
			newest = max(newest, slice)
			tokens := float64(rapid.IntRange(0, 9).Draw(t, "tokens"))
			if got, want := sparse.raise(grid, slice, tokens), dense.raise(slice, tokens); got != want {
				t.Fatalf("increase %v, want %v", got, want)
			}
			window := grid.windowOf(newest) - rapid.Int64Range(0, 1).Draw(t, "window")
			if got, want := sparse.sum(newest-7, newest), dense.sum(newest-7, newest); got != want {
				t.Fatalf("sum %v, want %v", got, want)
			}
			if got, want := sparse.windowTokens(grid, window), dense.windowTokens(grid, window); !slices.Equal(got, want) {
				t.Fatalf("window tokens %v, want %v", got, want)
			}
		}
	})
}
