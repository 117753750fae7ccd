package route

import (
	"fmt"
	"time"
)

// checkedSpan is the length of the spans over which the served rate is measured.
const checkedSpan = 3 * time.Second

// Violation describes a violated bound, with the observed value.
type Violation string

func violation(format string, args ...any) Violation {
	return Violation(fmt.Sprintf(format, args...))
}

// Check returns the violations of these bounds by a run, determined from its result alone:
//
//   - During slow start, until a server has answered as many requests as it has slots,
//     it has at most initialSlowStartCap requests in flight plus one for each answer.
//   - No server ever has more than maxPeak requests in flight.
//   - Each span of 3 s after the instant from serves at least a quarter of the rate
//     before the first fault.
func Check(config Config, result Result, maxPeak int, from time.Duration) []Violation {
	var violations []Violation
	for _, report := range result.Servers {
		if report.ArrivalsOverSlowStart > 0 {
			violations = append(violations, violation("%s: %d requests arrived over the slow start cap, by up to %d",
				report.Server, report.ArrivalsOverSlowStart, report.MaxOverSlowStart))
		}
		if report.PeakInFlight > maxPeak {
			violations = append(violations, violation("%s had %d requests in flight, maximum %d", report.Server, report.PeakInFlight, maxPeak))
		}
	}
	firstFault := config.Length
	for _, fault := range config.Faults {
		firstFault = min(firstFault, fault.At)
	}
	rateBeforeFaults := result.perSecond(firstFault-checkedSpan, firstFault)
	for at := from; at+checkedSpan <= config.Length; at += time.Second {
		if served := result.perSecond(at, at+checkedSpan); served < rateBeforeFaults/4 {
			violations = append(violations, violation("served %.0f requests/s from %s, %.0f requests/s before the first fault", served, at, rateBeforeFaults))
		}
	}
	return violations
}
