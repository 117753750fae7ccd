package balance

import "time"

const (
	// consecutiveFailures eject a server; a refused connection does at once.
	consecutiveFailures = 2
	// maxBackoffDoublings limits the shift of the ejection time.
	maxBackoffDoublings = 8
	// A server that failed a request costs more for suspicionTime, and as much longer
	// for each further recent failure; a success takes suspicionRecovery of one
	// failure back.
	suspicionTime     = 2 * time.Second
	maxSuspicion      = 5
	suspicionRecovery = 0.25
)

// suspicion is how far a server's recent failures raise its cost. A server that does
// not respond at all is found by its StallLevel, without a failure.
type suspicion struct {
	failures float64 // recent ones, less what successes took back
	until    time.Time
}

func (s *suspicion) recordFailure(now time.Time) {
	s.failures = min(s.failures+1, maxSuspicion)
	s.until = now.Add(time.Duration(s.failures * float64(suspicionTime)))
}

func (s *suspicion) recordSuccess() { s.failures = max(0, s.failures-suspicionRecovery) }

func (s *suspicion) cost(now time.Time) float64 {
	if !now.Before(s.until) {
		return 0
	}
	return costPerFailure * s.failures
}

// ejection keeps requests from a server that failed (outlier ejection), with an
// exponential backoff. After the ejection time one request probes the server.
type ejection struct {
	failures int // consecutive ones since the last ejection
	count    int // consecutive ejections
	until    time.Time
	probing  bool // the request that probes the server is in flight
}

func (e *ejection) ejected(now time.Time) bool { return now.Before(e.until) }

func (e *ejection) requestSent() {
	if e.count > 0 {
		e.probing = true
	}
}

// recordFailure ejects the server after consecutiveFailures, or when the request
// was a probe.
func (e *ejection) recordFailure(now time.Time, config Config) {
	e.failures++
	if e.failures >= consecutiveFailures || e.count > 0 {
		e.eject(now, config)
	}
}

// eject has no effect on a server that is ejected, so that the failures of requests
// that were sent together count as one.
func (e *ejection) eject(now time.Time, config Config) {
	if config.Disabled[Ejection] || e.ejected(now) {
		return
	}
	backoff := config.BaseEjectionTime << min(e.count, maxBackoffDoublings)
	e.until = now.Add(min(backoff, config.MaxEjectionTime))
	e.count++
	e.failures = 0
}

func (e *ejection) reset() {
	e.failures = 0
	e.count = 0
	e.until = time.Time{}
}
