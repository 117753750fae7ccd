package serverstatus

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// storedReport is a report with the time for which it is valid: that of the report,
// or of the latest confirmation that it is unchanged.
type storedReport struct {
	report      *wire.Report
	timestampMS int64 // fleet time
}

// serverEntry is the stored data of one server.
type serverEntry struct {
	reports         map[string]storedReport // by watcher id
	status          *wire.ServerStatus      // merged; nil if no report contains the address
	load            *wire.Load              // latest accepted by AddLoad, nil before the first
	loadTimestampMS int64                   // fleet time of load
}

// ReportStore holds the newest report of each watcher on each server, and the statuses
// merged from them. It is not safe for concurrent use. The maps and statuses that it
// returns are never modified afterwards.
type ReportStore struct {
	config  Config
	servers map[string]*serverEntry
	// needsMerge contains the servers whose status has to be merged again.
	needsMerge map[string]bool
	statuses   map[string]*wire.ServerStatus
	version    uint64 // incremented whenever statuses changes
	// listObservedAtMS is the latest fleet time at which a watcher read the platform's
	// list; 0 if none has.
	listObservedAtMS int64
}

// NewReportStore returns an empty store.
func NewReportStore(config Config) *ReportStore {
	return &ReportStore{
		config:     config.withDefaults(),
		servers:    map[string]*serverEntry{},
		needsMerge: map[string]bool{},
		statuses:   map[string]*wire.ServerStatus{},
	}
}

// Add stores a report if it supersedes the stored one of the same watcher and server,
// and returns whether it did; only then does the report have to be forwarded. Reports
// without a server, a watcher or a status are ignored. The report must not be modified
// afterwards. now is fleet time.
func (r *ReportStore) Add(report *wire.Report, now time.Time) bool {
	if report.GetServer() == "" || report.GetWatcher() == "" || report.GetStatus() == nil {
		return false
	}
	entry := r.servers[report.Server]
	if entry == nil {
		entry = &serverEntry{reports: map[string]storedReport{}}
		r.servers[report.Server] = entry
	}
	if stored, ok := entry.reports[report.Watcher]; ok && !supersedes(report, stored.report) {
		return false
	}
	timestampMS := r.boundTimestampMS(report.AtMs, now)
	entry.reports[report.Watcher] = storedReport{report: report, timestampMS: timestampMS}
	r.recordListObservation(report.Watcher, timestampMS)
	r.needsMerge[report.Server] = true
	return true
}

// AddLoad stores the load of a server for which a core's merged report is stored, and
// returns whether it did. Load of another incarnation, or older than the merged report
// or the stored load, is ignored.
func (r *ReportStore) AddLoad(load *wire.Load) bool {
	entry := r.servers[load.GetServer()]
	if entry == nil {
		return false
	}
	merged, ok := newestMerged(entry.reports)
	if !ok || merged.report.Status.Incarnation != load.Incarnation || load.AtMs <= max(merged.timestampMS, entry.loadTimestampMS) {
		return false
	}
	entry.load = load
	entry.loadTimestampMS = load.AtMs
	r.needsMerge[load.Server] = true
	return true
}

// supersedes reports whether report a replaces report b of the same watcher and server.
func supersedes(a, b *wire.Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}

// boundTimestampMS returns a watcher's timestamp, or now if the timestamp is more than
// MaxClockSkew ahead of it.
func (r *ReportStore) boundTimestampMS(timestampMS int64, now time.Time) int64 {
	if nowMS := now.UnixMilli(); timestampMS > nowMS+r.config.MaxClockSkew.Milliseconds() {
		return nowMS
	}
	return timestampMS
}

// recordListObservation records when a watcher read the platform's list. It ignores
// watcher ids of other sources.
func (r *ReportStore) recordListObservation(watcherID string, timestampMS int64) {
	if isFromSource(watcherID, SourceList) {
		r.listObservedAtMS = max(r.listObservedAtMS, timestampMS)
	}
}

