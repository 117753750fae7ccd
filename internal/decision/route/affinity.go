package route

import (
	"math"
	"time"
)

const (
	// The holders of a prefix are the servers that rank first for it and should have it
	// in their caches. A holder is overloaded if its relative load is above
	// maxLoadFactor times the pool's mean and above minOverloadFraction.
	maxLoadFactor       = 1.25
	minOverloadFraction = 2.0 / 3

	// A server that does not hold the prefix takes the request only if it is mostly
	// idle: below a relative load that rises from initialIdleLoad to maxIdleLoad while
	// the request waits up to idleLoadRiseTime.
	initialIdleLoad  = 0.3
	maxIdleLoad      = 0.8
	idleLoadRiseTime = time.Second
)

// rankedServer is a server with its rendezvous score for a key.
type rankedServer struct {
	server *server
	score  float64
}

// pickByAffinity implements Affinity. It tries up to maxGroupsTried groups, beginning with
// the one that the request's key selects.
func (s *selection) pickByAffinity(pool *pool) (chosen *server, avail availability) {
	for i := range min(len(pool.groups), maxGroupsTried) {
		group := pool.groups[(splitMix64(s.key)+uint64(i))&uint64(len(pool.groups)-1)]
		server, groupAvail := s.pickInGroup(pool, group)
		if server != nil {
			return server, available
		}
		avail = max(avail, groupAvail)
	}
	return nil, avail
}

// pickInGroup returns the first holder of the request's prefix that is not overloaded. If
// there is none, it returns the least loaded holder that can take the request, or else
// the least loaded server of the group if that is mostly idle or if the prefix has no
// holder. Otherwise the request waits for its holders: sending it elsewhere would spread
// the prefix over all servers and evict others from their caches, and the cache misses
// would keep the servers busy.
func (s *selection) pickInGroup(pool *pool, group []*server) (*server, availability) {
	if s.request.Prefix == 0 {
		return s.leastLoaded(group, recordAllPreferZone)
	}
	var holders [maxCandidates]*server
	chosen, count := s.pickHolder(pool, group, &holders)
	if chosen != nil {
		return chosen, available
	}
	if server, _ := s.leastLoaded(holders[:count], recordChosen); server != nil {
		return server, available
	}
	server, avail := s.leastLoaded(group, recordNone)
	if server == nil || count > 0 && server.relativeLoad() >= idleLoad(s.waited) {
		return nil, min(avail, availableToOthers)
	}
	s.recordCandidate(server, server.relativeLoad(), "")
	return server, available
}

// pickHolder returns the first holder of the prefix that is not overloaded. If there is
// none, it returns nil, stores the holders in holders and returns their number.
func (s *selection) pickHolder(pool *pool, group []*server, holders *[maxCandidates]*server) (chosen *server, count int) {
	var ranked [maxCandidates]rankedServer
	rankedCount := rankServers(s.key, group, &ranked)
	mean := pool.meanLoad()
	targetCount := s.table.popularity.holderCount(s.request.Prefix, pool.size)
	for i := 0; i < rankedCount && count < targetCount; i++ {
		server, score := ranked[i].server, ranked[i].score
		reason := s.exclusionReason(server)
		if reason == "" && float64(server.load.total()+1) > server.maxLoad(mean) {
			reason = Overloaded
		}
		s.recordCandidate(server, score, reason)
		switch reason {
		case "":
			return server, count
		case AlreadyTried, NoShare, Ejected, ProbeInFlight:
			// The server next in rank holds the prefix instead.
			continue
		}
		holders[count] = server
		count++
	}
	return nil, count
}

// rankServers stores the servers with the highest scores for a key in ranked, in
// descending order, and returns their number.
func rankServers(key uint64, servers []*server, ranked *[maxCandidates]rankedServer) int {
	count := 0
	for _, server := range servers {
		score := rendezvousScore(key, server)
		position := count
		for position > 0 && ranked[position-1].score < score {
			position--
		}
		if position == maxCandidates {
			continue
		}
		count = min(count+1, maxCandidates)
		copy(ranked[position+1:count], ranked[position:count-1])
		ranked[position] = rankedServer{server, score}
	}
	return count
}

// rendezvousScore returns a server's score for a key by weighted rendezvous hashing. The
// weights are the full caps, which slow start does not change, so that keys do not move
// during slow start.
func rendezvousScore(key uint64, s *server) float64 {
	uniform := (float64(splitMix64(key^s.hash)>>11) + 0.5) / (1 << 53)
	return -float64(s.capacity.full) / math.Log(uniform)
}

// maxLoad returns the load above which a holder is overloaded, given the pool's mean
// load. The bound is that of consistent hashing with bounded loads (Mirrokni et al.,
// 2018).
func (s *server) maxLoad(mean float64) float64 {
	limit := float64(s.capacity.cap)
	return max(limit*minOverloadFraction, math.Ceil(maxLoadFactor*mean*limit)+1)
}

// idleLoad returns the relative load below which a server that does not hold the prefix
// takes a request that has waited for the given time.
func idleLoad(waited time.Duration) float64 {
	return initialIdleLoad + (maxIdleLoad-initialIdleLoad)*min(1, float64(waited)/float64(idleLoadRiseTime))
}
