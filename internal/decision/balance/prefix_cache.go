package balance

import "time"

const (
	// prefixLifetime is how long after this node last sent a prefix to a server the
	// prefix is assumed to be in the server's cache.
	prefixLifetime = 8 * time.Second
	// maxPrefixes limits the number of tracked prefixes, and maxLocationsPerPrefix the
	// number of servers tracked for each.
	maxPrefixes           = 8192
	maxLocationsPerPrefix = 4
)

// prefixCaches models the servers' prefix caches (KV caches) by the prefixes that
// this node has sent them.
type prefixCaches struct {
	locations map[uint64][]prefixLocation // by prefix digest, most recently used first
}

type prefixLocation struct {
	server   string
	lastUsed time.Time
}

func newPrefixCaches() prefixCaches {
	return prefixCaches{locations: map[uint64][]prefixLocation{}}
}

// contains reports whether a server is assumed to have a prefix in its cache.
func (c *prefixCaches) contains(prefix uint64, server string, now time.Time) bool {
	for _, location := range c.locations[prefix] {
		if location.server == server {
			return now.Sub(location.lastUsed) < prefixLifetime
		}
	}
	return false
}

// record records that a prefix was sent to a server. A zero prefix is ignored.
func (c *prefixCaches) record(prefix uint64, server string, now time.Time) {
	if prefix == 0 {
		return
	}
	if len(c.locations) >= maxPrefixes {
		c.evict(now)
	}
	locations := make([]prefixLocation, 0, maxLocationsPerPrefix)
	locations = append(locations, prefixLocation{server: server, lastUsed: now})
	for _, location := range c.locations[prefix] {
		if location.server != server && now.Sub(location.lastUsed) < prefixLifetime && len(locations) < maxLocationsPerPrefix {
			locations = append(locations, location)
		}
	}
	c.locations[prefix] = locations
}

// evict removes expired prefixes, and then all prefixes if the limit is still reached.
func (c *prefixCaches) evict(now time.Time) {
	for prefix, locations := range c.locations {
		if now.Sub(locations[0].lastUsed) >= prefixLifetime {
			delete(c.locations, prefix)
		}
	}
	if len(c.locations) >= maxPrefixes {
		clear(c.locations)
	}
}

// uncachedTokens returns the number of tokens of a request's shared prefix that a server
// is expected to prefill: zero for the preferred server and for servers to which this
// node sent the prefix recently.
func (t *Table) uncachedTokens(srv *server, request *Request, preferred *server, now time.Time) float64 {
	if request.PrefixDigest == 0 || srv == preferred || t.prefixCaches.contains(request.PrefixDigest, srv.name, now) {
		return 0
	}
	return request.SharedTokens
}

// preferredServer returns the server that all nodes prefer for the request's shared
// prefix: the highest by rendezvous hashing among the eligible servers that are not
// misplaced for it, regardless of capacity. It returns nil if the request has no shared
// prefix, no server qualifies or Affinity is disabled.
func (t *Table) preferredServer(request *Request, now time.Time) *server {
	if request.PrefixDigest == 0 || t.config.Disabled[Affinity] {
		return nil
	}
	var preferred *server
	highestWeight := uint64(0)
	for _, srv := range t.pools[request.Service] {
		if !srv.isEligible(request) || t.isMisplaced(srv, request, now) {
			continue
		}
		if weight := splitMix64Finalizer(srv.hash ^ request.PrefixDigest); preferred == nil || weight > highestWeight {
			preferred = srv
			highestWeight = weight
		}
	}
	return preferred
}
