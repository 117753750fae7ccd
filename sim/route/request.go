package route

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/route"
)

func (s *sim) arrive(n int) {
	if s.now >= s.cfg.Span {
		return
	}
	rate := s.cfg.Rate
	if s.cfg.Crowd > 0 && s.now >= s.cfg.CrowdFrom && s.now < s.cfg.CrowdTo {
		rate *= s.cfg.Crowd
	}
	s.at(s.now+seconds(s.rng.ExpFloat64()/rate), func() { s.arrive(n + 1) })
	which, _ := slices.BinarySearch(s.zipf, s.rng.Float64()*s.zipf[len(s.zipf)-1])
	spread := func(mean int) int { return max(1, mean/2+s.rng.IntN(mean+1)) }
	prefix := xxhash.Sum64String(fmt.Sprintf("prefix %d", which))
	c := &call{id: fmt.Sprintf("r%d", n), front: s.pickFront(), prefix: prefix,
		prefixTokens: s.cfg.PrefixTokens/2 + int(prefix%uint64(s.cfg.PrefixTokens+1)),
		session:      spread(s.cfg.SessionTokens), output: spread(s.cfg.OutputTokens), born: s.now, deadline: s.now + s.cfg.Deadline}
	s.result.Offered++
	s.route(c)
}

func (s *sim) pickFront() *front {
	if s.cfg.FrontWeights == nil {
		return s.fronts[s.rng.IntN(len(s.fronts))]
	}
	total := 0.0
	for _, w := range s.cfg.FrontWeights {
		total += w
	}
	at := s.rng.Float64() * total
	for i, w := range s.cfg.FrontWeights {
		if at < w {
			return s.fronts[i]
		}
		at -= w
	}
	return s.fronts[0]
}

func (s *sim) request(c *call) route.Request {
	return route.Request{ID: c.id, Service: "chat", Prefix: c.prefix, Deadline: version.Add(c.deadline), Tried: c.tried}
}

func (s *sim) route(c *call) {
	req := s.request(c)
	choice := c.front.table.Choose(req, s.clock())
	if choice.Queued {
		if apiErr := c.front.table.Enqueue(req, s.clock()); apiErr != nil {
			s.reject(c, apiErr)
			return
		}
		c.front.calls[c.id] = c
		return
	}
	s.startAttempt(c, choice)
}

func (s *sim) startAttempt(c *call, choice route.Choice) {
	if choice.Err != nil {
		s.reject(c, choice.Err)
		return
	}
	c.front.table.Started(choice.Server)
	c.server = choice.Server
	c.attempt++
	c.started, c.first = s.now, 0
	v := s.byName[choice.Server]
	attempt := c.attempt
	s.at(c.deadline, func() {
		if !c.over && c.attempt == attempt && v.cancel(c) {
			s.finishAttempt(c, attempt, late)
		}
	})
	s.at(s.now+hop, func() { v.arrive(c) })
}

func (s *sim) reject(c *call, apiErr *apierror.Error) {
	c.over = true
	s.result.Refused++
	s.result.Codes[apiErr.Code.String()]++
}

func (s *sim) firstToken(c *call, attempt int) {
	if !c.begun && !c.over && attempt == c.attempt {
		c.begun = true
		c.first = s.now - c.started
		s.result.TTFT = append(s.result.TTFT, s.now-c.born)
	}
}

// finishAttempt reports the end of an attempt to the front.
func (s *sim) finishAttempt(c *call, attempt int, how ending) {
	name := c.server
	s.at(s.now+hop, func() {
		f := c.front
		f.table.Finished(name, route.Outcome{
			Result:     resultOf(how, c.begun),
			Service:    "chat",
			FirstToken: c.first,
			Took:       s.now - c.started,
		}, s.clock())
		s.drain(f)
		if c.over || attempt != c.attempt {
			return
		}
		switch {
		case how == answered:
			c.over = true
			if s.now > c.deadline {
				s.result.Late++
				return
			}
			s.result.Served++
			if at := int(s.now / time.Second); at < len(s.result.PerSecond) {
				s.result.PerSecond[at]++
			}
		case how == late:
			c.over = true
			s.result.Late++
		case how == interrupted && c.begun:
			c.over = true
			s.result.Cut++
		case len(c.tried)+1 >= maxAttempts:
			c.over = true
			s.result.Rejected++
		default:
			c.tried = append(c.tried, name)
			s.route(c)
		}
	})
}

// resultOf returns what the end of an attempt tells the front's table.
func resultOf(how ending, begun bool) route.Result {
	switch {
	case how == answered:
		return route.Answered
	case how == refused:
		return route.Refused
	case how == busy:
		return route.Busy
	case how == late && !begun:
		return route.TimedOut
	}
	return route.Inconclusive
}
