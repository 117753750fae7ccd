package control

import "time"

// condition names a condition that must hold for a span before the controller
// acts on it.
type condition string

// Conditions.
const (
	conditionMembersUnlisted     condition = "members unlisted"
	conditionMembersRefusing     condition = "members refusing"
	conditionRosterChangePending condition = "roster change pending"
	conditionPlannerVacant       condition = "planner vacant"
	conditionServersReported     condition = "servers reported"
)

// conditionTimers records since when each condition has held.
type conditionTimers map[condition]time.Time

// trueFor reports whether a condition has held for a span, from the first call at
// which it held. A call at which it does not hold resets it.
func (t conditionTimers) trueFor(name condition, holds bool, span time.Duration, now time.Time) bool {
	if !holds {
		t.reset(name)
		return false
	}
	since, ok := t[name]
	if !ok {
		t[name] = now
		since = now
	}
	return now.Sub(since) >= span
}

// reset starts the span of a condition again.
func (t conditionTimers) reset(name condition) { delete(t, name) }
