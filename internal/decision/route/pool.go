package route

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	groupSize           = 32 // minimum mean number of servers in a group
	maxGroupsTried      = 4
	maxCandidates       = 8    // maximum recorded candidates of a choice and holders of a prefix
	zoneAdvantage       = 0.25 // subtracted from the relative load of a server in the front's zone
	kvNearlyFull        = 0.95 // fraction of the KV cache in use
	kvNearlyFullPenalty = 0.1  // added to the relative load of a server whose KV cache is nearly full
)

type poolKey struct{ service, region string }

// pool holds the servers of one service and region that are not excluded. Up to 64
// servers form one group. More are divided by the hash of their names into a power of
// two of groups, so that a choice considers a few dozen servers in a region of any size.
type pool struct {
	groups [][]*server
	size   int
	cap    int   // sum over the servers
	load   int   // sum over the servers
	cursor int   // index of the next server for RoundRobin
	rate   *rate // answers to this front
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
		group := splitMix64(server.hash) & uint64(groups-1)
		created.groups[group] = append(created.groups[group], server)
		created.cap += server.capacity.cap
		created.load += server.load.total()
	}
	return created
}

// server returns the server at an index that counts through all groups, or nil if the
// index is out of range.
func (p *pool) server(index int) *server {
	for _, group := range p.groups {
		if index < len(group) {
			return group[index]
		}
		index -= len(group)
	}
	return nil
}

// meanLoad returns the pool's load as a fraction of its cap, or 0 without a cap.
func (p *pool) meanLoad() float64 {
	if p.cap <= 0 {
		return 0
	}
	return float64(p.load) / float64(p.cap)
}

// relativeLoad returns what the load would be with one more request, as a fraction of the
// cap.
func (s *server) relativeLoad() float64 {
	return float64(s.load.total()+1) / float64(max(1, s.capacity.cap))
}

// pick returns a server of a pool for the request. If there is none, it returns nil and
// the pool's availability.
func (s *selection) pick(pool *pool) (*server, availability) {
	switch s.table.config.Strategy {
	case RoundRobin:
		return s.pickRoundRobin(pool)
	case LeastLoaded:
		return s.pickLeastLoaded(pool)
	}
	return s.pickByAffinity(pool)
}

// pickRoundRobin implements RoundRobin.
func (s *selection) pickRoundRobin(pool *pool) (*server, availability) {
	avail := noServer
	for range pool.size {
		index := pool.cursor % pool.size
		pool.cursor = index + 1
		server := pool.server(index)
		reason := s.exclusionReason(server)
		s.recordCandidate(server, 0, reason)
		if reason == "" {
			return server, available
		}
		if reason != AlreadyTried {
			avail = noCapacity
		}
	}
	return nil, avail
}

// pickLeastLoaded implements LeastLoaded.
func (s *selection) pickLeastLoaded(pool *pool) (chosen *server, avail availability) {
	for _, group := range pool.groups {
		server, groupAvail := s.leastLoaded(group, recordChosen)
		avail = max(avail, groupAvail)
		if server != nil && (chosen == nil || server.relativeLoad() < chosen.relativeLoad()) {
			chosen = server
		}
	}
	return chosen, avail
}

// leastLoadedMode determines which servers leastLoaded records as candidates and whether
// it prefers those in the front's zone.
type leastLoadedMode uint8

const (
	recordNone leastLoadedMode = iota
	recordChosen
	recordAllPreferZone
)

// leastLoaded returns the server with the lowest cost among those that can take the
// request. Ties are broken by the hash of the request's key and the server.
func (s *selection) leastLoaded(servers []*server, mode leastLoadedMode) (chosen *server, avail availability) {
	lowest, highestHash := math.Inf(1), uint64(0)
	for _, server := range servers {
		reason := s.exclusionReason(server)
		if reason == AlreadyTried {
			continue
		}
		if reason != "" {
			avail = max(avail, noCapacity)
			if mode == recordAllPreferZone {
				s.recordCandidate(server, server.relativeLoad(), reason)
			}
			continue
		}
		cost := s.cost(server, mode)
		hash := splitMix64(s.key ^ server.hash)
		if cost < lowest || cost == lowest && hash > highestHash {
			chosen = server
			lowest = cost
			highestHash = hash
		}
	}
	if chosen == nil {
		return nil, avail
	}
	if mode != recordNone {
		s.recordCandidate(chosen, lowest, "")
	}
	return chosen, available
}

// cost returns the relative load of a server, adjusted for its KV cache and zone.
func (s *selection) cost(server *server, mode leastLoadedMode) float64 {
	cost := server.relativeLoad()
	if server.status.KvUsed > kvNearlyFull {
		cost += kvNearlyFullPenalty
	}
	if mode == recordAllPreferZone && server.status.Zone == s.table.config.Zone {
		cost -= zoneAdvantage
	}
	return cost
}

// exclusionReason returns the reason why a server cannot take the request now, or "" if it
// can.
func (s *selection) exclusionReason(server *server) string {
	if len(s.request.TriedServers) > 0 && slices.Contains(s.request.TriedServers, server.name) {
		return AlreadyTried
	}
	return s.table.unavailableReason(server, s.now)
}

// recordCandidate adds a candidate to the choice. Beyond maxCandidates, candidates are
// dropped, except that the chosen server replaces the last one.
func (s *selection) recordCandidate(server *server, score float64, reason string) {
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
