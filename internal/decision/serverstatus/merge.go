package serverstatus

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Severity orders states by how much they keep requests away. The most severe of
// the fresh reports is the state of a server.
func Severity(state wire.ServerState) int {
	switch state {
	case wire.ServerState_SERVER_STATE_READY:
		return 1
	case wire.ServerState_SERVER_STATE_COLD:
		return 2
	case wire.ServerState_SERVER_STATE_DRAINING:
		return 3
	case wire.ServerState_SERVER_STATE_LEAVING:
		return 4
	case wire.ServerState_SERVER_STATE_GONE:
		return 5
	}
	return 0
}

func moreSevere(a, b wire.ServerState) wire.ServerState {
	if Severity(b) > Severity(a) {
		return b
	}
	return a
}

// merge returns the status of a server, nil when no report names its address.
// Where a core's merged report is stored, only what watchers here reported since
// is added to it.
func (e *serverEntry) merge(name string, freshMS int64) *wire.ServerStatus {
	merged, ok := newestMerged(e.reports)
	if !ok {
		return mergeReports(name, e.reports, freshMS)
	}
	since := map[string]datedReport{}
	for watcherID, dated := range e.reports {
		if !isFrom(watcherID, SourceMerged) && dated.atMS > merged.atMS {
			since[watcherID] = dated
		}
	}
	status := proto.Clone(merged.report.Status).(*wire.ServerStatus)
	if e.load != nil && e.load.Incarnation == status.Incarnation && e.load.AtMs > merged.atMS {
		addLoad(status, e.load)
	}
	if local := mergeReports(name, since, freshMS); local != nil {
		addLocal(status, local)
	}
	return status
}

func newestMerged(reports map[string]datedReport) (newest datedReport, found bool) {
	for watcherID, dated := range reports {
		if !isFrom(watcherID, SourceMerged) {
			continue
		}
		// The watcher decides between reports of one instant, so that all processes
		// take the same.
		if !found || dated.atMS > newest.atMS || (dated.atMS == newest.atMS && watcherID > newest.report.Watcher) {
			newest = dated
			found = true
		}
	}
	return newest, found
}

func addLoad(status *wire.ServerStatus, load *wire.Load) {
	status.Running = load.Running
	status.Queued = load.Queued
	status.Answered = load.Answered
	status.KvUsed = float64(load.KvUsed)
}

// addLocal adds what watchers of this process reported since a merged report: it
// may make the state worse and bring newer load, and changes nothing else.
func addLocal(status, local *wire.ServerStatus) {
	status.State = moreSevere(status.State, local.State)
	status.ColdUntilMs = max(status.ColdUntilMs, local.ColdUntilMs)
	status.LeaveAtMs = earlierLeave(status.LeaveAtMs, local.LeaveAtMs)
	newIncarnation := local.Incarnation > status.Incarnation
	moreAnswers := local.Incarnation == status.Incarnation && local.Answered > status.Answered
	if newIncarnation || moreAnswers {
		copyLoad(status, local)
	}
}

// copyLoad copies what a server reports of itself.
func copyLoad(status, reported *wire.ServerStatus) {
	status.Incarnation = reported.Incarnation
	status.Answered = reported.Answered
	status.Slots = reported.Slots
	status.Running = reported.Running
	status.Queued = reported.Queued
	status.TokensPerSecond = reported.TokensPerSecond
	status.PrefillPerSecond = reported.PrefillPerSecond
	status.KvUsed = reported.KvUsed
}

// earlierLeave returns the earlier instant at which a server leaves; 0 means
// none.
func earlierLeave(a, b int64) int64 {
	if b > 0 && (a == 0 || b < a) {
		return b
	}
	return a
}

