package route

import "math"

const popularSpan = 512

// popularity counts prefixes over the last one to two spans of requests, in
// bounded memory.
type popularity struct {
	recent, before map[uint64]int
	n, nBefore     int
}

func newPopularity() *popularity {
	return &popularity{recent: make(map[uint64]int, popularSpan), before: make(map[uint64]int, popularSpan)}
}

func (p *popularity) add(prefix uint64) {
	if p.n == popularSpan {
		p.recent, p.before = p.before, p.recent
		p.n, p.nBefore = 0, p.n
		clear(p.recent)
	}
	p.recent[prefix]++
	p.n++
}

// holders returns how many servers of a pool hold a prefix.
func (p *popularity) holders(prefix uint64, size int) int {
	share := float64(p.recent[prefix]+p.before[prefix]) / float64(max(popularSpan/4, p.n+p.nBefore))
	return min(max(holders, int(math.Ceil(share*holderGain*float64(size)))), topServers)
}
