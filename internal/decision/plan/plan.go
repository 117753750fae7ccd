// Package plan computes the plan of each period: for every service and region of
// origin the shares of its traffic over the regions, and for every server the cap
// of requests in flight from all fronts together. It is pure: equal inputs give
// equal plans, so that a new leader continues where the last one stopped.
//
// A plan stays in force for its period whatever the load does; only the loss, the
// drain or the evacuation of a server that it gives requests to forces a new one
// early (ReplanCause). Plans are ordered by (term, number), see Newer.
package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Input is all that a plan is computed from.
type Input struct {
	State   statemachine.State
	Servers map[string]*wire.ServerStatus
	Fronts  []statemachine.Member
	// Prior is the plan in force, nil when there is none.
	Prior *wire.Plan
	// Term is the leader's term, Number the plan's in that term, Holder the leader.
	Term   uint64
	Number uint64
	Holder string
	// Now is fleet time, at which the plan's Period begins.
	Now    time.Time
	Period time.Duration
	// Cause is why the plan is computed, for operators.
	Cause  string
	Policy Policy
}

// Compute returns the plan of the period that begins at input.Now.
func Compute(input Input) *wire.Plan {
	policy := input.Policy.withSettings(input.State.Sheet).WithDefaults()
	next := &wire.Plan{
		Term:     input.Term,
		Number:   input.Number,
		Epoch:    input.State.Version,
		AtMs:     input.Now.UnixMilli(),
		PeriodMs: uint32(input.Period.Milliseconds()),
		Holder:   input.Holder,
		Cause:    input.Cause,
	}
	next.Shares = Shares(input.State, input.Servers, input.Fronts, policy)
	for _, name := range slices.Sorted(maps.Keys(input.Servers)) {
		status := input.Servers[name]
		if ExclusionReason(input.State, status) == "" {
			next.Caps = append(next.Caps, &wire.Cap{Server: name, InFlight: uint32(policy.Cap(status))})
		}
	}
	return next
}

// ReplanCause reports whether a server that the plan in force gives requests to is
// lost, and the failure, drain or evacuation that forces a new plan. Nothing else
// does within a period.
func ReplanCause(prior *wire.Plan, input Input) (cause string, forced bool) {
	if prior == nil {
		return "first", true
	}
	for _, limit := range prior.Caps {
		if limit.InFlight == 0 {
			continue
		}
		if cause := lossCause(input, limit.Server); cause != "" {
			return cause, true
		}
	}
	return "", false
}

// lossCause returns why a server may get no requests any more, "" when it may.
func lossCause(input Input, server string) string {
	status := input.Servers[server]
	if status == nil {
		return "failure: " + server + " gone"
	}
	switch reason := ExclusionReason(input.State, status); reason {
	case "":
		return ""
	case ReasonDraining, ReasonLeaving:
		return "drain: " + server + " " + reason
	case ReasonEvacuated:
		return "evacuation: " + sheet.ZoneName(status.Region, status.Zone)
	default:
		return "failure: " + server + " " + reason
	}
}

// PeriodOver reports whether the plan's period has ended, or there is no plan. now
// is fleet time.
func PeriodOver(prior *wire.Plan, now time.Time) bool {
	return prior == nil || now.UnixMilli() >= prior.AtMs+int64(prior.PeriodMs)
}

// Newer reports whether plan a replaces plan b: the one of the higher (term, number)
// does. Any plan replaces none.
func Newer(a, b *wire.Plan) bool {
	if a == nil || b == nil {
		return a != nil
	}
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Number, b.Number)) > 0
}
