package route

import "time"

const (
	timeoutsToEject = 3
	minTimeoutSpan  = time.Second // between the first and the last of them

	// maxEjectionDoublings bounds the exponent of the backoff.
	maxEjectionDoublings = 8
)

// ejection is the outlier detection of one server; that of requests by route is in
// package balance and has other rules. An ejected server gets no requests
// for a time that doubles with each ejection in a row, then a single request that
// probes it. After the ejection the front limits its requests in flight by the number
// of answers since.
type ejection struct {
	state        ejectionState
	until        time.Time // when an ejected server may be probed
	inARow       int
	timeouts     int // in a row
	firstTimeout time.Time

	recovering      bool
	recoveryAnswers int
}

type ejectionState uint8

const (
	notEjected ejectionState = iota
	ejected
	probing // ejected, with the probing request in flight
)

func (e *ejection) active() bool { return e.state != notEjected }

// reason returns why an ejected server can take no request, or "" if it may be probed.
func (e *ejection) reason(now time.Time) string {
	switch {
	case now.Before(e.until):
		return Ejected
	case e.state == probing:
		return UnderProbe
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

// start ejects the server, unless it is ejected and its time isn't over, and reports
// whether it did.
func (e *ejection) start(now time.Time, base, longest time.Duration) bool {
	if e.active() && now.Before(e.until) {
		return false
	}
	backoff := base << min(e.inARow, maxEjectionDoublings)
	e.inARow++
	e.state = ejected
	e.until = now.Add(min(backoff, longest))
	e.recovering = true
	e.recoveryAnswers = 0
	return true
}

// end ends the ejection and forgets failures.
func (e *ejection) end() {
	e.timeouts = 0
	e.inARow = 0
	e.state = notEjected
}

// recordAnswer ends the ejection, and the recovery after as many answers as the cap.
func (e *ejection) recordAnswer(serverCap int) {
	e.recoveryAnswers++
	e.recovering = e.recovering && e.recoveryAnswers < serverCap
	e.end()
}

// recordTimeout reports whether the time-outs in a row suffice for an ejection.
func (e *ejection) recordTimeout(now time.Time) bool {
	if e.timeouts == 0 {
		e.firstTimeout = now
	}
	e.timeouts++
	return e.timeouts >= timeoutsToEject && now.Sub(e.firstTimeout) >= minTimeoutSpan
}
