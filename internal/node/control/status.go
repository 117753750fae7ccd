package control

import (
	"context"
	"slices"
	"strings"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// The body of the response to the verb "status". docs/API.md defines its JSON form.

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
	HasLease  bool   `json:"granted"`
	Refuses   bool   `json:"gone"`
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
	ReportedBy      string                           `json:"by"`
	Version         uint64                           `json:"epoch"`
	SheetVersion    uint64                           `json:"sheet_epoch"`
	InForce         bool                             `json:"in_force"`
	Missing         string                           `json:"waiting,omitempty"`
	Confirmed       int                              `json:"confirmed"`
	Roster          int                              `json:"roster"`
	RosterVersion   uint64                           `json:"roster_epoch"`
	RosterCommitted bool                             `json:"roster_settled"`
	Evacuated       map[string]uint64                `json:"evacuated,omitempty"`
	Cores           []coreStatus                     `json:"cores"`
	Members         []memberStatus                   `json:"members"`
	Roles           map[string]statemachine.RoleTerm `json:"duties,omitempty"`
	Plan            *planStatus                      `json:"plan,omitempty"`
	Servers         int                              `json:"servers"`
}

// controllerState is the owner's contribution to a status.
type controllerState struct {
	state   statemachine.State
	plan    *wire.Plan
	servers int
}

// status returns the status of the fleet as seen by this core. Unlike a read, it is
// not confirmed by a majority.
func (c *Controller) status(ctx context.Context) (*wire.OrderResponse, error) {
	current, err := callOwner(ctx, c, func() controllerState {
		return controllerState{state: c.state, plan: c.planner.current, servers: len(c.reports.store.Servers())}
	})
	if err != nil {
		return nil, err
	}
	views := c.collectViews(ctx, &wire.LeaseViewRequest{Epoch: current.state.Version}, nil)
	check := c.newConfirmationCheck(current.state.Version, current.state)
	check.Views = views
	return okResponse(c.newFleetStatus(current, check), current.state.Version), nil
}

func (c *Controller) newFleetStatus(current controllerState, check lease.ConfirmationCheck) fleetStatus {
	state := current.state
	confirmed, missing := lease.VersionConfirmed(check)
	return fleetStatus{
		ReportedBy:      c.config.Self,
		Version:         state.Version,
		SheetVersion:    state.SheetVersion,
		InForce:         confirmed,
		Missing:         missing,
		Confirmed:       lease.CountConfirmations(check).Confirmed,
		Roster:          len(state.Roster),
		RosterVersion:   state.RosterVersion,
		RosterCommitted: state.RosterCommitted(),
		Evacuated:       state.Evacuated,
		Roles:           state.Roles,
		Plan:            newPlanStatus(current.plan),
		Servers:         current.servers,
		Cores:           c.coreStatuses(check.Views),
		Members:         memberStatusList(state.Roster, check.Views),
	}
}

// coreStatuses returns the status of each voter, sorted by name; never nil.
func (c *Controller) coreStatuses(views []*wire.LeaseViewResponse) []coreStatus {
	voters := slices.Clone(c.replica.Voters())
	slices.Sort(voters)
	statuses := make([]coreStatus, 0, len(voters))
	for _, voter := range voters {
		statuses = append(statuses, c.newCoreStatus(voter, views))
	}
	return statuses
}

func (c *Controller) newCoreStatus(voter string, views []*wire.LeaseViewResponse) coreStatus {
	status := coreStatus{Name: voter, Standing: c.standingOf(voter)}
	for _, view := range views {
		if view.Core == voter {
			status.Answered = true
			status.Learned = view.Learned
			status.Settled = view.Settled
			status.Leases = len(view.Confirmed) + len(view.Waiting)
		}
	}
	return status
}

func (c *Controller) standingOf(voter string) string {
	if voter == c.config.Self {
		return standingName(c.replica.Standing())
	}
	if core, ok := c.peers.Process(voter); ok {
		return standingName(core.Standing)
	}
	return standingUnknown
}

const standingUnknown = "unknown"

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
	return standingUnknown
}

// memberStatusList returns the status of each member of a roster, sorted by name;
// never nil.
func memberStatusList(roster map[string]statemachine.Member, views []*wire.LeaseViewResponse) []memberStatus {
	statuses := make([]memberStatus, 0, len(roster))
	for name, member := range roster {
		status := memberStatus{
			Name:  name,
			Zone:  sheet.ZoneName(member.Region, member.Zone),
			Core:  member.Core,
			Front: member.Front,
		}
		for _, view := range views {
			confirmed := hasIncarnationOf(name, view.Confirmed)
			status.Confirmed = status.Confirmed || confirmed
			status.HasLease = status.HasLease || confirmed || hasIncarnationOf(name, view.Waiting)
			status.Refuses = status.Refuses || slices.Contains(view.Gone, name)
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b memberStatus) int { return strings.Compare(a.Name, b.Name) })
	return statuses
}

func newPlanStatus(plan *wire.Plan) *planStatus {
	if plan == nil {
		return nil
	}
	return &planStatus{
		Term:    plan.Term,
		Number:  plan.Number,
		Version: plan.Epoch,
		Holder:  plan.Holder,
		Cause:   plan.Cause,
		AtMS:    plan.AtMs,
	}
}
