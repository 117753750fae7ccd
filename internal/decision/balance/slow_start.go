package balance

import "time"

// slowStart paces this node's requests to a server that is warming up: they are sent
// one by one, at an even interval.
type slowStart struct {
	until         time.Time // zero for a server that is not in slow start
	nextRequestAt time.Time // no request is sent earlier
	interval      time.Duration
}

func (s *slowStart) active(now time.Time) bool { return now.Before(s.until) }

func (s *slowStart) requestSent(now time.Time) {
	if s.interval > 0 {
		s.nextRequestAt = now.Add(s.interval)
	}
}

// slowStartAllows reports whether this node may send a server a request now: the
// server is not in slow start, or this node's next request to it is due. The number of
// nodes that send to a server in slow start is limited, so that their combined rate
// and one simultaneous request from each together stay within the server's limit.
func (t *Table) slowStartAllows(srv *server, now time.Time) bool {
	rate := t.slowStartRate(srv)
	if rate <= 0 || !srv.slowStart.active(now) {
		srv.slowStart.interval = 0
		return true
	}
	headroom := rate*(t.config.SlowStartOverage-1) + t.config.SlowStartSlack
	senders := min(max(int(headroom), 1), len(t.slowStartNodes))
	if t.rankAmongNodes(srv) >= senders {
		return false
	}
	srv.slowStart.interval = time.Duration(float64(senders) / rate * float64(time.Second))
	return !now.Before(srv.slowStart.nextRequestAt)
}

// slowStartRate returns the requests per second that a server in slow start accepts
// from all nodes, the lowest rate of its services; zero means no limit.
func (t *Table) slowStartRate(srv *server) float64 {
	if t.view.State.Sheet == nil {
		return 0
	}
	lowestRate := 0.0
	for _, service := range srv.status.Services {
		rate := t.view.State.Sheet.Services[service].SlowStartRate
		if rate > 0 && (lowestRate == 0 || rate < lowestRate) {
			lowestRate = rate
		}
	}
	return lowestRate
}

// rankAmongNodes returns the rank of this node for a server among slowStartNodes, by
// rendezvous hashing; zero is the highest.
func (t *Table) rankAmongNodes(srv *server) int {
	ownWeight := splitMix64Finalizer(t.selfHash ^ srv.hash)
	rank := 0
	for _, node := range t.slowStartNodes {
		if node != t.config.Self && splitMix64Finalizer(hashName(node)^srv.hash) > ownWeight {
			rank++
		}
	}
	return rank
}
