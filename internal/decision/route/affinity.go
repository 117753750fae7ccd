package route

import (
	"math"
	"time"
)

const (
	// A prefix's holder is overloaded with more than maxOverMean times the pool's mean
	// load, unless less than alwaysFreeLoad of its cap is in use.
	maxOverMean    = 1.25
	alwaysFreeLoad = 2.0 / 3

	// A server that doesn't hold the prefix is mostly idle below a relative load that
	// rises with the time that the request has waited.
	idleLoadAtOnce = 0.3
	idleLoadMax    = 0.8
	idleLoadRise   = time.Second
)

// rankedServer is a server with its score for a prefix.
type rankedServer struct {
	server *server
	score  float64
}

// pickByAffinity implements Affinity: it ranks the servers of some groups for the
// request's key.
func (s *selection) pickByAffinity(pool *pool) (chosen *server, found availability) {
	for i := range min(len(pool.groups), maxGroupsTried) {
		group := pool.groups[(mix(s.key)+uint64(i))&uint64(len(pool.groups)-1)]
		server, foundHere := s.pickInGroup(pool, group)
		if server != nil {
			return server, available
		}
		found = max(found, foundHere)
	}
	return nil, found
}

// pickInGroup returns the first holder of the request's prefix that isn't overloaded,
// or else the least loaded of the holders, or else any server that is mostly idle. When
// all are busy the request waits for its holders: a prefix spread over all servers
// would evict others from their caches, and the misses would keep the servers busy.
func (s *selection) pickInGroup(pool *pool, group []*server) (*server, availability) {
	if s.request.Prefix == 0 {
		return s.leastLoaded(group, considerAllPreferZone)
	}
	var holders [maxCandidates]*server
	chosen, count := s.pickHolder(pool, group, &holders)
	if chosen != nil {
		return chosen, available
	}
	if server, _ := s.leastLoaded(holders[:count], considerChosen); server != nil {
		return server, available
	}
	server, found := s.leastLoaded(group, considerNone)
	if server == nil || count > 0 && server.relativeLoad() >= idleLoad(s.waited) {
		return nil, min(found, availableToOthers)
	}
	s.consider(server, server.relativeLoad(), "")
	return server, available
}

// pickHolder returns the first holder of the prefix that isn't overloaded. Otherwise
// it returns nil and fills in the holders.
func (s *selection) pickHolder(pool *pool, group []*server, holders *[maxCandidates]*server) (chosen *server, count int) {
	var ranked [maxCandidates]rankedServer
	rankedCount := rankServers(s.key, group, &ranked)
	mean := pool.meanLoad()
	wanted := s.table.popularity.holders(s.request.Prefix, pool.size)
	for i := 0; i < rankedCount && count < wanted; i++ {
		server, score := ranked[i].server, ranked[i].score
		reason := s.exclusion(server)
		if reason == "" && float64(server.load.total()+1) > server.maxLoad(mean) {
			reason = Overloaded
		}
		s.consider(server, score, reason)
		switch reason {
		case "":
			return server, count
		case AlreadyTried, NoShare, Ejected, UnderProbe:
			// The next server takes its place as a holder.
			continue
		}
		holders[count] = server
		count++
	}
	return nil, count
}

// rankServers fills in the servers with the highest scores for a key, in descending
// order, and returns their number.
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

// rendezvousScore is the score of weighted rendezvous hashing: servers get keys in
// proportion to their full caps, so that slow start moves no key.
func rendezvousScore(key uint64, s *server) float64 {
	uniform := (float64(mix(key^s.hash)>>11) + 0.5) / (1 << 53)
	return -float64(s.capacity.full) / math.Log(uniform)
}

// maxLoad returns the load above which a holder is overloaded, given the pool's mean.
// This is consistent hashing with bounded loads (Mirrokni et al., 2018).
func (s *server) maxLoad(mean float64) float64 {
	limit := float64(s.capacity.cap)
	return max(limit*alwaysFreeLoad, math.Ceil(maxOverMean*mean*limit)+1)
}

func idleLoad(waited time.Duration) float64 {
	return idleLoadAtOnce + (idleLoadMax-idleLoadAtOnce)*min(1, float64(waited)/float64(idleLoadRise))
}
