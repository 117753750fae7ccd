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

func (t *Table) updateCap(server *server) {
	next := server.capacity.limit(server.status.Answered, t.config.Policy.SlowStartCap)
	for _, pool := range server.pools {
		pool.cap += next - server.capacity.cap
	}
	server.capacity.cap = next
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
func (t *Table) adjustBorrowing(server *server) {
	share := t.share(server)
	free := server.capacity.cap - server.load.own - server.load.others
	wasLimited := server.borrowing.limited
	server.borrowing.limited = server.borrowing.requested && server.load.own >= t.limit(server, share)
	server.borrowing.requested = false
	switch {
	case server.capacity.inSlowStart():
		server.borrowing.extra = 0
	case free > 0 && server.borrowing.limited && wasLimited:
		gain := float64(free) / 2 * float64(server.load.own) / float64(max(1, server.load.total()))
		server.borrowing.extra = min(server.borrowing.extra+gain, float64(server.capacity.cap))
	default:
		server.borrowing.extra = max(float64(server.load.own-share), server.borrowing.extra/2, 0)
	}
}

// limit returns the requests that this front may have in flight at a server.
func (t *Table) limit(server *server, share int) int {
	return min(share+int(server.borrowing.extra), server.capacity.cap)
}

// share returns the part of a server's cap that is this front's alone. The shares of
// all fronts add up to the cap: the remainder goes to the fronts that rank first.
func (t *Table) share(server *server) int {
	fronts := len(t.fronts)
	share, remainder := server.capacity.cap/fronts, server.capacity.cap%fronts
	if remainder > 0 && t.rank(server) < remainder {
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

func (t *Table) rank(server *server) int {
	if server.rank.version != t.frontsVersion {
		own := mix(t.self ^ server.hash)
		server.rank = cachedRank{version: t.frontsVersion}
		for _, front := range t.fronts {
			if mix(front^server.hash) > own {
				server.rank.rank++
			}
		}
	}
	return server.rank.rank
}
