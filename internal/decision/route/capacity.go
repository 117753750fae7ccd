package route

// maxCountedAnswers limits the number of answers that raise a cap, to prevent integer
// overflow.
const maxCountedAnswers = 1 << 20

// capacity determines the cap of a server: the maximum number of requests in flight from
// all fronts. During slow start the cap begins at a first cap and rises by one for each
// answer.
type capacity struct {
	cap                 int
	full                int    // cap after slow start
	answeredAtSlowStart uint64 // the server's count of answers when slow start began
	ownAnswers          uint64 // answers to this front since slow start began
	minFirstCap         int    // first cap of this slow start if higher than the policy's

	plannedCap     int    // cap in the plan; 0 if the plan has none
	answeredAtPlan uint64 // the server's count of answers when the plan arrived
}

func (c *capacity) inSlowStart() bool { return c.cap < c.full }

// restart begins slow start again at the given count of the server's answers.
func (c *capacity) restart(answered uint64, minFirstCap int) {
	c.answeredAtSlowStart = answered
	c.minFirstCap = minFirstCap
	c.ownAnswers = 0
}

// nextCap returns the cap, given the server's count of answers and the policy's first cap.
func (c *capacity) nextCap(answered uint64, firstCap int) int {
	next := min(c.full, max(firstCap, c.minFirstCap)+c.answersSince(answered, c.answeredAtSlowStart))
	if c.plannedCap > 0 {
		next = min(next, c.plannedCap+c.answersSince(answered, c.answeredAtPlan))
	}
	return next
}

// answersSince returns the number of answers since the server's count was base. It is no
// less than the number of answers to this front since slow start began, as the last status
// may not include those yet.
func (c *capacity) answersSince(answered, base uint64) int {
	count := c.ownAnswers
	if answered > base {
		count = max(count, answered-base)
	}
	return int(min(count, maxCountedAnswers))
}

func (t *Table) updateCap(server *server) {
	next := server.capacity.nextCap(server.status.Answered, t.config.Policy.SlowStartCap)
	for _, pool := range server.pools {
		pool.cap += next - server.capacity.cap
	}
	server.capacity.cap = next
}

// borrowing is the part of a server's cap that this front may use beyond its share.
type borrowing struct {
	extra     float64 // requests in flight allowed beyond the share
	requested bool    // some request needed more than the share since the last status
	limited   bool    // the front was at its limit at the last status
}

// adjustBorrowing adjusts how much this front may use beyond its share of a server's cap.
// It is called at each status of the server. The fronts that were at their limit at the
// last two statuses divide half of the free capacity in proportion to their requests in
// flight. The others halve what they may borrow, but not below what they use. The limits of
// all fronts add up to at most three times the cap, and to exactly the cap during slow
// start.
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

// limit returns the maximum number of requests that this front may have in flight at a
// server, given its share.
func (t *Table) limit(server *server, share int) int {
	return min(share+int(server.borrowing.extra), server.capacity.cap)
}

// share returns the part of a server's cap that is reserved for this front. The shares of
// all fronts add up to the cap: those that rank first for the server get one more if the
// cap is not a multiple of the number of fronts.
func (t *Table) share(server *server) int {
	fronts := len(t.frontHashes)
	share, remainder := server.capacity.cap/fronts, server.capacity.cap%fronts
	if remainder > 0 && t.rank(server) < remainder {
		share++
	}
	return share
}

// cachedRank is this front's rank for a server, valid for one version of the set of
// fronts.
type cachedRank struct {
	version int // Table.frontsVersion
	rank    int
}

// rank returns this front's position, from 0, among all fronts in the order of rendezvous
// hashing for a server.
func (t *Table) rank(server *server) int {
	if server.rank.version != t.frontsVersion {
		ownScore := splitMix64(t.selfHash ^ server.hash)
		server.rank = cachedRank{version: t.frontsVersion}
		for _, front := range t.frontHashes {
			if splitMix64(front^server.hash) > ownScore {
				server.rank.rank++
			}
		}
	}
	return server.rank.rank
}
