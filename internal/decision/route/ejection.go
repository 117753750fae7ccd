package route

import "time"

const (
	timeoutsToEject = 3
	minTimeoutSpan  = time.Second // between the first and the last of these time-outs

	// maxEjectionDoublings limits the exponent of the backoff.
	maxEjectionDoublings = 8
)

// ejection is the outlier detection for one server. An ejected server gets no requests for
// a time that doubles with each consecutive ejection, and then a single request as a
// probe. During recovery after the ejection, the front limits its requests in flight to
// one more than the number of answers since. Package balance has a separate outlier
// detection with other rules, for requests that follow the sheet's routes.
type ejection struct {
	state               ejectionState
	until               time.Time // time from which an ejected server may be probed
	consecutive         int       // number of ejections since the last answer
	consecutiveTimeouts int       // number of time-outs since the last answer
	firstTimeout        time.Time

	recovering      bool
	recoveryAnswers int
}

type ejectionState uint8

const (
	notEjected ejectionState = iota
	ejected
	probing // ejected, with a probing request in flight
)

func (e *ejection) active() bool { return e.state != notEjected }

// reason returns the reason why an ejected server can take no request, or "" if it may be
// probed.
func (e *ejection) reason(now time.Time) string {
	switch {
	case now.Before(e.until):
		return Ejected
	case e.state == probing:
		return ProbeInFlight
	}
	return ""
}

func (e *ejection) requestStarted() {
	if e.active() {
		e.state = probing
	}
}

func (e *ejection) requestFinished() {
	if e.active() {
		e.state = ejected
	}
}

// start ejects the server and reports whether it did. It does nothing while an earlier
// ejection lasts.
func (e *ejection) start(now time.Time, base, maxDuration time.Duration) bool {
	if e.active() && now.Before(e.until) {
		return false
	}
	backoff := base << min(e.consecutive, maxEjectionDoublings)
	e.consecutive++
	e.state = ejected
	e.until = now.Add(min(backoff, maxDuration))
	e.recovering = true
	e.recoveryAnswers = 0
	return true
}

// end ends the ejection and resets the counts of failures.
func (e *ejection) end() {
	e.consecutiveTimeouts = 0
	e.consecutive = 0
	e.state = notEjected
}

// recordAnswer ends the ejection. The recovery ends after as many answers as serverCap.
func (e *ejection) recordAnswer(serverCap int) {
	e.recoveryAnswers++
	e.recovering = e.recovering && e.recoveryAnswers < serverCap
	e.end()
}

// recordTimeout counts a time-out and reports whether the consecutive time-outs suffice for
// an ejection.
func (e *ejection) recordTimeout(now time.Time) bool {
	if e.consecutiveTimeouts == 0 {
		e.firstTimeout = now
	}
	e.consecutiveTimeouts++
	return e.consecutiveTimeouts >= timeoutsToEject && now.Sub(e.firstTimeout) >= minTimeoutSpan
}
