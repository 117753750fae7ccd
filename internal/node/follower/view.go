package follower

import (
	"slices"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// View is what a front knows at one moment. It is immutable once it is published.
type View struct {
	// State is the configuration; its zero value before one was learned.
	State statemachine.State
	// Index finds tenants and keys in State.
	Index *sheet.Index
	// Plan is the latest plan of the traffic, nil before the first.
	Plan *wire.Plan
	// Servers are the merged reports on each server, by name.
	Servers map[string]*wire.ServerStatus
	// Authority is whether the front could decide when the view was published;
	// Follower.HasAuthority reports whether it still can.
	Authority lease.Authority
	// Fronts are the live fronts, by name; their Ready says which take traffic.
	Fronts []*wire.Process
	// Roster are the names of the fronts on the roster, sorted.
	Roster []string
	// Live are those of Roster that are not known to have left.
	Live []string
	// Unresponsive are those of Live that don't answer. They may go on beyond a
	// partition.
	Unresponsive []string

	serversVersion uint64 // of Servers
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

// Status returns the JSON form of the view at fleet time now.
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
		status.Servers[server] = stateName(serverStatus)
	}
	for _, front := range v.Fronts {
		status.Fronts = append(status.Fronts, front.Name)
	}
	return status
}

// Sharers returns the names of the fronts that share what is limited over the
// fleet: those that take traffic, and the members that are unresponsive without
// being known to have left, as these may go on sending beyond a partition.
func (v *View) Sharers() []string {
	names := slices.Clone(v.Unresponsive)
	for _, front := range v.Fronts {
		if front.Front && front.Ready && !front.Leaving && !slices.Contains(v.Unresponsive, front.Name) {
			names = append(names, front.Name)
		}
	}
	return names
}

// SameFronts reports whether an earlier view has the same live and unresponsive
// fronts.
func (v *View) SameFronts(previous *View) bool {
	return isSameList(v.Fronts, previous.Fronts) && isSameList(v.Unresponsive, previous.Unresponsive)
}

// equals reports whether a view equals an earlier one for its readers. Until when
// the authority lasts is not compared: HasAuthority reports that.
func (v *View) equals(previous *View) bool {
	sameConfiguration := v.State.Version == previous.State.Version && v.Index == previous.Index
	sameServers := v.Plan == previous.Plan && v.serversVersion == previous.serversVersion
	sameAuthority := v.Authority.Granted == previous.Authority.Granted && v.Authority.Source == previous.Authority.Source
	return sameConfiguration && sameServers && sameAuthority && isSameList(v.Live, previous.Live) && v.SameFronts(previous)
}

// isSameList reports whether two lists share their memory. It is enough to find an
// unchanged list, as the next view reuses a list that is equal.
func isSameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// stateName returns the name of a server's state in the status.
func stateName(status *wire.ServerStatus) string {
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

// rosterFronts returns the names of the fronts on the roster, sorted.
func rosterFronts(state statemachine.State) []string {
	names := make([]string, 0, len(state.Roster))
	for name, member := range state.Roster {
		if member.Front {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
