package route

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"stepwick/internal/kernel"
)

const (
	groupSize  = 32
	groupsSeen = 4
	topServers = 8
	overMean   = 1.25
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

// pick returns the server for a key within one pool, or nil; full tells whether
// some server would do once it has room.
func (t *Table) pick(p *pool, req *Request, key uint64, now kernel.Time, c *Choice) (chosen *server, full bool) {
	switch t.cfg.Strategy {
	case RoundRobin:
		return t.pickInTurn(p, req, now, c)
	case LeastLoaded:
		for _, group := range p.groups {
			s, fullHere := t.pickLeast(group, req, key, false, now, c)
			full = full || fullHere
			if s != nil && (chosen == nil || relative(s) < relative(chosen)) {
				chosen = s
			}
		}
		return chosen, full
	}
	for i := range min(len(p.groups), groupsSeen) {
		group := p.groups[(mix(key)+uint64(i))&uint64(len(p.groups)-1)]
		s, fullHere := t.pickRanked(p, group, req, key, now, c)
		if s != nil {
			return s, true
		}
		full = full || fullHere
	}
	return nil, full
}

func (t *Table) pickRanked(p *pool, group []*server, req *Request, key uint64, now kernel.Time, c *Choice) (*server, bool) {
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
	for i := range n {
		s := top[i].s
		why := t.unfit(s, req, now)
		if why == "" && float64(s.own+s.others+1) > bound(s, mean) {
			why = Loaded
		}
		c.consider(s, top[i].score, why)
		if why == "" {
			return s, true
		}
	}
	return t.pickLeast(group, req, key, false, now, c)
}

func bound(s *server, mean float64) float64 {
	return max(float64(s.cap)/2, math.Ceil(overMean*mean*float64(s.cap))+1)
}

func (t *Table) pickLeast(group []*server, req *Request, key uint64, local bool, now kernel.Time, c *Choice) (chosen *server, full bool) {
	best, tie := math.Inf(1), uint64(0)
	for _, s := range group {
		switch why := t.unfit(s, req, now); why {
		case "":
		case Tried:
			continue
		default:
			full = true
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
	if chosen != nil {
		c.consider(chosen, best, "")
	}
	return chosen, full || chosen != nil
}

func (t *Table) pickInTurn(p *pool, req *Request, now kernel.Time, c *Choice) (*server, bool) {
	full := false
	for range p.size {
		at := p.cursor % p.size
		p.cursor = at + 1
		s := p.at(at)
		why := t.unfit(s, req, now)
		c.consider(s, 0, why)
		if why == "" {
			return s, true
		}
		full = full || why != Tried
	}
	return nil, full
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

func (t *Table) unfit(s *server, req *Request, now kernel.Time) string {
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
