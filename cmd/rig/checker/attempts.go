package checker

import (
	"fmt"
	"sort"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

// firstServerCode is the lowest result code of a request that was forwarded to a
// server. A lower one says that the request did not run.
const firstServerCode = 3000

// webRunsByToken returns the runs that began at web servers.
func webRunsByToken(recording *history.Recording) map[string][]history.Run {
	runs := map[string][]history.Run{}
	for _, run := range recording.Runs {
		if run.Kind == history.KindWeb && run.Ran && run.Token != "" {
			runs[run.Token] = append(runs[run.Token], run)
		}
	}
	return runs
}

// checkRunsOnce finds calls that ran more than once.
func checkRunsOnce(recording *history.Recording) findings {
	var found findings
	for token, runs := range webRunsByToken(recording) {
		if len(runs) > 1 {
			found.add("call %s ran %d times: %s at %s and %s at %s", token, len(runs),
				runs[0].ID, seconds(runs[0].Arrived), runs[1].ID, seconds(runs[1].Arrived))
		}
	}
	sort.Strings(found)
	return found
}

// checkReportedNotRun finds calls that ran although the answer says they didn't.
func checkReportedNotRun(recording *history.Recording) findings {
	var found findings
	runsByToken := webRunsByToken(recording)
	for _, attempt := range recording.Attempts {
		runs := runsByToken[attempt.Token]
		if attempt.Kind == history.KindStream || !reportedNotRun(attempt) || len(runs) == 0 {
			continue
		}
		found.add("%s %s through %s was told code %d (%s) at %s and ran as %s at %s, fault %q",
			attempt.Kind, attempt.Token, attempt.Front, attempt.Code, attempt.RetryAdvice, seconds(attempt.Done),
			runs[0].ID, seconds(runs[0].Arrived), runs[0].Fault)
	}
	return found
}

// reportedNotRun reports whether the answer says that the request did not run.
func reportedNotRun(attempt history.Attempt) bool {
	if attempt.Code == 0 {
		return false
	}
	return attempt.Code < firstServerCode ||
		attempt.Code == int(apierror.NotExecuted) ||
		attempt.RetryAdvice == string(apierror.RetryLater)
}

// checkStreams finds wrong events and streams that only look complete.
func checkStreams(recording *history.Recording) findings {
	var found findings
	runs := modelRunsByID(recording)
	for _, attempt := range recording.Attempts {
		if attempt.Kind != history.KindStream {
			continue
		}
		found.addWrongEvent(attempt, runs)
		found.addFalseEnd(attempt, runs)
	}
	return found
}

func modelRunsByID(recording *history.Recording) map[string]history.Run {
	runs := map[string]history.Run{}
	for _, run := range recording.Runs {
		if run.Kind == history.KindModel {
			runs[run.ID] = run
		}
	}
	return runs
}

// addWrongEvent adds the first event that doesn't belong at its position.
func (f *findings) addWrongEvent(attempt history.Attempt, runs map[string]history.Run) {
	for i, event := range attempt.Events {
		if problem := eventProblem(attempt, i); problem != "" {
			f.add("stream %s through %s: event %d %s (ended %s, server fault %q)",
				attempt.Token, attempt.Front, i, problem, attempt.Outcome, runs[event.Run].Fault)
			return
		}
	}
}

// eventProblem describes what is wrong with an event; empty if nothing is.
func eventProblem(attempt history.Attempt, position int) string {
	event := attempt.Events[position]
	firstRun := attempt.Events[0].Run
	switch {
	case event.ID != attempt.Token:
		return "carries the id " + event.ID
	case event.Token != attempt.Token:
		return "was made for " + event.Token
	case event.Seq != position || event.Index != position:
		return fmt.Sprintf("has sequence %d and index %d", event.Seq, event.Index)
	case event.Run != firstRun:
		return "is of run " + event.Run + ", the first of " + firstRun
	}
	return ""
}

// addFalseEnd adds a stream whose end doesn't match what its server sent.
func (f *findings) addFalseEnd(attempt history.Attempt, runs map[string]history.Run) {
	count := len(attempt.Events)
	switch {
	case attempt.Outcome == history.EndedWithoutFinal:
		f.add("stream %s through %s ended cleanly after %d events without a final one",
			attempt.Token, attempt.Front, count)
	case attempt.Outcome == history.Served && attempt.EventCount != count:
		f.add("stream %s through %s: final event counts %d, %d came",
			attempt.Token, attempt.Front, attempt.EventCount, count)
	case attempt.Outcome == history.Served && count > 0:
		run := runs[attempt.Events[0].Run]
		if !run.Final || run.Sent != count {
			f.add("stream %s through %s looks complete with %d events; its server %s sent %d, final %v",
				attempt.Token, attempt.Front, count, run.Server, run.Sent, run.Final)
		}
	}
}

// checkBodies finds answers to other requests and incomplete bodies.
func checkBodies(recording *history.Recording) findings {
	var found findings
	for _, attempt := range recording.Attempts {
		switch {
		case attempt.AnswerID != "" && attempt.AnswerID != attempt.Token:
			found.add("%s %s through %s was answered under id %s", attempt.Kind, attempt.Token, attempt.Front, attempt.AnswerID)
		case attempt.Kind == history.KindStream || attempt.Outcome != history.Served:
			continue
		case !attempt.BodyIntact:
			found.add("%s %s through %s got a body that is not whole", attempt.Kind, attempt.Token, attempt.Front)
		case attempt.BodyToken != attempt.Token:
			found.add("%s %s through %s got the body of %s", attempt.Kind, attempt.Token, attempt.Front, attempt.BodyToken)
		}
	}
	return found
}

// checkDeadlines finds answers that began after the caller's deadline.
func checkDeadlines(recording *history.Recording) findings {
	var found findings
	for _, attempt := range recording.Attempts {
		answered := attempt.Outcome == history.Served || len(attempt.Events) > 0
		if answered && attempt.First > attempt.Deadline+DeadlineTolerance {
			found.add("%s %s through %s: first of the answer at %s, deadline %s",
				attempt.Kind, attempt.Token, attempt.Front, seconds(attempt.First), seconds(attempt.Deadline))
		}
	}
	return found
}