// mergeReports merges watchers' reports on a server, nil when none names its
// address.
func mergeReports(name string, reports map[string]datedReport, freshMS int64) *wire.ServerStatus {
	listed := freshReports(reports, SourceList, freshMS)
	polled := freshReports(reports, SourceServer, freshMS)
	polled = withoutOutdatedTimeouts(polled, listed, freshMS)
	identity := identityOf(listed, polled)
	if identity == nil {
		return nil
	}
	status := &wire.ServerStatus{
		Name:     name,
		Address:  identity.Address,
		Kind:     identity.Kind,
		Services: identity.Services,
		Region:   identity.Region,
		Zone:     identity.Zone,
	}
	mergeListed(status, listed)
	mergePolled(status, polled)
	if status.State == wire.ServerState_SERVER_STATE_UNSPECIFIED && status.Reachable {
		status.State = wire.ServerState_SERVER_STATE_READY
	}
	return status
}

// mergeListed merges the reports from the platform's list into a status.
func mergeListed(status *wire.ServerStatus, listed []datedReport) {
	for _, dated := range listed {
		reported := dated.report.Status
		status.State = moreSevere(status.State, reported.State)
		status.Slots = max(status.Slots, reported.Slots)
		status.ColdUntilMs = max(status.ColdUntilMs, reported.ColdUntilMs)
		status.LeaveAtMs = earlierLeave(status.LeaveAtMs, reported.LeaveAtMs)
	}
}

// mergePolled merges the reports from the server itself into a status. The server
// is gone when every watcher's connection was refused, and unreachable when more
// than half of the watchers were refused or got no answer: one report suffices where
// no other watcher reports, and of two that differ the one that reached it counts.
func mergePolled(status *wire.ServerStatus, polled []datedReport) {
	refused := 0
	timedOut := 0
	var load *wire.ServerStatus
	for _, dated := range polled {
		reported := dated.report.Status
		switch {
		case isRefusal(reported):
			refused++
		case !reported.Reachable:
			timedOut++
		default:
			status.State = moreSevere(status.State, reported.State)
			if load == nil || reported.Incarnation > load.Incarnation {
				load = reported
			}
		}
	}
	if refused > 0 && refused == len(polled) {
		status.State = wire.ServerState_SERVER_STATE_GONE
	}
	status.Reachable = 2*(refused+timedOut) <= len(polled)
	if load != nil {
		copyLoad(status, load)
	}
}

// isRefusal reports whether a watcher's connection to the server was refused.
func isRefusal(reported *wire.ServerStatus) bool {
	return !reported.Reachable && reported.State == wire.ServerState_SERVER_STATE_GONE
}

// isTimeout reports whether a watcher's request to the server timed out.
func isTimeout(reported *wire.ServerStatus) bool {
	return !reported.Reachable && reported.State == wire.ServerState_SERVER_STATE_UNSPECIFIED
}

// freshReports returns the reports from a source that are not older than the newest
// of them by more than a span, newest first.
func freshReports(reports map[string]datedReport, source Source, freshMS int64) []datedReport {
	var fresh []datedReport
	for watcherID, dated := range reports {
		if isFrom(watcherID, source) {
			fresh = append(fresh, dated)
		}
	}
	slices.SortFunc(fresh, func(a, b datedReport) int {
		return cmp.Or(cmp.Compare(b.atMS, a.atMS), cmp.Compare(a.report.Watcher, b.report.Watcher))
	})
	for i, dated := range fresh {
		if dated.atMS < fresh[0].atMS-freshMS {
			return fresh[:i]
		}
	}
	return fresh
}

// withoutOutdatedTimeouts drops reports of a time-out once the list was seen so much
// later that the watcher would have repeated them. The slice given is reused.
func withoutOutdatedTimeouts(polled, listed []datedReport, freshMS int64) []datedReport {
	if len(listed) == 0 {
		return polled
	}
	return slices.DeleteFunc(polled, func(dated datedReport) bool {
		return isTimeout(dated.report.Status) && dated.atMS < listed[0].atMS-freshMS
	})
}

// identityOf returns the newest status that names the server's address, one from
// the list first; nil when there is none.
func identityOf(listed, polled []datedReport) *wire.ServerStatus {
	for _, reports := range [][]datedReport{listed, polled} {
		for _, dated := range reports {
			if dated.report.Status.Address != "" {
				return dated.report.Status
			}
		}
	}
	return nil
}
