package emulator

import (
	"math"

	"stepwick/cmd/rig/history"
)

// prefixCache is a model server's cache of prompt prefixes, by prefix. The least
// recently used entry is evicted first.
type prefixCache map[string]cacheEntry

type cacheEntry struct {
	tokens   int
	lastUsed history.Instant
}

// evict removes entries until the rest fits, but never the last one.
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
