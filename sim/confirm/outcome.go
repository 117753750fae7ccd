package confirm

import (
	"fmt"

	"stepwick/internal/decision/lease"
)

// Violation is the violation of a checked property.
type Violation struct {
	Mix  string
	Seed uint64
	AtMS int64
	Node string
	Rule string
	// Version is the version with which the node serves, RequiredVersion the lowest
	// permitted one. It was acknowledged at AcknowledgedMS, which is zero if the node
	// reverted from a version with which it had served.
	Version         uint64
	RequiredVersion uint64
	AcknowledgedMS  int64
	Source          lease.Source
	// Faults lists the last faults before the violation, oldest first.
	Faults []string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("mix %s, seed %d at %d ms: %s %s (version %d, required version %d acknowledged at %d ms, authority %s); faults: %v",
		v.Mix, v.Seed, v.AtMS, v.Node, v.Rule, v.Version, v.RequiredVersion, v.AcknowledgedMS, v.Source, v.Faults)
}

// Outcome is the result of a run.
type Outcome struct {
	Violation    *Violation // the first violation, or nil
	Chosen       int        // number of chosen commands
	Orders       int        // number of chosen orders
	Acknowledged int        // number of acknowledged orders
	// ServingRatio is the fraction of samples in which a running front had the authority
	// to serve.
	ServingRatio  float64
	RosterChanges int // number of committed roster changes
}
