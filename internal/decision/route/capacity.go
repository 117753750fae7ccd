package route

// maxCountedAnswers bounds the answers that raise a cap, against overflow.
const maxCountedAnswers = 1 << 20

// capacity is the number of requests that a server may have in flight over all fronts.
// During slow start it is a first cap and one more for each answer.
type capacity struct {
	cap          int
	full         int    // cap after slow start
	answeredBase uint64 // the server's answers when slow start began
	answersSeen  uint64 // answers to this front since then
	minimum      int    // first cap, if higher than the policy's

	plannedCap      int    // by the plan; zero: none
	plannedAnswered uint64 // the server's answers when the plan arrived
}

func (c *capacity) inSlowStart() bool { return c.cap < c.full }

// restart restarts slow start.
func (c *capacity) restart(answered uint64, minimum int) {
	c.answeredBase = answered
	c.minimum = minimum
	c.answersSeen = 0
}

// limit returns the cap of a server that has answered a number of requests.
func (c *capacity) limit(answered uint64, firstCap int) int {
	next := min(c.full, max(firstCap, c.minimum)+c.answersSince(answered, c.answeredBase))
	if c.plannedCap > 0 {
		next = min(next, c.plannedCap+c.answersSince(answered, c.plannedAnswered))
	}
	return next
}

// answersSince returns the answers since a count of the server's, at least those that
// this front has seen.
func (c *capacity) answersSince(answered, base uint64) int {
	count := c.answersSeen
	if answered > base {
		count = max(count, answered-base)
	}
	return int(min(count, maxCountedAnswers))
}

func (t *Table) updateCap(s *server) {
	next := s.capacity.limit(s.status.Answered, t.config.Policy.SlowStartCap)
	for _, pool := range s.pools {
		pool.cap += next - s.capacity.cap
	}
	s.capacity.cap = next
}

// borrowing is the part of a server's cap that a front uses beyond its share.
type borrowing struct {
	extra     float64 // requests in flight
	requested bool    // a request was beyond the share since the last status
	limited   bool    // the front was at its limit as of the last status
}

// adjustBorrowing changes what a front may use beyond its share of the cap. At each
// status of a server with free capacity, the fronts at their limit divide half of it in
// proportion to what they have in flight; the others return half of what they don't
// use. The limits of all fronts add up to no more than three caps, and to the cap
// itself during slow start.
func (t *Table) adjustBorrowing(s *server) {
	share := t.share(s)
	free := s.capacity.cap - s.load.own - s.load.others
	wasLimited := s.borrowing.limited
	s.borrowing.limited = s.borrowing.requested && s.load.own >= t.limit(s, share)
	s.borrowing.requested = false
	switch {
	case s.capacity.inSlowStart():
		s.borrowing.extra = 0
	case free > 0 && s.borrowing.limited && wasLimited:
		gain := float64(free) / 2 * float64(s.load.own) / float64(max(1, s.load.total()))
		s.borrowing.extra = min(s.borrowing.extra+gain, float64(s.capacity.cap))
	default:
		s.borrowing.extra = max(float64(s.load.own-share), s.borrowing.extra/2, 0)
	}
}

// limit returns the requests that this front may have in flight at a server.
func (t *Table) limit(s *server, share int) int {
	return min(share+int(s.borrowing.extra), s.capacity.cap)
}

// share returns the part of a server's cap that is this front's alone. The shares of
// all fronts add up to the cap: the remainder goes to the fronts that rank first.
func (t *Table) share(s *server) int {
	fronts := len(t.fronts)
	share, remainder := s.capacity.cap/fronts, s.capacity.cap%fronts
	if remainder > 0 && t.rank(s) < remainder {
		share++
	}
	return share
}

// cachedRank is this front's position among the fronts by rendezvous hashing for a
// server, as of a version of the fronts.
type cachedRank struct {
	version int
	rank    int
}

func (t *Table) rank(s *server) int {
	if s.rank.version != t.frontsVersion {
		own := mix(t.self ^ s.hash)
		s.rank = cachedRank{version: t.frontsVersion}
		for _, front := range t.fronts {
			if mix(front^s.hash) > own {
				s.rank.rank++
			}
		}
	}
	return s.rank.rank
}
