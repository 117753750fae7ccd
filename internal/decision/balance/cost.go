package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs in milliseconds of a client's waiting.
const (
	// crossRegionCost and crossZoneCost stand for the way to a server elsewhere
	// and back, and for what the bytes are charged.
	crossRegionCost = 30
	crossZoneCost   = 1
	// perRequestCost is what one more request at a server slows the others by.
	perRequestCost = 4
	// hungCost keeps requests from a server that is silent while there is any other.
	hungCost = 5000
	// doubtCost is added for each failure of late.
	doubtCost = 200
	// readAgainWeight is how much more it costs to read a shared part of a prompt
	// once more than the time of reading it: the part pushes others out.
	readAgainWeight = 3
	// tieSpread parts servers of equal cost.
	tieSpread = 0.5
)

// cost is what it takes to have a request served by a server.
func (t *Table) cost(s *server, request *Request, holder *server, now time.Time) float64 {
	perToken := t.speed(request.Service).perToken()
	cost := s.backlog*perToken + float64(s.inFlight)*perRequestCost
	if !t.config.Off[ReadAgain] {
		cost += t.missing(s, request, holder, now) * perToken * readAgainWeight
	}
	if t.misplaced(s, request, now) {
		cost += misplacedCost
	}
	if !t.config.Off[Crossing] {
		cost += t.crossing(s)
	}
	if !t.config.Off[Hung] && t.silence(s, now) >= Hanging {
		cost += hungCost
	}
	if !t.config.Off[Doubts] && now.Before(s.doubted) {
		cost += doubtCost * s.doubts
	}
	return cost + tieSpread*t.tie(s, request)
}

// crossing is the cost of the way to a server.
func (t *Table) crossing(s *server) float64 {
	switch {
	case s.status.Region != t.config.Region:
		return crossRegionCost
	case s.status.Zone != t.config.Zone:
		return crossZoneCost
	}
	return 0
}

// tie is a number from 0 to 1 that orders servers differently for each request.
func (t *Table) tie(s *server, request *Request) float64 {
	key := request.Affinity
	if key == 0 {
		key = xxhash.Sum64String(request.ID)
	}
	return float64(mix(s.hash^key^t.random)>>11) / (1 << 53)
}

// holder returns the server on which all nodes agree for a shared prompt: the
// highest by rendezvous hash among those that may serve it, whether it has room
// or not.
func (t *Table) holder(request *Request, now time.Time) *server {
	if request.Affinity == 0 || t.config.Off[Affinity] {
		return nil
	}
	var holder *server
	highest := uint64(0)
	for _, s := range t.pools[request.Service] {
		if weight := mix(s.hash ^ request.Affinity); t.allowed(s, request) && !t.misplaced(s, request, now) && (holder == nil || weight > highest) {
			holder, highest = s, weight
		}
	}
	return holder
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// speed learns how long servers of a service take to read a token, by a line
// through the times to the first event over the tokens read. Old samples fade.
type speed struct {
	weight, tokens, time, square, product float64
	typical                               float64 // milliseconds to the first byte
}

// note takes in how long an answer took to begin.
func (s *speed) note(took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if s.typical == 0 {
		s.typical = ms
		return
	}
	s.typical += (ms - s.typical) * typicalShare
}

// expected returns how long an answer takes to begin at a server that has so
// many tokens to read.
func (s *speed) expected(tokens float64) time.Duration {
	typical := s.typical
	if typical == 0 {
		typical = typicalDefault
	}
	return time.Duration((typical + tokens*s.perToken()) * float64(time.Millisecond))
}

const (
	typicalShare   = 0.05
	typicalDefault = 200

	speedFade    = 0.98
	speedLeast   = 20    // samples until the line is believed
	speedDefault = 0.01  // ms a token until then
	speedLow     = 0.001 // bounds of what is believed
	speedHigh    = 1.0
)

func (s *speed) learn(tokens float64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	for _, sum := range []*float64{&s.weight, &s.tokens, &s.time, &s.square, &s.product} {
		*sum *= speedFade
	}
	s.weight++
	s.tokens += tokens
	s.time += ms
	s.square += tokens * tokens
	s.product += tokens * ms
}

// perToken returns the milliseconds that a token takes to be read.
func (s *speed) perToken() float64 {
	spread := s.weight*s.square - s.tokens*s.tokens
	if s.weight < speedLeast || spread <= 0 {
		return speedDefault
	}
	slope := (s.weight*s.product - s.tokens*s.time) / spread
	return min(max(slope, speedLow), speedHigh)
}
