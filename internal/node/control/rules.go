package control

import (
	"context"
	"slices"

	"stepwick/internal/decision/statemachine"
)

// While a fleet is upgraded one process after another, those of an older release apply some
// commands in another way. Such a command is proposed in the form that all apply alike.

// proposable returns the command as this core may propose it now. It runs in the owner.
func (c *Controller) proposable(command statemachine.Command) statemachine.Command {
	if c.allApplyRules() {
		return command
	}
	return statemachine.Unconditional(command)
}

// proposableOrder is proposable for callers outside the owner. The error is the context's.
func (c *Controller) proposableOrder(ctx context.Context, command statemachine.Command) (statemachine.Command, error) {
	return callOwner(ctx, c, func() statemachine.Command { return c.proposable(command) })
}

// allApplyRules reports whether the members on the roster and the voting cores announce this
// release's level of the rules. Those whose record is unknown are left out.
func (c *Controller) allApplyRules() bool {
	voters := c.replica.Voters()
	for _, process := range c.peers.Processes() {
		_, isMember := c.state.Roster[process.Name]
		applies := isMember || slices.Contains(voters, process.Name)
		if applies && process.RulesLevel < statemachine.RulesLevel {
			return false
		}
	}
	return true
}
