package checker

import (
	"time"

	"stepwick/cmd/rig/history"
)

const (
	// baselineTime is the period before a final fault in which the baseline rate is taken.
	baselineTime = 6 * time.Second
	// recoveredTime is the period after RecoveryTime in which the recovered rate is taken;
	// a recording that contains less than minRecoveredTime of it can't be checked.
	recoveredTime    = 4 * time.Second
	minRecoveredTime = time.Second
)

// ServedPerSecond returns the rate of served attempts in [from, to), per second.
func ServedPerSecond(recording *history.Recording, from, to history.Instant) float64 {
	count := 0
	for _, attempt := range recording.Attempts {
		if attempt.Outcome == history.Served && attempt.Done >= from && attempt.Done < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// checkRecovery finds final faults after which the served rate did not recover to
// MinServiceLevel of the baseline, or for which the recording is too short to tell.
func checkRecovery(recording *history.Recording) findings {
	var evidence findings
	for _, action := range recording.Actions {
		if !action.Final {
			continue
		}
		recovered := action.At + RecoveryTime
		until := min(recording.End, recovered+recoveredTime)
		if until < recovered+minRecoveredTime {
			evidence.addf("the run ended %s after the final fault (%s): too early to check recovery",
				seconds(recording.End-action.At), action.Description)
			continue
		}
		before := ServedPerSecond(recording, action.At-baselineTime, action.At)
		after := ServedPerSecond(recording, recovered, until)
		if after < MinServiceLevel*before {
			evidence.addf("%s at %s: %.1f requests/s served before, %.1f requests/s from 12 s after",
				action.Description, seconds(action.At), before, after)
		}
	}
	return evidence
}
