package balance

import "time"

const (
	// consecutiveFailureLimit is the number of consecutive failed requests after which
	// a server is ejected. A refused connection ejects it immediately.
	consecutiveFailureLimit = 2
	// maxEjectionDoublings limits how often the ejection time is doubled, and thereby
	// the shift.
	maxEjectionDoublings = 8
	// After a failed request, a server's cost is raised for suspicionTimePerFailure
	// times its recent failures, of which at most maxRecentFailures count. Each
	// successful request reduces them by failuresClearedPerSuccess.
	suspicionTimePerFailure   = 2 * time.Second
	maxRecentFailures         = 5
	failuresClearedPerSuccess = 0.25
)

// suspicion raises the cost of a server that failed requests recently. A server that
// does not respond at all causes no failure; its StallLevel detects that.
type suspicion struct {
	recentFailures float64 // reduced by successful requests
	until          time.Time
}

func (s *suspicion) recordFailure(now time.Time) {
	s.recentFailures = min(s.recentFailures+1, maxRecentFailures)
	s.until = now.Add(time.Duration(s.recentFailures * float64(suspicionTimePerFailure)))
}

func (s *suspicion) recordSuccess() {
	s.recentFailures = max(0, s.recentFailures-failuresClearedPerSuccess)
}

func (s *suspicion) cost(now time.Time) float64 {
	if !now.Before(s.until) {
		return 0
	}
	return costPerFailure * s.recentFailures
}

// ejection withholds requests from a failed server (outlier ejection) with exponential
// backoff. After the ejection time, a single request probes the server.
type ejection struct {
	consecutiveFailures  int // since the last ejection
	consecutiveEjections int // without a completed response in between
	until                time.Time
	probeInFlight        bool
}

func (e *ejection) ejected(now time.Time) bool { return now.Before(e.until) }

func (e *ejection) requestSent() {
	if e.consecutiveEjections > 0 {
		e.probeInFlight = true
	}
}

// recordFailure ejects the server when consecutiveFailureLimit is reached. A server that
// was ejected before and has not responded since is ejected by its first failure.
func (e *ejection) recordFailure(now time.Time, config Config) {
	e.consecutiveFailures++
	if e.consecutiveFailures >= consecutiveFailureLimit || e.consecutiveEjections > 0 {
		e.eject(now, config)
	}
}

// eject has no effect on a server that is already ejected, so that failures of
// concurrent requests double the backoff only once.
func (e *ejection) eject(now time.Time, config Config) {
	if config.Disabled[Ejection] || e.ejected(now) {
		return
	}
	backoff := config.BaseEjectionTime << min(e.consecutiveEjections, maxEjectionDoublings)
	e.until = now.Add(min(backoff, config.MaxEjectionTime))
	e.consecutiveEjections++
	e.consecutiveFailures = 0
}

func (e *ejection) reset() {
	e.consecutiveFailures = 0
	e.consecutiveEjections = 0
	e.until = time.Time{}
}
