package follower

import (
	"slices"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// View is a front's control state at one instant. It is immutable once it is
// published.
type View struct {
	// State is the configuration; the zero value until one was received.
	State statemachine.State
	// Index looks up tenants and keys in State.
	Index *sheet.Index
	// Plan is the latest traffic plan; nil before the first.
	Plan *wire.Plan
	// Servers holds the status of each server, merged from the reports on it, by
	// name.
	Servers map[string]*wire.ServerStatus
	// Authority is the front's authority when the view was published;
	// Follower.HasAuthority reports whether it still has any.
	Authority lease.Authority
	// Fronts holds the live fronts, sorted by name. Those with Ready set take
	// traffic.
	Fronts []*wire.Process
	// Roster holds the names of the fronts on the roster, sorted.
	Roster []string
	// Remaining holds the names on Roster that are not known to have left.
	Remaining []string
	// Unresponsive holds the names in Remaining of the fronts that don't answer. They
	// may still be serving on the other side of a partition.
	Unresponsive []string
	// Refusing holds the names in Unresponsive of the fronts that refuse connections.
	Refusing []string

	serversVersion uint64 // version of Servers, as of serverstatus.ReportStore.Version
}

// Status is the JSON form of a front's control state.
type Status struct {
	Name            string            `json:"name"`
	Zone            string            `json:"locality"`
	Version         uint64            `json:"epoch"`
	SheetVersion    uint64            `json:"sheet_epoch"`
	HasAuthority    bool              `json:"ruling"`
	AuthoritySource string            `json:"by"`
	Plan            uint64            `json:"plan"`
	PlanTerm        uint64            `json:"plan_term"`
	PlanHolder      string            `json:"plan_holder,omitempty"`
	Servers         map[string]string `json:"servers"`
	Roster          []string          `json:"roster"`
	Fronts          []string          `json:"fronts"`
	FleetTimeMS     int64             `json:"fleet_time_ms"`
}

// Status returns the JSON form of the view. now is fleet time.
func (v *View) Status(name, zone string, hasAuthority bool, now time.Time) Status {
	status := Status{
		Name:            name,
		Zone:            zone,
		Version:         v.State.Version,
		SheetVersion:    v.State.SheetVersion,
		HasAuthority:    hasAuthority,
		AuthoritySource: string(v.Authority.Source),
		Servers:         map[string]string{},
		Roster:          v.Roster,
		FleetTimeMS:     now.UnixMilli(),
	}
	if v.Plan != nil {
		status.Plan = v.Plan.Number
		status.PlanTerm = v.Plan.Term
		status.PlanHolder = v.Plan.Holder
	}
	for server, serverStatus := range v.Servers {
		status.Servers[server] = serverStateName(serverStatus)
	}
	for _, front := range v.Fronts {
		status.Fronts = append(status.Fronts, front.Name)
	}
	return status
}

// LimitSharers returns the names of the fronts that share fleet-wide limits: those that
// take traffic, and the unresponsive members that are not known to have left,
// because they may still be sending on the other side of a partition.
func (v *View) LimitSharers() []string {
	names := slices.Clone(v.Unresponsive)
	for _, front := range v.Fronts {
		if front.Front && front.Ready && !front.Leaving && !slices.Contains(v.Unresponsive, front.Name) {
			names = append(names, front.Name)
		}
	}
	return names
}

// HasSameFronts reports whether an earlier view has the same live fronts and the same
// unresponsive fronts.
func (v *View) HasSameFronts(previous *View) bool {
	return sharesBackingArray(v.Fronts, previous.Fronts) && sharesBackingArray(v.Unresponsive, previous.Unresponsive) &&
		sharesBackingArray(v.Refusing, previous.Refusing)
}

// equals reports whether a view equals an earlier one for its readers. The expiry
// of the authority is not compared, because readers use HasAuthority for it.
func (v *View) equals(previous *View) bool {
	sameConfiguration := v.State.Version == previous.State.Version && v.Index == previous.Index
	sameServers := v.Plan == previous.Plan && v.serversVersion == previous.serversVersion
	sameAuthority := v.Authority.Granted == previous.Authority.Granted && v.Authority.Source == previous.Authority.Source
	return sameConfiguration && sameServers && sameAuthority && sharesBackingArray(v.Remaining, previous.Remaining) && v.HasSameFronts(previous)
}

// sharesBackingArray reports whether two lists have the same length and memory.
// That suffices to detect an unchanged list, because the next view reuses a list
// that is equal.
func sharesBackingArray[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// serverStateName returns the name of a server's state in Status. A ready server
// that is unreachable is "dark".
func serverStateName(status *wire.ServerStatus) string {
	switch status.State {
	case wire.ServerState_SERVER_STATE_READY:
		if !status.Reachable {
			return "dark"
		}
		return "ready"
	case wire.ServerState_SERVER_STATE_COLD:
		return "cold"
	case wire.ServerState_SERVER_STATE_DRAINING:
		return "draining"
	case wire.ServerState_SERVER_STATE_LEAVING:
		return "leaving"
	case wire.ServerState_SERVER_STATE_GONE:
		return "gone"
	}
	return "unknown"
}

// rosterFrontNames returns the names of the fronts on the roster, sorted.
func rosterFrontNames(state statemachine.State) []string {
	names := make([]string, 0, len(state.Roster))
	for name, member := range state.Roster {
		if member.Front {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
