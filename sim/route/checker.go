package route

import (
	"fmt"
	"time"
)

// Violation describes a broken rule and what was measured.
type Violation string

// Check checks a run by its result alone. During slow start, until a server has
// answered as many requests as it has slots, it has no more in flight than the slow
// start's first bound and one for each answer; no server ever has more than mostPeak
// in flight; and from an instant on, each span of three seconds serves at least a
// quarter of the rate before the first fault.
func Check(cfg Config, r Result, mostPeak int, from time.Duration) []Violation {
	var found []Violation
	for _, l := range r.Servers {
		if l.Over > 0 {
			found = append(found, Violation(fmt.Sprintf("%s was flooded while it ramped: %d arrivals beyond, by up to %d", l.Server, l.Over, l.Excess)))
		}
		if l.Peak > mostPeak {
			found = append(found, Violation(fmt.Sprintf("%s had %d in flight, the bound is %d", l.Server, l.Peak, mostPeak)))
		}
	}
	first := cfg.Span
	for _, f := range cfg.Faults {
		first = min(first, f.At)
	}
	level := r.perSecond(first-3*time.Second, first)
	for at := from; at+3*time.Second <= cfg.Span; at += time.Second {
		if now := r.perSecond(at, at+3*time.Second); now < level/4 {
			found = append(found, Violation(fmt.Sprintf("served %.0f a second at %s, %.0f before the first fault", now, at, level)))
		}
	}
	return found
}

func (r Result) perSecond(from, to time.Duration) float64 {
	sum, first, last := 0, int(from/time.Second), int(to/time.Second)
	for _, n := range r.PerSecond[max(0, first):last] {
		sum += n
	}
	return float64(sum) / float64(max(1, last-first))
}
