package serverstatus

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Severity ranks states by how strongly they restrict the requests sent to a server.
// A server's state is the most severe one among its fresh reports.
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

// merge returns the status of a server, or nil if no report contains its address. If
// a core's merged report is stored, only newer reports of other sources, and newer
// load, are applied to it.
func (e *serverEntry) merge(name string, freshMS int64) *wire.ServerStatus {
	merged, ok := newestMerged(e.reports)
	if !ok {
		return mergeReports(name, e.reports, freshMS)
	}
	localReports := map[string]storedReport{}
	for watcherID, stored := range e.reports {
		if !isFromSource(watcherID, SourceMerged) && stored.timestampMS > merged.timestampMS {
			localReports[watcherID] = stored
		}
	}
	status := proto.Clone(merged.report.Status).(*wire.ServerStatus)
	if e.load != nil && e.load.Incarnation == status.Incarnation && e.load.AtMs > merged.timestampMS {
		applyLoad(status, e.load)
	}
	if local := mergeReports(name, localReports, freshMS); local != nil {
		applyLocalStatus(status, local)
	}
	return status
}

// newestMerged returns the newest of the merged reports that cores published; ok is
// false if there is none.
func newestMerged(reports map[string]storedReport) (newest storedReport, ok bool) {
	for watcherID, stored := range reports {
		if !isFromSource(watcherID, SourceMerged) {
			continue
		}
		// Ties are broken by watcher id, so that all processes select the same report.
		if !ok || stored.timestampMS > newest.timestampMS || (stored.timestampMS == newest.timestampMS && watcherID > newest.report.Watcher) {
			newest = stored
			ok = true
		}
	}
	return newest, ok
}

func applyLoad(status *wire.ServerStatus, load *wire.Load) {
	status.Running = load.Running
	status.Queued = load.Queued
	status.Answered = load.Answered
	status.KvUsed = float64(load.KvUsed)
}

// applyLocalStatus applies the status that this process's watchers reported after the
// merged report. It can make the state more severe, extend the slow start, move the
// departure forward and replace the load by a newer one; it changes nothing else.
func applyLocalStatus(status, local *wire.ServerStatus) {
	status.State = moreSevere(status.State, local.State)
	status.ColdUntilMs = max(status.ColdUntilMs, local.ColdUntilMs)
	status.LeaveAtMs = earlierLeave(status.LeaveAtMs, local.LeaveAtMs)
	newIncarnation := local.Incarnation > status.Incarnation
	moreAnswers := local.Incarnation == status.Incarnation && local.Answered > status.Answered
	if newIncarnation || moreAnswers {
		copySelfReported(status, local)
	}
}

// copySelfReported copies the fields that a server's own status endpoint reports.
func copySelfReported(status, reported *wire.ServerStatus) {
	status.Incarnation = reported.Incarnation
	status.Answered = reported.Answered
	status.Slots = reported.Slots
	status.Running = reported.Running
	status.Queued = reported.Queued
	status.TokensPerSecond = reported.TokensPerSecond
	status.PrefillPerSecond = reported.PrefillPerSecond
	status.KvUsed = reported.KvUsed
}

// earlierLeave returns the earlier of two times at which a server leaves; 0 means
// that it is not about to leave.
func earlierLeave(a, b int64) int64 {
	if b > 0 && (a == 0 || b < a) {
		return b
	}
	return a
}

// mergeReports merges the reports of watchers on a server. It returns nil if none of
// the fresh ones contains the server's address.
func mergeReports(name string, reports map[string]storedReport, freshMS int64) *wire.ServerStatus {
	listed := freshReports(reports, SourceList, freshMS)
	polled := freshReports(reports, SourceServer, freshMS)
	polled = dropOutdatedTimeouts(polled, listed, freshMS)
	identity := selectIdentity(listed, polled)
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
func mergeListed(status *wire.ServerStatus, listed []storedReport) {
	for _, stored := range listed {
		reported := stored.report.Status
		status.State = moreSevere(status.State, reported.State)
		status.Slots = max(status.Slots, reported.Slots)
		status.ColdUntilMs = max(status.ColdUntilMs, reported.ColdUntilMs)
		status.LeaveAtMs = earlierLeave(status.LeaveAtMs, reported.LeaveAtMs)
	}
}

// mergePolled merges the reports from the server's status endpoint into a status. The
// server is gone if the connections of all watchers were refused. It is unreachable
// if more than half of the watchers were refused or timed out: a single failed poll
// suffices if no other watcher reports, and if one of two watchers reached the
// server, it is reachable.
func mergePolled(status *wire.ServerStatus, polled []storedReport) {
	refused := 0
	timedOut := 0
	var load *wire.ServerStatus
	for _, stored := range polled {
		reported := stored.report.Status
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
		copySelfReported(status, load)
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

// freshReports returns the reports from a source that are at most freshMS older than
// the newest of them, newest first.
func freshReports(reports map[string]storedReport, source Source, freshMS int64) []storedReport {
	var fresh []storedReport
	for watcherID, stored := range reports {
		if isFromSource(watcherID, source) {
			fresh = append(fresh, stored)
		}
	}
	slices.SortFunc(fresh, func(a, b storedReport) int {
		return cmp.Or(cmp.Compare(b.timestampMS, a.timestampMS), cmp.Compare(a.report.Watcher, b.report.Watcher))
	})
	for i, stored := range fresh {
		if stored.timestampMS < fresh[0].timestampMS-freshMS {
			return fresh[:i]
		}
	}
	return fresh
}

// dropOutdatedTimeouts removes time-out reports that are more than freshMS older than
// the newest report from the list: a watcher that still timed out would have repeated
// its report by then. It modifies polled in place.
func dropOutdatedTimeouts(polled, listed []storedReport, freshMS int64) []storedReport {
	if len(listed) == 0 {
		return polled
	}
	return slices.DeleteFunc(polled, func(stored storedReport) bool {
		return isTimeout(stored.report.Status) && stored.timestampMS < listed[0].timestampMS-freshMS
	})
}

// selectIdentity returns the newest status that contains the server's address,
// preferring reports from the list, or nil if there is none.
func selectIdentity(listed, polled []storedReport) *wire.ServerStatus {
	for _, reports := range [][]storedReport{listed, polled} {
		for _, stored := range reports {
			if stored.report.Status.Address != "" {
				return stored.report.Status
			}
		}
	}
	return nil
}
