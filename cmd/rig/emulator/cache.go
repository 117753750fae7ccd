package emulator

import (
	"math"

	"stepwick/cmd/rig/history"
)

// prefixCache is a model server's LRU cache of prompt prefixes, by prefix.
type prefixCache map[string]cacheEntry

type cacheEntry struct {
	tokens   int
	lastUsed history.Instant
}

// evict removes the least recently used entries until the rest fits into the capacity,
// in tokens. It keeps at least one entry.
func (c prefixCache) evict(capacity int) {
	used := c.tokens()
	for used > capacity && len(c) > 1 {
		oldest := c.leastRecentlyUsed()
		used -= c[oldest].tokens
		delete(c, oldest)
	}
}

func (c prefixCache) leastRecentlyUsed() string {
	oldest := ""
	oldestUse := history.Instant(math.MaxInt64)
	for prefix, entry := range c {
		if entry.lastUsed < oldestUse {
			oldest = prefix
			oldestUse = entry.lastUsed
		}
	}
	return oldest
}

func (c prefixCache) tokens() int {
	sum := 0
	for _, entry := range c {
		sum += entry.tokens
	}
	return sum
}
