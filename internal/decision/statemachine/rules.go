package statemachine

// RulesLevel is the newest level of the rules of this package. Processes announce theirs,
// because a rule that changes what a command does must not act before all processes of the
// fleet apply it: their states would differ for good.
//
//   - Level 1: an order on a zone or the roster, and a change of the roster by a core, is
//     rejected if it was decided on an older version than its rule allows.
//
// Releases before level 1 ignore the version that a command was decided on.
const RulesLevel = 1

// conditionalCommand is a command that may state the version that it was decided on, by
// the rules of level 1.
type conditionalCommand interface {
	Command
	// unconditional returns the command without that version.
	unconditional() Command
}

// Unconditional returns the command in the form that every level applies alike: without
// the version that it was decided on. Commands that changed with no level are returned as
// they are.
func Unconditional(command Command) Command {
	if conditional, ok := command.(conditionalCommand); ok {
		return conditional.unconditional()
	}
	return command
}

func (c Evacuate) unconditional() Command {
	c.Order = withoutBase(c.order())
	return c
}

func (c Restore) unconditional() Command {
	c.Order = withoutBase(c.order())
	return c
}

func (c AddMembers) unconditional() Command {
	c.RosterVersion = 0
	return c
}

func (c RemoveMembers) unconditional() Command {
	c.Order = withoutBase(c.order())
	c.RosterVersion = 0
	return c
}

// withoutBase returns an order, whose digest is filled in, without its base.
func withoutBase(order Order) Order {
	order.Base = 0
	return order
}
