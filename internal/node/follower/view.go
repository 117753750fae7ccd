// Package follower is a front's control owner: it renews the front's leases,
// follows the feed, pings the roster, keeps fleet time, and publishes what the
// traffic owners decide by as immutable views.
package follower

import (
	"slices"
	"sort"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// View is what a front knows at one moment. It is never changed after it was
// published.
type View struct {
	State   sheet.State
	Index   *sheet.Index
	Plan    *wire.Plan                    // nil before the first
	Servers map[string]*wire.ServerStatus // by name
	Verdict lease.Authority
	Fronts  []*wire.Process // live fronts by name; Ready tells which take traffic
	Roster  []string        // names of the fronts on the roster, sorted
	Live    []string        // those of them that are not known to be gone
	Silent  []string        // those of the live ones that don't answer

	version uint64 // of Servers
}

// Status is the JSON form of a front's control state.
type Status struct {
	Name         string            `json:"name"`
	Zone         string            `json:"locality"`
	Version      uint64            `json:"epoch"`
	SheetVersion uint64            `json:"sheet_epoch"`
	Ruling       bool              `json:"ruling"`
	By           string            `json:"by"`
	Plan         uint64            `json:"plan"`
	PlanTerm     uint64            `json:"plan_term"`
	PlanHolder   string            `json:"plan_holder,omitempty"`
	Servers      map[string]string `json:"servers"`
	Roster       []string          `json:"roster"`
	Fronts       []string          `json:"fronts"`
	FleetTimeMS  int64             `json:"fleet_time_ms"`
}

// Status describes the view at fleet time now.
func (v *View) Status(name, zone string, ruling bool, now time.Time) Status {
	s := Status{Name: name, Zone: zone, Version: v.State.Version, SheetVersion: v.State.SheetVersion,
		Ruling: ruling, By: string(v.Verdict.Source), Servers: map[string]string{}, Roster: v.Roster, FleetTimeMS: now.UnixMilli()}
	if v.Plan != nil {
		s.Plan, s.PlanTerm, s.PlanHolder = v.Plan.Number, v.Plan.Term, v.Plan.Holder
	}
	for server, status := range v.Servers {
		s.Servers[server] = stateName(status)
	}
	for _, p := range v.Fronts {
		s.Fronts = append(s.Fronts, p.Name)
	}
	return s
}

// Sharers names the fronts that share what is bounded over the fleet: those
// that take traffic, and the members that are silent without being known to be
// gone, who may go on sending from the far side of a cut.
func (v *View) Sharers() []string {
	names := slices.Clone(v.Silent)
	for _, front := range v.Fronts {
		if front.Front && front.Ready && !front.Leaving && !slices.Contains(v.Silent, front.Name) {
			names = append(names, front.Name)
		}
	}
	return names
}

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

func rosterNames(state sheet.State) []string {
	names := make([]string, 0, len(state.Roster))
	for name, member := range state.Roster {
		if member.Front {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