// Servers returns the merged status of each server whose address is contained in a
// report, by server name. It returns the same map until a status changes, and the same
// pointer for a server whose status is unchanged.
func (r *ReportStore) Servers() map[string]*wire.ServerStatus {
	if len(r.needsMerge) == 0 {
		return r.statuses
	}
	next := maps.Clone(r.statuses)
	freshMS := r.config.freshMS(len(r.servers))
	changed := false
	for name := range r.needsMerge {
		if r.updateStatus(name, freshMS, next) {
			changed = true
		}
	}
	clear(r.needsMerge)
	if changed {
		r.statuses = next
		r.version++
	}
	return r.statuses
}

// updateStatus merges the reports on a server again, sets or deletes its entry in
// statuses, and returns whether the entry changed.
func (r *ReportStore) updateStatus(name string, freshMS int64, statuses map[string]*wire.ServerStatus) bool {
	entry := r.servers[name]
	if entry == nil {
		_, existed := statuses[name]
		delete(statuses, name)
		return existed
	}
	status := entry.merge(name, freshMS)
	if sameStatus(entry.status, status) {
		return false
	}
	entry.status = status
	if status == nil {
		delete(statuses, name)
	} else {
		statuses[name] = status
	}
	return true
}

func sameStatus(a, b *wire.ServerStatus) bool {
	if a == nil || b == nil {
		return a == b
	}
	return proto.Equal(a, b)
}

// Version returns a number that increases whenever the result of Servers changes. It
// is brought up to date by Servers.
func (r *ReportStore) Version() uint64 { return r.version }

// Reports returns all stored reports, sorted by server and watcher id, for use in a
// snapshot.
func (r *ReportStore) Reports() []*wire.Report {
	var all []*wire.Report
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		reports := r.servers[name].reports
		for _, watcherID := range slices.Sorted(maps.Keys(reports)) {
			all = append(all, reports[watcherID].report)
		}
	}
	return all
}

// ListObservedAt returns the latest fleet time at which a watcher read the platform's list,
// or the zero time if none has.
func (r *ReportStore) ListObservedAt() time.Time {
	if r.listObservedAtMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.listObservedAtMS)
}

// Prune removes reports that are more than RetainFor older than the newest report on
// the same server from the same source, and servers that have been gone, or without a
// known address, for RetainFor. It never removes the last report on any other server.
// now is fleet time.
func (r *ReportStore) Prune(now time.Time) {
	retainMS := r.config.RetainFor.Milliseconds()
	// isGone needs current statuses.
	r.Servers()
	for name, entry := range r.servers {
		if entry.isGone() && now.UnixMilli()-entry.newestTimestampMS() > retainMS {
			delete(r.servers, name)
			r.needsMerge[name] = true
			continue
		}
		if entry.dropOutdatedReports(retainMS) {
			r.needsMerge[name] = true
		}
	}
}

// isGone reports whether the server is gone, or no report contains its address.
func (e *serverEntry) isGone() bool {
	return e.status == nil || e.status.State == wire.ServerState_SERVER_STATE_GONE
}

func (e *serverEntry) newestTimestampMS() int64 {
	newest := int64(0)
	for _, stored := range e.reports {
		newest = max(newest, stored.timestampMS)
	}
	return newest
}

// dropOutdatedReports removes reports that are more than retainMS older than the newest
// one from the same source, and returns whether there were any.
func (e *serverEntry) dropOutdatedReports(retainMS int64) bool {
	newest := map[Source]int64{}
	for watcherID, stored := range e.reports {
		_, source := ParseWatcherID(watcherID)
		newest[source] = max(newest[source], stored.timestampMS)
	}
	dropped := false
	for watcherID, stored := range e.reports {
		if _, source := ParseWatcherID(watcherID); newest[source]-stored.timestampMS > retainMS {
			delete(e.reports, watcherID)
			dropped = true
		}
	}
	return dropped
}
