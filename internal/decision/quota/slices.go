package quota

import (
	"slices"
	"sort"
	"time"
)

// timeGrid divides time into slices and windows, both numbered from the Unix epoch.
type timeGrid struct {
	sliceMicros     int64 // length of a slice in microseconds
	slicesPerWindow int64
}

func newTimeGrid(c Config) timeGrid {
	return timeGrid{
		sliceMicros:     c.Window.Microseconds() / int64(c.Slices),
		slicesPerWindow: int64(c.Slices),
	}
}

// position returns the slice that contains an instant and the elapsed fraction of it.
func (g timeGrid) position(t time.Time) (slice int64, elapsed float64) {
	micros := max(0, t.UnixMicro())
	slice = micros / g.sliceMicros
	return slice, float64(micros%g.sliceMicros) / float64(g.sliceMicros)
}

func (g timeGrid) slice(t time.Time) int64 {
	slice, _ := g.position(t)
	return slice
}

func (g timeGrid) windowOf(slice int64) int64 { return slice / g.slicesPerWindow }

func (g timeGrid) window(t time.Time) int64 { return g.windowOf(g.slice(t)) }

// windowSlices returns the first and last slice of a window.
func (g timeGrid) windowSlices(window int64) (first, last int64) {
	first = window * g.slicesPerWindow
	return first, first + g.slicesPerWindow - 1
}

// newestAcceptedSlice returns the newest slice for which spend of other processes is
// accepted: their clocks may be ahead by a quarter of a window. Later spend is ignored,
// so that a wrong clock doesn't evict older slices.
func (g timeGrid) newestAcceptedSlice(now time.Time) int64 { return g.slice(now) + g.slicesPerWindow/4 }

// retainedSlices returns the number of slices that are kept, those of two and a half
// windows.
func (g timeGrid) retainedSlices() int64 { return 2*g.slicesPerWindow + g.slicesPerWindow/2 }

// sliceRing is a ring buffer of the tokens spent in the newest slices.
type sliceRing struct {
	newest int64
	tokens []float64
}

func newSliceRing(grid timeGrid) sliceRing {
	return sliceRing{tokens: make([]float64, grid.retainedSlices())}
}

func (r *sliceRing) advance(newest int64) {
	size := int64(len(r.tokens))
	if newest <= r.newest {
		return
	}
	if newest-r.newest >= size {
		clear(r.tokens)
	} else {
		for slice := r.newest + 1; slice <= newest; slice++ {
			r.tokens[slice%size] = 0
		}
	}
	r.newest = newest
}

func (r *sliceRing) get(slice int64) float64 {
	size := int64(len(r.tokens))
	if slice > r.newest || slice <= r.newest-size || slice < 0 {
		return 0
	}
	return r.tokens[slice%size]
}

func (r *sliceRing) add(slice int64, tokens float64) {
	r.advance(slice)
	if size := int64(len(r.tokens)); slice > r.newest-size {
		r.tokens[slice%size] += tokens
	}
}

// raise sets a slice to tokens if it has less, and returns the increase.
func (r *sliceRing) raise(slice int64, tokens float64) float64 {
	r.advance(slice)
	size := int64(len(r.tokens))
	if slice <= r.newest-size || r.tokens[slice%size] >= tokens {
		return 0
	}
	increase := tokens - r.tokens[slice%size]
	r.tokens[slice%size] = tokens
	return increase
}

// sum adds up the slices from first to last, both included.
func (r *sliceRing) sum(first, last int64) float64 {
	size := int64(len(r.tokens))
	first = max(first, r.newest-size+1, 0)
	last = min(last, r.newest)
	if first > last {
		return 0
	}
	begin, end := first%size, last%size+1
	if begin < end {
		return accumulate(0, r.tokens[begin:end])
	}
	return accumulate(accumulate(0, r.tokens[begin:]), r.tokens[:end])
}

func accumulate(total float64, tokens []float64) float64 {
	for _, value := range tokens {
		total += value
	}
	return total
}

// windowTokens copies the slices of one window, without the empty ones at its end.
func (r *sliceRing) windowTokens(grid timeGrid, window int64) []float64 {
	first, last := grid.windowSlices(window)
	for last >= first && r.get(last) == 0 {
		last--
	}
	if last < first {
		return nil
	}
	tokens := make([]float64, last-first+1)
	for i := range tokens {
		tokens[i] = r.get(first + int64(i))
	}
	return tokens
}

// sparseSlices holds the tokens of the newest slices like a sliceRing, but stores only
// slices with tokens: in a large fleet, most fronts spend in few slices.
type sparseSlices struct {
	newest int64
	cells  []sliceCell // sorted by slice
}

type sliceCell struct {
	slice  int64
	tokens float64
}

// indexFrom returns the index of the first cell at or after a slice.
func (s *sparseSlices) indexFrom(slice int64) int {
	return sort.Search(len(s.cells), func(i int) bool { return s.cells[i].slice >= slice })
}

// raise sets a slice to tokens if it has less, and returns the increase.
func (s *sparseSlices) raise(grid timeGrid, slice int64, tokens float64) float64 {
	s.newest = max(s.newest, slice)
	oldest := s.newest - grid.retainedSlices() + 1
	if slice < oldest || tokens <= 0 {
		return 0
	}
	i := s.indexFrom(slice)
	if i < len(s.cells) && s.cells[i].slice == slice {
		increase := max(0, tokens-s.cells[i].tokens)
		s.cells[i].tokens += increase
		return increase
	}
	s.cells = slices.Insert(s.cells, i, sliceCell{slice, tokens})
	s.cells = slices.Delete(s.cells, 0, s.indexFrom(oldest))
	return tokens
}

// sum adds up the slices from first to last, both included.
func (s *sparseSlices) sum(first, last int64) (total float64) {
	for i := s.indexFrom(first); i < len(s.cells) && s.cells[i].slice <= last; i++ {
		total += s.cells[i].tokens
	}
	return total
}

// windowTokens copies the slices of one window, without the empty ones at its end.
func (s *sparseSlices) windowTokens(grid timeGrid, window int64) []float64 {
	first, last := grid.windowSlices(window)
	cells := s.cells[s.indexFrom(first):s.indexFrom(last+1)]
	if len(cells) == 0 {
		return nil
	}
	tokens := make([]float64, cells[len(cells)-1].slice-first+1)
	for _, cell := range cells {
		tokens[cell.slice-first] = cell.tokens
	}
	return tokens
}
