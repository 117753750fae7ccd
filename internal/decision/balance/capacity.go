package balance

import "time"

const (
	// unlimitedConnections is the connection limit of a server none of whose services
	// sets one.
	unlimitedConnections = 1 << 20
	// maxCapacityCheckInterval and minCapacityCheckInterval bound the time until queued
	// requests are tried again.
	maxCapacityCheckInterval = 50 * time.Millisecond
	minCapacityCheckInterval = time.Millisecond
)

// hasCapacity reports whether this node may send a server one more request now.
func (t *Table) hasCapacity(srv *server, now time.Time) bool {
	switch {
	case srv.ejection.ejected(now), srv.ejection.probeInFlight:
		return false
	case srv.load.inFlight >= t.connectionLimit(srv):
		return false
	}
	return t.slowStartAllows(srv, now)
}

// connectionLimit returns this node's share of a server's connection limit, at least
// one.
func (t *Table) connectionLimit(srv *server) int {
	limit := 0
	for _, service := range srv.status.Services {
		if t.view.State.Sheet != nil {
			limit = max(limit, t.view.State.Sheet.Services[service].MaxConnections)
		}
	}
	if limit == 0 {
		return unlimitedConnections
	}
	return max(1, limit/len(t.fronts))
}

// NextCapacityCheck returns the time after which queued requests should be tried
// again, since a server may have capacity by then.
func (t *Table) NextCapacityCheck(now time.Time) time.Duration {
	wait := maxCapacityCheckInterval
	for _, srv := range t.servers {
		for _, retryAt := range []time.Time{srv.slowStart.nextRequestAt, srv.ejection.until} {
			if remaining := retryAt.Sub(now); remaining > 0 {
				wait = min(wait, remaining)
			}
		}
	}
	return max(wait, minCapacityCheckInterval)
}
