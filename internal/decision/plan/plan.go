// Package plan computes the plan of each period. A plan contains, for each service
// and region of origin, the share of the traffic that goes to each region, and for
// each server the cap on its requests in flight from all fronts together. The
// computation is pure: equal inputs give equal plans, so that a new leader continues
// where the previous one stopped.
//
// A plan remains in force for its period, regardless of load. Only the loss, drain or
// evacuation of a server with a positive cap in the plan forces a new plan earlier;
// see ReplanCause. Plans are ordered by (term, number); see Newer.
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

// Input contains everything that a plan is computed from.
type Input struct {
	State   statemachine.State
	Servers map[string]*wire.ServerStatus
	Fronts  []statemachine.Member
	// Current is the plan in force, nil if there is none. Compute does not read it.
	Current *wire.Plan
	// Term is the leader's term, Number the plan's number in that term, and Holder the
	// leader's name.
	Term   uint64
	Number uint64
	Holder string
	// Now is the fleet time at which the plan's Period begins.
	Now    time.Time
	Period time.Duration
	// Cause tells operators why the plan was computed.
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

// ReplanCause reports whether a new plan is required before the period ends, and why:
// there is no plan yet, or a server with a positive cap in the current plan failed,
// drains or was evacuated. Nothing else forces a new plan within a period.
func ReplanCause(current *wire.Plan, input Input) (cause string, forced bool) {
	if current == nil {
		return "first", true
	}
	for _, limit := range current.Caps {
		if limit.InFlight == 0 {
			continue
		}
		if cause := lossCause(input, limit.Server); cause != "" {
			return cause, true
		}
	}
	return "", false
}

// lossCause returns the cause for which a server of the current plan may no longer
// receive requests, or "" if it still may.
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

// PeriodOver reports whether the current plan's period has ended, or there is no plan.
// now is fleet time.
func PeriodOver(current *wire.Plan, now time.Time) bool {
	return current == nil || now.UnixMilli() >= current.AtMs+int64(current.PeriodMs)
}

// Supersedes reports whether plan a supersedes plan b, that is, has the higher
// (term, number). Any plan supersedes nil.
func Supersedes(a, b *wire.Plan) bool {
	if a == nil || b == nil {
		return a != nil
	}
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Number, b.Number)) > 0
}
