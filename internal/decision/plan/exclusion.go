package plan

import (
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Reasons why a server may get no requests. Their texts appear in a plan's cause
// and in explanations of routing.
const (
	ReasonDraining    = "draining"
	ReasonLeaving     = "leaving"
	ReasonGone        = "gone"
	ReasonUnreachable = "unreachable"
	ReasonEvacuated   = "evacuated"
)

// ExclusionReason returns the reason why a server may get no requests, "" when it
// may.
func ExclusionReason(state statemachine.State, status *wire.ServerStatus) string {
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

// IsEvacuated reports whether a zone, or the region that it is in, is evacuated.
func IsEvacuated(state statemachine.State, region, zone string) bool {
	if len(state.Evacuated) == 0 {
		return false
	}
	_, regionEvacuated := state.Evacuated[region]
	_, zoneEvacuated := state.Evacuated[sheet.ZoneName(region, zone)]
	return regionEvacuated || zoneEvacuated
}
