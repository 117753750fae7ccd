package confirm

import (
	"fmt"

	"stepwick/internal/decision/lease"
)

// Violation is a broken rule, as the checker found it.
type Violation struct {
	Mix  string
	Seed uint64
	AtMS int64
	Node string
	Rule string
	// Version is what the node serves by, Newer the version that it should, which
	// was acknowledged at AcknowledgedMS.
	Version        uint64
	Newer          uint64
	AcknowledgedMS int64
	Source         lease.Source
	// Faults are the last faults before, oldest first.
	Faults []string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("mix %s, seed %d at %d ms: %s %s (epoch %d, newer %d acknowledged at %d ms, by %s); faults: %v",
		v.Mix, v.Seed, v.AtMS, v.Node, v.Rule, v.Version, v.Newer, v.AcknowledgedMS, v.Source, v.Faults)
}

// Outcome is the result of a run.
type Outcome struct {
	Violation    *Violation // nil if none was found
	Chosen       int        // commands
	Orders       int        // that were proposed
	Acknowledged int        // orders
	// ServingRatio is the fraction of samples in which a running front could serve.
	ServingRatio  float64
	RosterChanges int // completed
}
