package gateway

import (
	"time"

	"stepwick/internal/decision/balance"
)

const (
	// A server may send nothing for stallFactor times the greater of the route's
	// latency objective and its longest pause between events, and minStallTimeout
	// at least, before another is tried.
	stallFactor     = 2
	minStallTimeout = 700 * time.Millisecond
	// noStallTimeout is the time-out where no other server may be tried.
	noStallTimeout = time.Hour
)

// stallTimeout returns how long a server may send nothing until another is tried,
// for a request that was sent to a number of servers.
func (q *request) stallTimeout(sent int) time.Duration {
	disabled := q.gateway.config.Balance.Disabled[balance.StallRetries]
	if disabled || !q.route.Idempotent() || sent >= q.maxAttempts() {
		return noStallTimeout
	}
	longestPauseMS := max(q.route.ObjectiveMS, q.route.GapMS)
	return max(stallFactor*time.Duration(longestPauseMS)*time.Millisecond, minStallTimeout)
}

// startStallTimer calls cancel after the stall time-out. The caller resets the timer
// at each sign of progress and stops it.
func (q *request) startStallTimer(sent int, cancel func()) *time.Timer {
	return time.AfterFunc(q.stallTimeout(sent), cancel)
}
