package balance

import "time"

// budget bounds the repeated sends of this node to one service, within any
// window, to a share of its requests in that window and a fixed part.
type budget struct {
	ratio   float64
	window  time.Duration
	buckets [budgetBuckets]bucket
}

// budgetBuckets parts a window; one of them is always left out of the requests
// that are counted, and none of the repeats, so that the bound errs to the safe
// side.
const budgetBuckets = 21

type bucket struct {
	number           int64
	requests, resent float64
}

func newBudget(ratio float64, window time.Duration) *budget {
	return &budget{ratio: ratio, window: window}
}

func (b *budget) at(now time.Time) *bucket {
	number := b.number(now)
	found := &b.buckets[number%budgetBuckets]
	if found.number != number {
		*found = bucket{number: number}
	}
	return found
}

func (b *budget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.window/(budgetBuckets-1))
}

func (b *budget) count(now time.Time) { b.at(now).requests++ }
func (b *budget) spend(now time.Time) { b.at(now).resent++ }

func (b *budget) allows(now time.Time, share float64) bool {
	current := b.number(now)
	requests, resent := 0.0, 0.0
	for _, one := range b.buckets {
		if current-one.number >= budgetBuckets {
			continue
		}
		resent += one.resent
		if current-one.number < budgetBuckets-1 {
			requests += one.requests
		}
	}
	return resent+1 <= requests*b.ratio+share
}

// coldLimit holds this node to its part of what a cold server bears: one
// request at once, and further ones at an even pace.
type coldLimit struct {
	until time.Time // cold until then; zero: not cold
	next  time.Time // no request before
	gap   time.Duration
}

func (c *coldLimit) take(now time.Time) {
	if c.gap > 0 {
		c.next = now.Add(c.gap)
	}
}

// coldOpen tells whether a server is warm, or its next request of this node is
// due. Of the nodes, only so many send to a cold server at all that one request
// of each at once and their common pace stay within what it bears.
func (t *Table) coldOpen(s *server, now time.Time) bool {
	rate := t.coldRate(s)
	if rate <= 0 || !now.Before(s.cold.until) {
		s.cold.gap = 0
		return true
	}
	spare := rate*(t.config.ColdOverage-1) + t.config.ColdSlack
	senders := min(max(int(spare), 1), len(t.coldRanked))
	if t.frontRank(s) >= senders {
		return false
	}
	s.cold.gap = time.Duration(float64(senders) / rate * float64(time.Second))
	return !now.Before(s.cold.next)
}

func (t *Table) coldRate(s *server) float64 {
	rate := 0.0
	if t.view.State.Sheet == nil {
		return 0
	}
	for _, service := range s.status.Services {
		if r := t.view.State.Sheet.Services[service].SlowStartRate; r > 0 && (rate == 0 || r < rate) {
			rate = r
		}
	}
	return rate
}

// frontRank is this node's place for a server among all nodes that may send to
// it.
func (t *Table) frontRank(s *server) int {
	mine := mix(t.random ^ s.hash)
	rank := 0
	for _, front := range t.coldRanked {
		if front != t.config.Self && mix(hashOf(front)^s.hash) > mine {
			rank++
		}
	}
	return rank
}

// Waits returns how long it takes at most until a server that has no room now
// may have some, for the next look at the requests that wait.
func (t *Table) Waits(now time.Time) time.Duration {
	wait := longestWait
	for _, s := range t.servers {
		for _, at := range []time.Time{s.cold.next, s.until} {
			if left := at.Sub(now); left > 0 {
				wait = min(wait, left)
			}
		}
	}
	return max(wait, time.Millisecond)
}

const longestWait = 50 * time.Millisecond
