package checker

import (
	"slices"

	"stepwick/cmd/rig/history"
)

// checkLostRequests finds requests that a node had certainly read, as a server ran
// them or their answer had begun, and whose connection it closed without a complete
// answer although neither the node nor the server was interrupted meanwhile. A
// request that a process leaves unread when it ends is no violation.
func checkLostRequests(recording *history.Recording) findings {
	var found findings
	runs := runsByToken(recording)
	for _, attempt := range recording.Attempts {
		if attempt.Outcome != history.ConnectionBroken || partitionedNear(recording, attempt.Sent, attempt.Done) {
			continue
		}
		ran := runs[attempt.Token]
		wasRead := attempt.Status != 0 || slices.ContainsFunc(ran, func(run history.Run) bool { return run.Ran })
		if !wasRead || interrupted(recording, attempt, ran) {
			continue
		}
		found.add("%s %s through %s, sent at %s, lost its connection at %s with status %d; %d servers ran it",
			attempt.Kind, attempt.Token, attempt.Front, seconds(attempt.Sent), seconds(attempt.Done), attempt.Status, len(ran))
	}
	return found
}

func runsByToken(recording *history.Recording) map[string][]history.Run {
	runs := map[string][]history.Run{}
	for _, run := range recording.Runs {
		if run.Token != "" {
			runs[run.Token] = append(runs[run.Token], run)
		}
	}
	return runs
}

// interrupted reports whether the node of an attempt or one of its servers was ended,
// suspended or resumed during the attempt, or a server broke off by a fault.
func interrupted(recording *history.Recording, attempt history.Attempt, runs []history.Run) bool {
	targets := []string{attempt.Front}
	for _, run := range runs {
		if run.Fault != "" {
			return true
		}
		targets = append(targets, run.Server)
	}
	return slices.ContainsFunc(recording.Interruptions, func(interruption history.Interruption) bool {
		during := interruption.At >= attempt.Sent && interruption.At <= attempt.Done
		return during && slices.Contains(targets, interruption.Target)
	})
}
