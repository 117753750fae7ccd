package route

import (
	"fmt"
	"time"
)

// checkedSpan is the span in which the served rate is measured.
const checkedSpan = 3 * time.Second

// Violation describes a broken rule and what was measured.
type Violation string

func violation(format string, args ...any) Violation {
	return Violation(fmt.Sprintf(format, args...))
}

// Check checks a run by its result alone. During slow start, until a server has
// answered as many requests as it has slots, it has no more in flight than the slow
// start's first bound and one for each answer; no server ever has more than maxPeak in
// flight; and from an instant on, each span of three seconds serves at least a quarter
// of the rate before the first fault.
func Check(config Config, result Result, maxPeak int, from time.Duration) []Violation {
	var violations []Violation
	for _, report := range result.Servers {
		if report.OverSlowStart > 0 {
			violations = append(violations, violation("%s was flooded while it ramped: %d arrivals beyond, by up to %d",
				report.Server, report.OverSlowStart, report.MaxExcess))
		}
		if report.Peak > maxPeak {
			violations = append(violations, violation("%s had %d in flight, the bound is %d", report.Server, report.Peak, maxPeak))
		}
	}
	firstFault := config.Length
	for _, fault := range config.Faults {
		firstFault = min(firstFault, fault.At)
	}
	normal := result.perSecond(firstFault-checkedSpan, firstFault)
	for at := from; at+checkedSpan <= config.Length; at += time.Second {
		if served := result.perSecond(at, at+checkedSpan); served < normal/4 {
			violations = append(violations, violation("served %.0f a second at %s, %.0f before the first fault", served, at, normal))
		}
	}
	return violations
}
