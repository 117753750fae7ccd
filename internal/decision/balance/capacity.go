package balance

import "time"

const (
	// unlimitedConnections is the limit of a server whose services have none.
	unlimitedConnections = 1 << 20
	// maxCapacityCheckInterval and minCapacityCheckInterval limit the time until
	// queued requests are tried again.
	maxCapacityCheckInterval = 50 * time.Millisecond
	minCapacityCheckInterval = time.Millisecond
)

// hasCapacity reports whether a server may get one more request of this node now.
func (t *Table) hasCapacity(srv *server, now time.Time) bool {
	switch {
	case srv.ejection.ejected(now), srv.ejection.probing:
		return false
	case srv.load.inFlight >= t.connectionLimit(srv):
		return false
	}
	return t.slowStartAllows(srv, now)
}

// connectionLimit returns this node's share of the connections to a server.
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

// NextCapacityCheck returns after how long at most queued requests are to be tried
// again, since a server may have capacity then.
func (t *Table) NextCapacityCheck(now time.Time) time.Duration {
	wait := maxCapacityCheckInterval
	for _, srv := range t.servers {
		for _, next := range []time.Time{srv.slowStart.nextRequest, srv.ejection.until} {
			if left := next.Sub(now); left > 0 {
				wait = min(wait, left)
			}
		}
	}
	return max(wait, minCapacityCheckInterval)
}
