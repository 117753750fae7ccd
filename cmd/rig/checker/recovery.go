package checker

import (
	"time"

	"stepwick/cmd/rig/history"
)

const (
	// baselineTime is how long before a final fault the served rate is measured.
	baselineTime = 6 * time.Second
	// recoveredTime is how long after the recovery time it is measured, and
	// minRecoveredTime the least for a verdict.
	recoveredTime    = 4 * time.Second
	minRecoveredTime = time.Second
)

// ServedPerSecond returns the attempts served a second in [from, to).
func ServedPerSecond(recording *history.Recording, from, to history.Instant) float64 {
	count := 0
	for _, attempt := range recording.Attempts {
		if attempt.Outcome == history.Served && attempt.Done >= from && attempt.Done < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// checkRecovery finds final faults after which service stayed low.
func checkRecovery(recording *history.Recording) findings {
	var found findings
	for _, action := range recording.Actions {
		if !action.Final {
			continue
		}
		recovered := action.At + RecoveryTime
		until := min(recording.End, recovered+recoveredTime)
		if until < recovered+minRecoveredTime {
			found.add("the run ended %s after the final fault (%s): too early to judge",
				seconds(recording.End-action.At), action.Description)
			continue
		}
		before := ServedPerSecond(recording, action.At-baselineTime, action.At)
		after := ServedPerSecond(recording, recovered, until)
		if after < MinServiceLevel*before {
			found.add("%s at %s: %.1f served a second before, %.1f from 12 s after",
				action.Description, seconds(action.At), before, after)
		}
	}
	return found
}
