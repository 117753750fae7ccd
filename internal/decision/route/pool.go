package route

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	groupSize       = 32 // least mean number of servers in a group
	maxGroupsTried  = 4
	maxCandidates   = 8
	zoneAdvantage   = 0.25 // in relative load, of a server in the front's zone
	kvNearlyFull    = 0.95 // fraction of the KV cache in use
	kvNearlyFullAdd = 0.1  // to the relative load of a server with such a cache
)

type poolKey struct{ service, region string }

// pool holds the servers of one service and region that get requests. Up to 64 are
// one group; more are divided by the hash of their names over a power of two of
// groups, so that a choice considers a few dozen whatever the region's size.
type pool struct {
	groups [][]*server
	size   int
	cap    int // sum over the servers
	load   int // sum over the servers
	cursor int // of RoundRobin
	rate   *rate
}

func newPool(servers []*server) *pool {
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	groups := 1
	if len(servers) > 2*groupSize {
		groups = 1 << (bits.Len(uint(len(servers)/groupSize)) - 1)
	}
	created := &pool{
		groups: make([][]*server, groups),
		size:   len(servers),
		rate:   &rate{},
	}
	for _, server := range servers {
		group := mix(server.hash) & uint64(groups-1)
		created.groups[group] = append(created.groups[group], server)
		created.cap += server.capacity.cap
		created.load += server.load.total()
	}
	return created
}

func (p *pool) server(index int) *server {
	for _, group := range p.groups {
		if index < len(group) {
			return group[index]
		}
		index -= len(group)
	}
	return nil
}

// meanLoad returns the load in relation to the cap.
func (p *pool) meanLoad() float64 {
	if p.cap <= 0 {
		return 0
	}
	return float64(p.load) / float64(p.cap)
}

// relativeLoad returns the load with one more request in relation to the cap.
func (s *server) relativeLoad() float64 {
	return float64(s.load.total()+1) / float64(max(1, s.capacity.cap))
}

// pick returns a server of a pool, or nil and what the pool has instead.
func (s *selection) pick(pool *pool) (*server, availability) {
	switch s.table.config.Strategy {
	case RoundRobin:
		return s.pickNext(pool)
	case LeastLoaded:
		return s.pickLeastLoaded(pool)
	}
	return s.pickByAffinity(pool)
}

// pickNext implements RoundRobin.
func (s *selection) pickNext(pool *pool) (*server, availability) {
	found := noServer
	for range pool.size {
		index := pool.cursor % pool.size
		pool.cursor = index + 1
		server := pool.server(index)
		reason := s.exclusion(server)
		s.consider(server, 0, reason)
		if reason == "" {
			return server, available
		}
		if reason != AlreadyTried {
			found = noCapacity
		}
	}
	return nil, found
}

// pickLeastLoaded implements LeastLoaded.
func (s *selection) pickLeastLoaded(pool *pool) (chosen *server, found availability) {
	for _, group := range pool.groups {
		server, foundHere := s.leastLoaded(group, considerChosen)
		found = max(found, foundHere)
		if server != nil && (chosen == nil || server.relativeLoad() < chosen.relativeLoad()) {
			chosen = server
		}
	}
	return chosen, found
}

// leastLoadedMode is which servers leastLoaded records as candidates, and whether it
// prefers those in the front's zone.
type leastLoadedMode uint8

const (
	considerNone leastLoadedMode = iota
	considerChosen
	considerAllPreferZone
)

// leastLoaded returns the server with the least relative load of those that can take
// the request. Of equal ones the request's key chooses.
func (s *selection) leastLoaded(servers []*server, mode leastLoadedMode) (chosen *server, found availability) {
	lowest, highestHash := math.Inf(1), uint64(0)
	for _, server := range servers {
		reason := s.exclusion(server)
		if reason == AlreadyTried {
			continue
		}
		if reason != "" {
			found = max(found, noCapacity)
			if mode == considerAllPreferZone {
				s.consider(server, server.relativeLoad(), reason)
			}
			continue
		}
		cost := s.cost(server, mode)
		hash := mix(s.key ^ server.hash)
		if cost < lowest || cost == lowest && hash > highestHash {
			chosen = server
			lowest = cost
			highestHash = hash
		}
	}
	if chosen == nil {
		return nil, found
	}
	if mode != considerNone {
		s.consider(chosen, lowest, "")
	}
	return chosen, available
}

func (s *selection) cost(server *server, mode leastLoadedMode) float64 {
	cost := server.relativeLoad()
	if server.status.KvUsed > kvNearlyFull {
		cost += kvNearlyFullAdd
	}
	if mode == considerAllPreferZone && server.status.Zone == s.table.config.Zone {
		cost -= zoneAdvantage
	}
	return cost
}

// exclusion returns why a server can't take the request now, or "".
func (s *selection) exclusion(server *server) string {
	if len(s.request.Tried) > 0 && slices.Contains(s.request.Tried, server.name) {
		return AlreadyTried
	}
	return s.table.unavailableFor(server, s.now)
}

// consider records a candidate. The chosen one replaces the last of too many.
func (s *selection) consider(server *server, score float64, reason string) {
	candidate := Candidate{server.name, score, reason}
	candidates := s.choice.Candidates
	if candidates == nil {
		candidates = make([]Candidate, 0, maxCandidates)
	}
	switch {
	case len(candidates) < maxCandidates:
		candidates = append(candidates, candidate)
	case reason == "":
		candidates[maxCandidates-1] = candidate
	}
	s.choice.Candidates = candidates
}
