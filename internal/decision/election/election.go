// Package election decides which cores may campaign for the leadership of a singleton
// role, such as the planner, and when. The replicated state machine grants a term to
// the first candidate whose command is chosen. Everything that a leader publishes
// carries its term as a fencing token, and receivers drop messages with a lower term.
// It is therefore safe if two cores temporarily consider themselves leader.
//
// The package does no I/O and reads no clock. In the replicated state, a role is a
// statemachine.RoleTerm and its leader is the Holder. On the wire and in logs a role
// is called a duty.
package election

import (
	"slices"
	"strings"
	"time"

	"stepwick/internal/decision/statemachine"
)

// Planner is the role that computes the plan of each period.
const Planner = "planner"

// Observation is one core's view of the leader of a role.
type Observation struct {
	Core string
	// HolderAlive is true if the leader holds a lease at the core or answers the core's
	// requests.
	HolderAlive bool
}

// Vacant reports whether cores may campaign for a role: the role never had a leader,
// or a majority of the voters observes that the leader's lease has expired or its
// process is gone. A voter without an observation counts as observing a live leader.
// Observations of cores that are not voters are ignored.
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
	lostCount := 0
	for _, voter := range voters {
		if observedLost[voter] {
			lostCount++
		}
	}
	return lostCount > len(voters)/2
}

// CandidateDelay returns how long a core waits after it has found a role vacant before
// it campaigns: its rank among the voters times the step, so that candidates rarely
// compete. The leader of the last term ranks last. isVoter is false for a core that is
// not a voter and must not campaign.
func CandidateDelay(self string, role statemachine.RoleTerm, voters []string, step time.Duration) (delay time.Duration, isVoter bool) {
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
