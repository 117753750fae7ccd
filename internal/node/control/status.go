package control

import (
	"context"
	"slices"
	"sort"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

type coreStatus struct {
	Name     string `json:"name"`
	Standing string `json:"standing"`
	Answered bool   `json:"answered"`
	Learned  uint64 `json:"learned"`
	Settled  bool   `json:"settled"`
	Leases   int    `json:"leases"`
}

type memberStatus struct {
	Name      string `json:"name"`
	Zone      string `json:"locality"`
	Core      bool   `json:"core"`
	Front     bool   `json:"front"`
	Confirmed bool   `json:"confirmed"`
	Granted   bool   `json:"granted"`
	Gone      bool   `json:"gone"`
}

type planStatus struct {
	Term    uint64 `json:"term"`
	Number  uint64 `json:"number"`
	Version uint64 `json:"epoch"`
	Holder  string `json:"holder"`
	Cause   string `json:"cause"`
	AtMS    int64  `json:"at_ms"`
}

type fleetStatus struct {
	By            string                           `json:"by"`
	Version       uint64                           `json:"epoch"`
	SheetVersion  uint64                           `json:"sheet_epoch"`
	InForce       bool                             `json:"in_force"`
	Waiting       string                           `json:"waiting,omitempty"`
	Confirmed     int                              `json:"confirmed"`
	Roster        int                              `json:"roster"`
	RosterVersion uint64                           `json:"roster_epoch"`
	RosterSettle  bool                             `json:"roster_settled"`
	Evacuated     map[string]uint64                `json:"evacuated,omitempty"`
	Cores         []coreStatus                     `json:"cores"`
	Members       []memberStatus                   `json:"members"`
	Duties        map[string]statemachine.RoleTerm `json:"duties,omitempty"`
	Plan          *planStatus                      `json:"plan,omitempty"`
	Servers       int                              `json:"servers"`
}

// status tells how this core sees the fleet; it is no read-back.
func (c *Core) status(ctx context.Context) (*wire.OrderResponse, error) {
	type owned struct {
		state   statemachine.State
		plan    *wire.Plan
		servers int
	}
	own, err := ask(ctx, c, func() owned { return owned{c.state, c.plan, len(c.reports.merged.Servers())} })
	if err != nil {
		return nil, err
	}
	state := own.state
	views := c.views(ctx, &wire.LeaseViewRequest{Epoch: state.Version}, nil)
	voters := slices.Clone(c.agreement.Voters())
	slices.Sort(voters)
	question := lease.Question{Version: state.Version, Voters: len(voters), Views: views, Roster: state.Roster, Prior: state.PriorRoster}
	met, why := lease.InForce(question)
	s := fleetStatus{By: c.config.Self, Version: state.Version, SheetVersion: state.SheetVersion, InForce: met, Waiting: why,
		Confirmed: lease.Confirmations(question).Confirmed, Roster: len(state.Roster), RosterVersion: state.RosterVersion,
		RosterSettle: state.RosterCommitted(), Evacuated: state.Evacuated, Duties: state.Roles,
		Plan: planSummary(own.plan), Servers: own.servers, Cores: []coreStatus{}, Members: []memberStatus{}}
	for _, voter := range voters {
		s.Cores = append(s.Cores, c.coreStatus(voter, views))
	}
	for name, member := range state.Roster {
		m := memberStatus{Name: name, Zone: sheet.ZoneName(member.Region, member.Zone), Core: member.Core, Front: member.Front}
		for _, view := range views {
			m.Confirmed = m.Confirmed || listed(view.Confirmed, name)
			m.Granted = m.Granted || listed(view.Confirmed, name) || listed(view.Waiting, name)
			m.Gone = m.Gone || slices.Contains(view.Gone, name)
		}
		s.Members = append(s.Members, m)
	}
	sort.Slice(s.Members, func(i, j int) bool { return s.Members[i].Name < s.Members[j].Name })
	return answered(s, state.Version), nil
}

func (c *Core) coreStatus(voter string, views []*wire.LeaseViewResponse) coreStatus {
	s := coreStatus{Name: voter, Standing: "unknown"}
	if p, ok := c.peers.Process(voter); ok {
		s.Standing = standingName(p.Standing)
	}
	if voter == c.config.Self {
		s.Standing = standingName(c.agreement.Standing())
	}
	for _, view := range views {
		if view.Core == voter {
			s.Answered, s.Learned, s.Settled = true, view.Learned, view.Settled
			s.Leases = len(view.Confirmed) + len(view.Waiting)
		}
	}
	return s
}

func standingName(standing wire.Standing) string {
	switch standing {
	case wire.Standing_STANDING_BLANK:
		return "blank"
	case wire.Standing_STANDING_AMNESIAC:
		return "amnesiac"
	case wire.Standing_STANDING_VOTING:
		return "voting"
	case wire.Standing_STANDING_DISK_FULL:
		return "disk_full"
	}
	return "unknown"
}

// listed tells whether any life of a member is among the ids of a view.
func listed(ids []string, name string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		known, _ := lease.ParseMemberID(id)
		return known == name
	})
}
