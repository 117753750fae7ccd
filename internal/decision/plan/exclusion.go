package plan

import (
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Reasons for excluding a server from routing. They appear in the causes of plans and
// in explanations of routing decisions.
const (
	ReasonDraining    = "draining"
	ReasonLeaving     = "leaving"
	ReasonGone        = "gone"
	ReasonUnreachable = "unreachable"
	ReasonEvacuated   = "evacuated"
)

// ExclusionReason returns the reason for which a server is excluded from routing, or
// "" if it may receive requests.
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

// IsEvacuated reports whether a zone, or the region that contains it, is evacuated.
func IsEvacuated(state statemachine.State, region, zone string) bool {
	if len(state.Evacuated) == 0 {
		return false
	}
	_, regionEvacuated := state.Evacuated[region]
	_, zoneEvacuated := state.Evacuated[sheet.ZoneName(region, zone)]
	return regionEvacuated || zoneEvacuated
}
