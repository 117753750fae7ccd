package control

import (
	"context"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// confirmationRule is lease.VersionConfirmed or lease.RosterChangeConfirmed.
type confirmationRule func(lease.ConfirmationCheck) (confirmed bool, missing string)

// newConfirmationCheck returns the check of a version, without views, by the
// rosters of a state.
func (c *Controller) newConfirmationCheck(version uint64, state sheet.State) lease.ConfirmationCheck {
	return lease.ConfirmationCheck{
		Version:     version,
		Voters:      len(c.replica.Voters()),
		Roster:      state.Roster,
		PriorRoster: state.PriorRoster,
	}
}

// runCheck requests one round of lease views, adds them to the check and applies a
// rule to them. It returns as soon as the rule is met.
func (c *Controller) runCheck(ctx context.Context, check *lease.ConfirmationCheck, rule confirmationRule) (confirmed bool, missing string) {
	req := &wire.LeaseViewRequest{Epoch: check.Version}
	check.Views = c.collectViews(ctx, req, func(views []*wire.LeaseViewResponse) bool {
		check.Views = views
		confirmed, missing = rule(*check)
		return confirmed
	})
	if confirmed {
		return true, ""
	}
	// With less than a majority of views the rule has not been applied yet.
	return rule(*check)
}
