// Package election decides which core is the leader for a singleton role, such as
// the planner. It decides only who may campaign and when; the state machine of
// the cores grants a term to the first candidate whose command is chosen. All that
// a leader publishes carries its term, which serves as a fencing token: receivers
// drop what carries a lower one. So two cores that both believe to be the leader
// do no harm.
//
// The package does no I/O and reads no clock. In the agreed state a role is a
// statemachine.RoleTerm and its leader the duty's holder.
package election

import (
	"slices"
	"strings"
	"time"

	"stepwick/internal/decision/statemachine"
)

// Planner is the role of computing the plan of each period.
const Planner = "planner"

// Observation is what one core knows of the leader of a role.
type Observation struct {
	Core string
	// HolderAlive reports whether the leader holds a lease there or answers that
	// core.
	HolderAlive bool
}

// Vacant reports whether a core may campaign for a role: it never had a leader, or
// a majority of the voters observes that the leader's lease has expired or its
// process is gone. Cores without an observation count as if it were alive, and
// those that are no voters don't count.
func Vacant(role statemachine.RoleTerm, voters []string, observations []Observation) bool {
	if role.Holder == "" {
		return true
	}
	observedLost := map[string]bool{}
	for _, observation := range observations {
		if !observation.HolderAlive {
			observedLost[observation.Core] = true
		}
	}
	count := 0
	for _, voter := range voters {
		if observedLost[voter] {
			count++
		}
	}
	return count > len(voters)/2
}

// CandidateDelay returns how long a core waits, from when it found a role vacant,
// before it campaigns: its position among the voters times the step, so that
// candidates rarely compete. The leader of the last term comes last. For a core
// that is no voter, which never campaigns, voter is false.
func CandidateDelay(self string, role statemachine.RoleTerm, voters []string, step time.Duration) (delay time.Duration, voter bool) {
	candidates := slices.Clone(voters)
	slices.SortFunc(candidates, func(a, b string) int {
		switch {
		case a == b:
			return 0
		case a == role.Holder:
			return 1
		case b == role.Holder:
			return -1
		}
		return strings.Compare(a, b)
	})
	position := slices.Index(candidates, self)
	if position < 0 {
		return 0, false
	}
	return time.Duration(position) * step, true
}
