package balance

import "time"

const (
	// prefixLifetime is how long after its last use a prefix is assumed to be in the
	// cache of a server that this node sent it to.
	prefixLifetime = 8 * time.Second
	// maxPrefixes limits the prefixes that are remembered, and maxLocationsPerPrefix
	// the servers of each.
	maxPrefixes           = 8192
	maxLocationsPerPrefix = 4
)

// prefixCaches models the servers' prefix caches (KV caches) by the prefixes that
// this node has sent them.
type prefixCaches struct {
	locations map[uint64][]prefixLocation // by digest, the last used first
}

type prefixLocation struct {
	server string
	used   time.Time
}

func newPrefixCaches() prefixCaches {
	return prefixCaches{locations: map[uint64][]prefixLocation{}}
}

// holds reports whether a server is assumed to have a prefix in its cache.
func (c *prefixCaches) holds(prefix uint64, server string, now time.Time) bool {
	for _, location := range c.locations[prefix] {
		if location.server == server {
			return now.Sub(location.used) < prefixLifetime
		}
	}
	return false
}

// record records that a prefix was sent to a server; zero is no prefix.
func (c *prefixCaches) record(prefix uint64, server string, now time.Time) {
	if prefix == 0 {
		return
	}
	if len(c.locations) >= maxPrefixes {
		c.evict(now)
	}
	locations := make([]prefixLocation, 0, maxLocationsPerPrefix)
	locations = append(locations, prefixLocation{server: server, used: now})
	for _, location := range c.locations[prefix] {
		if location.server != server && now.Sub(location.used) < prefixLifetime && len(locations) < maxLocationsPerPrefix {
			locations = append(locations, location)
		}
	}
	c.locations[prefix] = locations
}

// evict removes expired prefixes, or all where that is not enough.
func (c *prefixCaches) evict(now time.Time) {
	for prefix, locations := range c.locations {
		if now.Sub(locations[0].used) >= prefixLifetime {
			delete(c.locations, prefix)
		}
	}
	if len(c.locations) >= maxPrefixes {
		clear(c.locations)
	}
}

// uncachedTokens returns how many tokens of a request's shared prefix a server is
// expected to compute: none at the preferred server, nor at those that this node
// sent the prefix to recently.
func (t *Table) uncachedTokens(srv *server, request *Request, preferred *server, now time.Time) float64 {
	if request.Affinity == 0 || srv == preferred || t.prefixes.holds(request.Affinity, srv.name, now) {
		return 0
	}
	return request.SharedTokens
}

// preferredServer returns the server on which all nodes agree for a shared prefix:
// the highest by rendezvous hashing among those that may serve the request, whether
// it has capacity or not; nil without a prefix.
func (t *Table) preferredServer(request *Request, now time.Time) *server {
	if request.Affinity == 0 || t.config.Disabled[Affinity] {
		return nil
	}
	var preferred *server
	highest := uint64(0)
	for _, srv := range t.pools[request.Service] {
		if !srv.mayServe(request) || t.misplaced(srv, request, now) {
			continue
		}
		if weight := mix(srv.hash ^ request.Affinity); preferred == nil || weight > highest {
			preferred = srv
			highest = weight
		}
	}
	return preferred
}
