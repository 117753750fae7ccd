package checker

import (
	"fmt"
	"sort"
	"time"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

// firstServerCode is the lowest result code of a request that was forwarded to a
// server. A lower code means that the request was not executed.
const firstServerCode = 3000

// webRunsByToken returns the runs that web servers started to execute, by token.
func webRunsByToken(recording *history.Recording) map[string][]history.Run {
	runs := map[string][]history.Run{}
	for _, run := range recording.Runs {
		if run.Kind == history.KindWeb && run.Ran && run.Token != "" {
			runs[run.Token] = append(runs[run.Token], run)
		}
	}
	return runs
}

// checkRunsOnce finds calls that were executed more than once.
func checkRunsOnce(recording *history.Recording) findings {
	var evidence findings
	for token, runs := range webRunsByToken(recording) {
		if len(runs) > 1 {
			evidence.addf("call %s ran %d times: %s at %s and %s at %s", token, len(runs),
				runs[0].ID, seconds(runs[0].Arrived), runs[1].ID, seconds(runs[1].Arrived))
		}
	}
	sort.Strings(evidence)
	return evidence
}

// checkReportedNotRun finds calls that were executed although the caller was told
// that they were not.
func checkReportedNotRun(recording *history.Recording) findings {
	var evidence findings
	runsByToken := webRunsByToken(recording)
	for _, attempt := range recording.Attempts {
		runs := runsByToken[attempt.Token]
		if attempt.Kind == history.KindStream || !reportedNotRun(attempt) || len(runs) == 0 {
			continue
		}
		evidence.addf("%s %s through %s was rejected as not executed with code %d (%s) at %s, but ran as %s at %s, fault %q",
			attempt.Kind, attempt.Token, attempt.Front, attempt.Code, attempt.RetryAdvice, seconds(attempt.Done),
			runs[0].ID, seconds(runs[0].Arrived), runs[0].Fault)
	}
	return evidence
}

// reportedNotRun reports whether the answer states that the request was not executed.
func reportedNotRun(attempt history.Attempt) bool {
	if attempt.Code == 0 {
		return false
	}
	return attempt.Code < firstServerCode ||
		attempt.Code == int(apierror.NotExecuted) ||
		attempt.RetryAdvice == string(apierror.RetryLater)
}

// checkStreams finds lost, duplicated and foreign events, and incomplete streams that
// appear complete to the caller.
func checkStreams(recording *history.Recording) findings {
	var evidence findings
	runs := modelRunsByID(recording)
	for _, attempt := range recording.Attempts {
		if attempt.Kind != history.KindStream {
			continue
		}
		evidence.addWrongEvent(attempt, runs)
		evidence.addFalseEnd(attempt, runs)
	}
	return evidence
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

// addWrongEvent adds the first event that is not the expected one at its position.
func (f *findings) addWrongEvent(attempt history.Attempt, runs map[string]history.Run) {
	for i, event := range attempt.Events {
		if problem := eventProblem(attempt, i); problem != "" {
			f.addf("stream %s through %s: event %d %s (outcome %s, server fault %q)",
				attempt.Token, attempt.Front, i, problem, attempt.Outcome, runs[event.Run].Fault)
			return
		}
	}
}

// eventProblem describes how an event differs from the expected one at its position;
// empty if it doesn't.
func eventProblem(attempt history.Attempt, position int) string {
	event := attempt.Events[position]
	firstRun := attempt.Events[0].Run
	switch {
	case event.ID != attempt.Token:
		return "carries the request ID " + event.ID
	case event.Token != attempt.Token:
		return "was generated for token " + event.Token
	case event.Seq != position || event.Index != position:
		return fmt.Sprintf("has sequence number %d and index %d", event.Seq, event.Index)
	case event.Run != firstRun:
		return "belongs to run " + event.Run + ", the first event to run " + firstRun
	}
	return ""
}

// addFalseEnd adds a stream that ended without an error although it has no final event,
// or whose final event doesn't match what the caller received and the server sent.
func (f *findings) addFalseEnd(attempt history.Attempt, runs map[string]history.Run) {
	count := len(attempt.Events)
	switch {
	case attempt.Outcome == history.EndedWithoutFinal:
		f.addf("stream %s through %s ended without an error after %d events, but without the final event",
			attempt.Token, attempt.Front, count)
	case attempt.Outcome == history.Served && attempt.EventCount != count:
		f.addf("stream %s through %s: the final event announces %d events, %d were received",
			attempt.Token, attempt.Front, attempt.EventCount, count)
	case attempt.Outcome == history.Served && count > 0:
		run := runs[attempt.Events[0].Run]
		if !run.Final || run.Sent != count {
			f.addf("stream %s through %s appears complete with %d events; server %s sent %d, final event sent: %v",
				attempt.Token, attempt.Front, count, run.Server, run.Sent, run.Final)
		}
	}
}

// checkBodies finds answers that belong to another request and incomplete bodies.
func checkBodies(recording *history.Recording) findings {
	var evidence findings
	for _, attempt := range recording.Attempts {
		switch {
		case attempt.AnswerID != "" && attempt.AnswerID != attempt.Token:
			evidence.addf("%s %s through %s was answered with request ID %s", attempt.Kind, attempt.Token, attempt.Front, attempt.AnswerID)
		case attempt.Kind == history.KindStream || attempt.Outcome != history.Served:
			continue
		case !attempt.BodyIntact:
			evidence.addf("%s %s through %s received an incomplete or corrupt body", attempt.Kind, attempt.Token, attempt.Front)
		case attempt.BodyToken != attempt.Token:
			evidence.addf("%s %s through %s received the body of %s", attempt.Kind, attempt.Token, attempt.Front, attempt.BodyToken)
		}
	}
	return evidence
}

// checkDeadlines finds answers whose first byte arrived later than DeadlineTolerance
// after the caller's deadline.
func checkDeadlines(recording *history.Recording) findings {
	var evidence findings
	for _, attempt := range recording.Attempts {
		answered := attempt.Outcome == history.Served || len(attempt.Events) > 0
		if answered && attempt.First > attempt.Deadline+DeadlineTolerance {
			evidence.addf("%s %s through %s: answer began at %s, deadline was %s, sent at %s, written at %s, the rig stood still for %s meanwhile",
				attempt.Kind, attempt.Token, attempt.Front, seconds(attempt.First), seconds(attempt.Deadline), seconds(attempt.Sent), seconds(attempt.Written),
				stalledTime(recording.Stalls, history.Interval{From: attempt.Sent, To: attempt.First}))
		}
	}
	return evidence
}

// stalledTime returns the part of an interval in which this machine did not run the rig.
func stalledTime(stalls []history.Interval, during history.Interval) time.Duration {
	var total time.Duration
	for _, stall := range stalls {
		overlap := min(stall.To, during.To) - max(stall.From, during.From)
		total += max(overlap, 0)
	}
	return total
}
