// Package election decides who carries a singleton duty. A term of a duty is won
// by a ballot when it falls vacant; all that its holder emits carries the
// term, and receivers drop what carries a lower one.
package election

import (
	"sort"
	"time"

	"stepwick/internal/decision/sheet"
)

// Planner is the duty of working out the period plan.
const Planner = "planner"

// Observation is what one core knows of the holder of a duty.
type Observation struct {
	Core        string
	HolderAlive bool // its lease stands there, or it answers that core
}

// Vacant tells whether a duty may be taken: nobody ever held it, or a majority
// of the voters finds the holder's lease lapsed or its process gone. Sights of
// unknown cores and of those that did not answer don't count for vacancy.
func Vacant(duty sheet.Duty, voters []string, sights []Observation) bool {
	if duty.Holder == "" {
		return true
	}
	missing := map[string]bool{}
	for _, sight := range sights {
		if !sight.HolderAlive {
			missing[sight.Core] = true
		}
	}
	count := 0
	for _, voter := range voters {
		if missing[voter] {
			count++
		}
	}
	return count > len(voters)/2
}

// CandidateDelay returns how long a core waits, from when it found the duty vacant,
// before it tries: its place among the voters times the step. The holder of
// the vacant term comes last. A core that is no voter never tries: ok is false.
func CandidateDelay(self string, duty sheet.Duty, voters []string, step time.Duration) (wait time.Duration, ok bool) {
	order := append([]string(nil), voters...)
	sort.Slice(order, func(i, j int) bool {
		if (order[i] == duty.Holder) != (order[j] == duty.Holder) {
			return order[j] == duty.Holder
		}
		return order[i] < order[j]
	})
	for i, voter := range order {
		if voter == self {
			return time.Duration(i) * step, true
		}
	}
	return 0, false
}
