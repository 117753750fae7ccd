package balance

import "time"

// slowStart paces this node's requests to a server that is warming up: one at a
// time, and further ones at an even interval.
type slowStart struct {
	until       time.Time // zero for a server that is not in slow start
	nextRequest time.Time // no request is sent before
	interval    time.Duration
}

func (s *slowStart) active(now time.Time) bool { return now.Before(s.until) }

func (s *slowStart) requestSent(now time.Time) {
	if s.interval > 0 {
		s.nextRequest = now.Add(s.interval)
	}
}

// slowStartAllows reports whether a server is not in slow start, or the next request
// of this node is due. Only so many nodes send to a server in slow start that one
// request of each at once and their common rate stay within what it accepts.
func (t *Table) slowStartAllows(srv *server, now time.Time) bool {
	rate := t.slowStartRate(srv)
	if rate <= 0 || !srv.slowStart.active(now) {
		srv.slowStart.interval = 0
		return true
	}
	spare := rate*(t.config.SlowStartOverage-1) + t.config.SlowStartSlack
	senders := min(max(int(spare), 1), len(t.slowStartNodes))
	if t.rankAmongNodes(srv) >= senders {
		return false
	}
	srv.slowStart.interval = time.Duration(float64(senders) / rate * float64(time.Second))
	return !now.Before(srv.slowStart.nextRequest)
}

// slowStartRate returns the requests per second that a server accepts from all nodes
// in slow start, the least of its services'; zero for no limit.
func (t *Table) slowStartRate(srv *server) float64 {
	if t.view.State.Sheet == nil {
		return 0
	}
	least := 0.0
	for _, service := range srv.status.Services {
		rate := t.view.State.Sheet.Services[service].SlowStartRate
		if rate > 0 && (least == 0 || rate < least) {
			least = rate
		}
	}
	return least
}

// rankAmongNodes returns this node's rank for a server among all nodes, by
// rendezvous hashing.
func (t *Table) rankAmongNodes(srv *server) int {
	own := mix(t.selfHash ^ srv.hash)
	rank := 0
	for _, node := range t.slowStartNodes {
		if node != t.config.Self && mix(hashOf(node)^srv.hash) > own {
			rank++
		}
	}
	return rank
}
