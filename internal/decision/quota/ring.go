package quota

import (
	"slices"
	"sort"
	"time"
)

// grid cuts time into slices and windows, both numbered since the unix epoch.
type grid struct {
	slice  int64 // microseconds
	slices int64 // in a window
}

func gridOf(c Config) grid {
	return grid{slice: c.Window.Microseconds() / int64(c.Slices), slices: int64(c.Slices)}
}

func (g grid) at(t time.Time) (slice int64, passed float64) {
	us := max(0, t.UnixMicro())
	slice = us / g.slice
	return slice, float64(us%g.slice) / float64(g.slice)
}

// bound is the newest slice that another process's clock may be ahead to.
func (g grid) bound(now time.Time) int64 {
	slice, _ := g.at(now)
	return slice + g.slices/4
}

func (g grid) window(slice int64) int64 { return slice / g.slices }

// ring keeps the tokens of the newest slices; older ones fall out.
type ring struct {
	top    int64 // newest slice kept
	tokens []float64
}

// kept is how many slices a ring keeps.
func (g grid) kept() int64 { return 2*g.slices + g.slices/2 }

func newRing(g grid) ring { return ring{tokens: make([]float64, g.kept())} }

func (r *ring) advance(top int64) {
	n := int64(len(r.tokens))
	if top <= r.top {
		return
	}
	if top-r.top >= n {
		clear(r.tokens)
	} else {
		for k := r.top + 1; k <= top; k++ {
			r.tokens[k%n] = 0
		}
	}
	r.top = top
}

func (r *ring) get(slice int64) float64 {
	n := int64(len(r.tokens))
	if slice > r.top || slice <= r.top-n || slice < 0 {
		return 0
	}
	return r.tokens[slice%n]
}

func (r *ring) add(slice int64, tokens float64) {
	r.advance(slice)
	if n := int64(len(r.tokens)); slice > r.top-n {
		r.tokens[slice%n] += tokens
	}
}

// raise lifts a slice to at least tokens and returns by how much it rose.
func (r *ring) raise(slice int64, tokens float64) float64 {
	r.advance(slice)
	n := int64(len(r.tokens))
	if slice <= r.top-n || r.tokens[slice%n] >= tokens {
		return 0
	}
	risen := tokens - r.tokens[slice%n]
	r.tokens[slice%n] = tokens
	return risen
}

// sum adds up the slices from first to last, both included.
func (r *ring) sum(first, last int64) float64 {
	n := int64(len(r.tokens))
	first, last = max(first, r.top-n+1, 0), min(last, r.top)
	if first > last {
		return 0
	}
	i, j := first%n, last%n
	total := 0.0
	if i <= j {
		for _, v := range r.tokens[i : j+1] {
			total += v
		}
		return total
	}
	for _, v := range r.tokens[i:] {
		total += v
	}
	for _, v := range r.tokens[:j+1] {
		total += v
	}
	return total
}

// window copies the slices of one window, without the empty ones at its end.
func (r *ring) window(g grid, window int64) []float64 {
	first := window * g.slices
	last := first + g.slices - 1
	for last >= first && r.get(last) == 0 {
		last--
	}
	if last < first {
		return nil
	}
	out := make([]float64, last-first+1)
	for i := range out {
		out[i] = r.get(first + int64(i))
	}
	return out
}

// sparse is a ring that keeps only the slices with tokens, for the many fronts
// of which most spend in few of them.
type sparse struct {
	top   int64
	cells []cell // by slice
}

type cell struct {
	slice  int64
	tokens float64
}

func (s *sparse) from(slice int64) int {
	return sort.Search(len(s.cells), func(i int) bool { return s.cells[i].slice >= slice })
}

// raise lifts a slice to at least tokens and returns by how much it rose.
func (s *sparse) raise(g grid, slice int64, tokens float64) float64 {
	s.top = max(s.top, slice)
	oldest := s.top - g.kept() + 1
	if slice < oldest || tokens <= 0 {
		return 0
	}
	i := s.from(slice)
	if i < len(s.cells) && s.cells[i].slice == slice {
		risen := max(0, tokens-s.cells[i].tokens)
		s.cells[i].tokens += risen
		return risen
	}
	s.cells = slices.Insert(s.cells, i, cell{slice, tokens})
	s.cells = slices.Delete(s.cells, 0, s.from(oldest))
	return tokens
}

// sum adds up the slices from first to last, both included.
func (s *sparse) sum(first, last int64) (total float64) {
	for i := s.from(first); i < len(s.cells) && s.cells[i].slice <= last; i++ {
		total += s.cells[i].tokens
	}
	return total
}

// window copies the slices of one window, without the empty ones at its end.
func (s *sparse) window(g grid, window int64) []float64 {
	first := window * g.slices
	some := s.cells[s.from(first):s.from(first+g.slices)]
	if len(some) == 0 {
		return nil
	}
	out := make([]float64, some[len(some)-1].slice-first+1)
	for _, c := range some {
		out[c.slice-first] = c.tokens
	}
	return out
}
