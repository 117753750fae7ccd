package route

import "math"

const (
	popularityPeriod   = 512 // requests
	minSampledRequests = popularityPeriod / 4

	// minPrefixHolders is the number of servers that hold a rare prefix.
	minPrefixHolders = 2

	// holderShareFactor is the ratio of the share of servers that hold a prefix to the
	// prefix's share of the requests.
	holderShareFactor = 1.5
)

// popularity counts the requests by prefix over the current and the previous period, in
// bounded memory.
type popularity struct {
	currentCounts, previousCounts     map[uint64]int
	currentRequests, previousRequests int
}

func newPopularity() *popularity {
	return &popularity{
		currentCounts:  make(map[uint64]int, popularityPeriod),
		previousCounts: make(map[uint64]int, popularityPeriod),
	}
}

func (p *popularity) record(prefix uint64) {
	if p.currentRequests == popularityPeriod {
		p.currentCounts, p.previousCounts = p.previousCounts, p.currentCounts
		p.previousRequests = p.currentRequests
		p.currentRequests = 0
		clear(p.currentCounts)
	}
	p.currentCounts[prefix]++
	p.currentRequests++
}

// holderCount returns the number of servers of a pool that should hold a prefix in their
// caches.
func (p *popularity) holderCount(prefix uint64, poolSize int) int {
	count := p.currentCounts[prefix] + p.previousCounts[prefix]
	requests := max(minSampledRequests, p.currentRequests+p.previousRequests)
	share := float64(count) / float64(requests)
	target := int(math.Ceil(share * holderShareFactor * float64(poolSize)))
	return min(max(minPrefixHolders, target), maxCandidates)
}
