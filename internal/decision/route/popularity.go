package route

import "math"

const (
	popularityPeriod   = 512 // requests
	minSampledRequests = popularityPeriod / 4

	// minPrefixHolders is the number of servers that hold a rare prefix, and
	// holdersPerShare the factor from a prefix's share of the requests to the share
	// of the servers that hold it.
	minPrefixHolders = 2
	holdersPerShare  = 1.5
)

// popularity counts prefixes over the last one to two periods of requests, in bounded
// memory.
type popularity struct {
	current, previous                 map[uint64]int
	currentRequests, previousRequests int
}

func newPopularity() *popularity {
	return &popularity{
		current:  make(map[uint64]int, popularityPeriod),
		previous: make(map[uint64]int, popularityPeriod),
	}
}

func (p *popularity) add(prefix uint64) {
	if p.currentRequests == popularityPeriod {
		p.current, p.previous = p.previous, p.current
		p.previousRequests = p.currentRequests
		p.currentRequests = 0
		clear(p.current)
	}
	p.current[prefix]++
	p.currentRequests++
}

// holders returns how many of a pool's servers hold a prefix in their caches.
func (p *popularity) holders(prefix uint64, poolSize int) int {
	count := p.current[prefix] + p.previous[prefix]
	requests := max(minSampledRequests, p.currentRequests+p.previousRequests)
	share := float64(count) / float64(requests)
	wanted := int(math.Ceil(share * holdersPerShare * float64(poolSize)))
	return min(max(minPrefixHolders, wanted), maxCandidates)
}
