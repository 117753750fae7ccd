package checker

import (
	"slices"
	"time"

	"stepwick/cmd/rig/history"
)

// lostRequestSlack is how much later another request may be sent that the node still
// answers before it closes the connection of one that it leaves unread.
const lostRequestSlack = 200 * time.Millisecond

// checkLostRequests finds requests that a node had read, and whose connection it
// closed without a complete answer although neither the node nor the server was
// interrupted meanwhile. It had read those that a server ran, those whose answer had
// begun, and those that were written to an open connection well before another one was
// sent that it answered. A request that a process leaves unread when it ends is no
// violation.
func checkLostRequests(recording *history.Recording) findings {
	var found findings
	runs := runsByToken(recording)
	for _, attempt := range recording.Attempts {
		if attempt.Outcome != history.ConnectionBroken || partitionedNear(recording, attempt.Sent, attempt.Done) {
			continue
		}
		ran := runs[attempt.Token]
		if !wasRead(recording, attempt, ran) || interrupted(recording, attempt, ran) {
			continue
		}
		found.add("%s %s through %s, sent at %s, lost its connection at %s with status %d; %d servers ran it",
			attempt.Kind, attempt.Token, attempt.Front, seconds(attempt.Sent), seconds(attempt.Done), attempt.Status, len(ran))
	}
	return found
}

// wasRead reports whether the recording shows that the node had read a request.
func wasRead(recording *history.Recording, attempt history.Attempt, runs []history.Run) bool {
	if attempt.Status != 0 || slices.ContainsFunc(runs, func(run history.Run) bool { return run.Ran }) {
		return true
	}
	// A new connection may not have been accepted yet.
	if !attempt.Reused || attempt.Written == 0 {
		return false
	}
	return slices.ContainsFunc(recording.Attempts, func(later history.Attempt) bool {
		sentLater := later.Front == attempt.Front && later.Sent >= attempt.Written+lostRequestSlack
		return sentLater && later.Status != 0 && later.Done <= attempt.Done
	})
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
