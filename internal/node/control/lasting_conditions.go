package control

import "time"

// condition names a condition that must hold without interruption for some time
// before the controller acts on it.
type condition string

// Conditions.
const (
	conditionMembersUnlisted   condition = "members unlisted"
	conditionMembersLost       condition = "members lost"
	conditionRosterUncommitted condition = "roster change uncommitted"
	conditionPlannerVacant     condition = "planner vacant"
	conditionServersReported   condition = "servers reported"
)

// conditionTimers records when each condition that holds was first seen to hold.
type conditionTimers map[condition]time.Time

// heldFor reports whether a condition has held for the given span, measured from the
// first call at which it held. A call at which it doesn't hold resets it.
func (t conditionTimers) heldFor(name condition, holds bool, span time.Duration, now time.Time) bool {
	if !holds {
		t.reset(name)
		return false
	}
	heldSince, running := t[name]
	if !running {
		t[name] = now
		heldSince = now
	}
	return now.Sub(heldSince) >= span
}

// reset restarts the measurement of a condition.
func (t conditionTimers) reset(name condition) { delete(t, name) }
