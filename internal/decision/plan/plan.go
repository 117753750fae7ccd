// Package plan decides the period plan: for each service and region of origin
// the shares over regions, and for each server the bound of requests in flight
// over all fronts. It is pure: equal inputs give equal plans.
package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// Input is all that a plan is worked out from. Now is fleet time. Prior is the
// plan in force, nil when there is none.
type Input struct {
	State   sheet.State
	Servers map[string]*wire.ServerStatus
	Fronts  []sheet.Member
	Prior   *wire.Plan
	Term    uint64
	Number  uint64
	Holder  string
	Now     time.Time
	Period  time.Duration
	Cause   string
	Policy  Policy
}

// Compute works out the plan of the period that begins at in.Now.
func Compute(in Input) *wire.Plan {
	policy := in.Policy.under(in.State.Sheet).WithDefaults()
	next := &wire.Plan{Term: in.Term, Number: in.Number, Epoch: in.State.Version, AtMs: in.Now.UnixMilli(),
		PeriodMs: uint32(in.Period.Milliseconds()), Holder: in.Holder, Cause: in.Cause}
	next.Shares = Shares(in.State, in.Servers, in.Fronts, policy)
	for _, name := range slices.Sorted(maps.Keys(in.Servers)) {
		status := in.Servers[name]
		if ExclusionReason(in.State, status) == "" {
			next.Caps = append(next.Caps, &wire.Cap{Server: name, InFlight: uint32(policy.Cap(status))})
		}
	}
	return next
}

// ReplanCause tells whether a server or a region that the plan in force counts on
// is lost, and which failure, drain or evacuation forces a new plan. Nothing
// else does: the plan stands for its period.
func ReplanCause(prior *wire.Plan, in Input) (cause string, forced bool) {
	if prior == nil {
		return "first", true
	}
	for _, c := range prior.Caps {
		if c.InFlight == 0 {
			continue
		}
		status := in.Servers[c.Server]
		if status == nil {
			return "failure: " + c.Server + " gone", true
		}
		switch why := ExclusionReason(in.State, status); why {
		case "":
		case ReasonDraining, ReasonLeaving:
			return "drain: " + c.Server + " " + why, true
		case ReasonEvacuated:
			return "evacuation: " + sheet.ZoneName(status.Region, status.Zone), true
		default:
			return "failure: " + c.Server + " " + why, true
		}
	}
	return "", false
}

// PeriodOver tells whether the plan's period has ended. now is fleet time.
func PeriodOver(prior *wire.Plan, now time.Time) bool {
	return prior == nil || now.UnixMilli() >= prior.AtMs+int64(prior.PeriodMs)
}

// Newer tells whether a plan replaces another: the higher (term, number) does.
func Newer(a, b *wire.Plan) bool {
	if a == nil || b == nil {
		return a != nil
	}
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Number, b.Number)) > 0
}

// Reasons why a server gets nothing.
const (
	ReasonDraining    = "draining"
	ReasonLeaving     = "leaving"
	ReasonGone        = "gone"
	ReasonUnreachable = "unreachable"
	ReasonEvacuated   = "evacuated"
)

// ExclusionReason returns the reason why a server may get no request, or "".
func ExclusionReason(state sheet.State, status *wire.ServerStatus) string {
	switch status.GetState() {
	case wire.ServerState_SERVER_STATE_DRAINING:
		return ReasonDraining
	case wire.ServerState_SERVER_STATE_LEAVING:
		return ReasonLeaving
	case wire.ServerState_SERVER_STATE_GONE:
		return ReasonGone
	}
	if IsEvacuated(state, status.GetRegion(), status.GetZone()) {
		return ReasonEvacuated
	}
	if !status.GetReachable() {
		return ReasonUnreachable
	}
	return ""
}

// IsEvacuated tells whether a region, or a zone in it, is evacuated.
func IsEvacuated(state sheet.State, region, zone string) bool {
	if len(state.Evacuated) == 0 {
		return false
	}
	_, whole := state.Evacuated[region]
	_, part := state.Evacuated[sheet.ZoneName(region, zone)]
	return whole || part
}

// Policy holds the numbers of the caps. SlowStartCap is the cap of a server that
// has answered nothing; each answer raises it by one up to the full cap: the
// server's slots and Slack of them more, queued at the server. DefaultModelSlots and
// DefaultWebSlots stand in for a server that does not tell its slots. Headroom is how
// much more than the requests now in flight the regions' room is judged by.
type Policy struct {
	SlowStartCap      int
	QueueFraction     float64
	DefaultModelSlots int
	DefaultWebSlots   int
	DemandHeadroom    float64
}

// WithDefaults fills what is zero: 2, 0.25, 8, 64, 1.25.
func (p Policy) WithDefaults() Policy {
	p.SlowStartCap = cmp.Or(p.SlowStartCap, 2)
	p.QueueFraction = cmp.Or(p.QueueFraction, 0.25)
	p.DefaultModelSlots = cmp.Or(p.DefaultModelSlots, 8)
	p.DefaultWebSlots = cmp.Or(p.DefaultWebSlots, 64)
	p.DemandHeadroom = cmp.Or(p.DemandHeadroom, 1.25)
	return p
}

// under puts what the sheet sets at run time over the policy.
func (p Policy) under(s *sheet.Sheet) Policy {
	if s == nil {
		return p
	}
	if start, err := strconv.Atoi(s.Settings["route.ramp_start"]); err == nil && start > 0 {
		p.SlowStartCap = start
	}
	return p
}

// FullCap returns the cap of a server that is warm.
func (p Policy) FullCap(status *wire.ServerStatus) int {
	slots := int(min(status.GetSlots(), 1<<16))
	if slots == 0 {
		slots = p.DefaultModelSlots
		if status.GetKind() == "web" {
			slots = p.DefaultWebSlots
		}
	}
	return slots + int(math.Ceil(float64(slots)*p.QueueFraction))
}

// SlowStartCapAfter returns the cap after a number of answers.
func (p Policy) SlowStartCapAfter(full int, answered uint64) int {
	return int(min(uint64(full), uint64(p.SlowStartCap)+answered))
}

// RecoveryCap returns the cap at which a server comes back that was away, or that
// says it is cold although it has answered before.
func (p Policy) RecoveryCap(full int) int { return min(full, max(p.SlowStartCap, full/4)) }

// Cap returns a server's cap by what it says of itself.
func (p Policy) Cap(status *wire.ServerStatus) int {
	full := p.FullCap(status)
	if status.GetState() == wire.ServerState_SERVER_STATE_COLD {
		full = p.RecoveryCap(full)
	}
	return p.SlowStartCapAfter(full, status.GetAnswered())
}
