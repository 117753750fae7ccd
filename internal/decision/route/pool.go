package route

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	groupSize  = 32
	groupsSeen = 4
	topServers = 8
	holders    = 2
	holderGain = 1.5
	overMean   = 1.25
	freeRein   = 2.0 / 3
	idleBelow  = 0.3
	idleMost   = 0.8
	idleWait   = time.Second
	zoneWorth  = 0.25
	kvFull     = 0.95
	kvWorth    = 0.1
)

// pool holds the servers of one service and region that may get requests. Up
// to 64 are one group; beyond that they are dealt over a power of two of groups
// by the hash of their names, so that a choice looks at a few dozen whatever
// the region's size.
type pool struct {
	groups [][]*server
	size   int
	cap    int
	load   int
	cursor int
	rate   *rate
}

func newPool(all []*server) *pool {
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	count := 1
	if len(all) > 2*groupSize {
		count = 1 << (bits.Len(uint(len(all)/groupSize)) - 1)
	}
	p := &pool{groups: make([][]*server, count), size: len(all), rate: &rate{}}
	for _, s := range all {
		at := mix(s.seed) & uint64(count-1)
		p.groups[at] = append(p.groups[at], s)
		p.cap += s.cap
		p.load += s.own + s.others
	}
	return p
}

type ranked struct {
	s     *server
	score float64
}

// fit tells what a pool has for a request: no server at all that it may go to,
// servers without room, room at servers that it should not go to, or room.
type fit int

const (
	none fit = iota
	noRoom
	elsewhere
	fits
)

// pick returns the server for a key within one pool, or nil.
func (t *Table) pick(p *pool, req *Request, key uint64, waited time.Duration, now time.Time, c *Choice) (chosen *server, found fit) {
	switch t.cfg.Strategy {
	case RoundRobin:
		return t.pickInTurn(p, req, now, c)
	case LeastLoaded:
		for _, group := range p.groups {
			s, here := t.pickLeast(group, req, key, false, now, c)
			found = max(found, here)
			if s != nil && (chosen == nil || relative(s) < relative(chosen)) {
				chosen = s
			}
		}
		return chosen, found
	}
	for i := range min(len(p.groups), groupsSeen) {
		group := p.groups[(mix(key)+uint64(i))&uint64(len(p.groups)-1)]
		s, here := t.pickRanked(p, group, req, key, waited, now, c)
		if s != nil {
			return s, fits
		}
		found = max(found, here)
	}
	return nil, found
}

// pickRanked goes by rank for the prefix: to the first server that is not
// loaded beyond the others, else to the least loaded of the first holders that
// this front may use, else to any server that is mostly idle. In a crowd the request rather waits for its
// holders: a prefix spread over all servers would push the others' out of their
// caches, and the misses would keep the crowd going.
func (t *Table) pickRanked(p *pool, group []*server, req *Request, key uint64, waited time.Duration, now time.Time, c *Choice) (*server, fit) {
	if req.Prefix == 0 {
		return t.pickLeast(group, req, key, true, now, c)
	}
	var top [topServers]ranked
	n := 0
	for _, s := range group {
		score := rendezvous(key, s)
		at := n
		for at > 0 && top[at-1].score < score {
			at--
		}
		if at == topServers {
			continue
		}
		n = min(n+1, topServers)
		copy(top[at+1:n], top[at:n-1])
		top[at] = ranked{s, score}
	}
	mean := 0.0
	if p.cap > 0 {
		mean = float64(p.load) / float64(p.cap)
	}
	var first [topServers]*server
	held, most := 0, t.popular.holders(req.Prefix, p.size)
	for i := 0; i < n && held < most; i++ {
		s := top[i].s
		why := t.unfit(s, req, now)
		switch why {
		case Tried, NoPart, Ejected, Probing:
			c.consider(s, top[i].score, why)
			continue
		case "":
			if float64(s.own+s.others+1) > bound(s, mean) {
				why = Loaded
			}
		}
		c.consider(s, top[i].score, why)
		if why == "" {
			return s, fits
		}
		first[held] = s
		held++
	}
	if s, _ := t.pickLeast(first[:held], req, key, false, now, c); s != nil {
		return s, fits
	}
	s, found := t.pickLeast(group, req, key, false, now, nil)
	if s == nil || held > 0 && relative(s) >= idle(waited) {
		return nil, min(found, elsewhere)
	}
	c.consider(s, relative(s), "")
	return s, fits
}

func idle(waited time.Duration) float64 {
	return idleBelow + (idleMost-idleBelow)*min(1, float64(waited)/float64(idleWait))
}

func bound(s *server, mean float64) float64 {
	return max(float64(s.cap)*freeRein, math.Ceil(overMean*mean*float64(s.cap))+1)
}

func (t *Table) pickLeast(group []*server, req *Request, key uint64, local bool, now time.Time, c *Choice) (chosen *server, found fit) {
	best, tie := math.Inf(1), uint64(0)
	for _, s := range group {
		switch why := t.unfit(s, req, now); why {
		case "":
		case Tried:
			continue
		default:
			found = max(found, noRoom)
			if local {
				c.consider(s, relative(s), why)
			}
			continue
		}
		cost := relative(s)
		if s.status.KvUsed > kvFull {
			cost += kvWorth
		}
		if local && s.status.Zone == t.cfg.Zone {
			cost -= zoneWorth
		}
		hash := mix(key ^ s.seed)
		if cost < best || cost == best && hash > tie {
			chosen, best, tie = s, cost, hash
		}
	}
	if chosen == nil {
		return nil, found
	}
	if c != nil {
		c.consider(chosen, best, "")
	}
	return chosen, fits
}

func (t *Table) pickInTurn(p *pool, req *Request, now time.Time, c *Choice) (*server, fit) {
	found := none
	for range p.size {
		at := p.cursor % p.size
		p.cursor = at + 1
		s := p.at(at)
		why := t.unfit(s, req, now)
		c.consider(s, 0, why)
		if why == "" {
			return s, fits
		}
		if why != Tried {
			found = noRoom
		}
	}
	return nil, found
}

func (p *pool) at(i int) *server {
	for _, group := range p.groups {
		if i < len(group) {
			return group[i]
		}
		i -= len(group)
	}
	return nil
}

func (t *Table) unfit(s *server, req *Request, now time.Time) string {
	if len(req.Tried) > 0 && slices.Contains(req.Tried, s.name) {
		return Tried
	}
	return t.closed(s, now)
}

func relative(s *server) float64 {
	return float64(s.own+s.others+1) / float64(max(1, s.cap))
}

// rendezvous is the weighted highest-random-weight score: servers get keys in
// proportion to their full caps, so a ramp moves no key.
func rendezvous(key uint64, s *server) float64 {
	u := (float64(mix(key^s.seed)>>11) + 0.5) / (1 << 53)
	return -float64(s.full) / math.Log(u)
}

func (c *Choice) consider(s *server, score float64, why string) {
	if c.Candidates == nil {
		c.Candidates = make([]Candidate, 0, topServers)
	}
	if len(c.Candidates) < topServers {
		c.Candidates = append(c.Candidates, Candidate{s.name, score, why})
		return
	}
	if why == "" {
		c.Candidates[topServers-1] = Candidate{s.name, score, why}
	}
}
