package checker

import (
	"slices"
	"time"

	"stepwick/cmd/rig/history"
)

// lostRequestSlack is the time for which a request may stay unread in an open
// connection while the node still reads and answers requests on other connections.
const lostRequestSlack = 200 * time.Millisecond

// checkLostRequests finds requests that a node had read but whose connection it closed
// without a complete answer, although neither the node nor a server was interrupted
// during the attempt. A request counts as read if a server executed it, if its answer
// had begun, or if it was written to an open connection at least lostRequestSlack before
// another request was sent that the node answered. Requests that a terminating process
// has not read are not violations.
func checkLostRequests(recording *history.Recording) findings {
	var evidence findings
	runs := runsByToken(recording)
	for _, attempt := range recording.Attempts {
		if attempt.Outcome != history.ConnectionBroken || partitionedNear(recording, attempt.Sent, attempt.Done) {
			continue
		}
		ran := runs[attempt.Token]
		if !wasRead(recording, attempt, ran) || interrupted(recording, attempt, ran) {
			continue
		}
		evidence.addf("%s %s through %s, sent at %s, lost its connection at %s (status %d, runs at servers: %d)",
			attempt.Kind, attempt.Token, attempt.Front, seconds(attempt.Sent), seconds(attempt.Done), attempt.Status, len(ran))
	}
	return evidence
}

// wasRead reports whether the recording proves that the node had read the request.
func wasRead(recording *history.Recording, attempt history.Attempt, runs []history.Run) bool {
	if attempt.Status != 0 || slices.ContainsFunc(runs, func(run history.Run) bool { return run.Ran }) {
		return true
	}
	// The node may not have accepted a new connection yet.
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

// interrupted reports whether the node of an attempt or one of its servers was killed,
// suspended or resumed during the attempt, or whether a server injected a fault into it.
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
