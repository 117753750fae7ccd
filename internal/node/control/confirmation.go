package control

import (
	"context"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// confirmationRule is either lease.VersionConfirmed or lease.RosterChangeConfirmed.
type confirmationRule func(lease.ConfirmationCheck) (confirmed bool, missing string)

// newConfirmationCheck returns a check of a version against the rosters of a state.
// Its views are still to be collected.
func (c *Controller) newConfirmationCheck(version uint64, state statemachine.State) lease.ConfirmationCheck {
	return lease.ConfirmationCheck{
		Version:     version,
		Voters:      len(c.replica.Voters()),
		Roster:      state.Roster,
		PriorRoster: state.PriorRoster,
	}
}

// runConfirmationRound collects one round of lease views into the check and applies
// a rule to it. It returns as soon as the rule is met.
func (c *Controller) runConfirmationRound(ctx context.Context, check *lease.ConfirmationCheck, rule confirmationRule) (confirmed bool, missing string) {
	req := &wire.LeaseViewRequest{Epoch: check.Version}
	check.Views = c.collectViews(ctx, req, func(views []*wire.LeaseViewResponse) bool {
		check.Views = views
		confirmed, missing = rule(*check)
		return confirmed
	})
	if confirmed {
		return true, ""
	}
	// collectViews applies the rule only if a majority of cores has answered.
	return rule(*check)
}
