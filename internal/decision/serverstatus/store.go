package serverstatus

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// datedReport is a report with its instant in ms of fleet time: that of the
// report, or of the newest statement that it is unchanged.
type datedReport struct {
	report *wire.Report
	atMS   int64
}

// serverEntry is all that is stored of one server.
type serverEntry struct {
	reports map[string]datedReport // by watcher id
	status  *wire.ServerStatus     // merged, nil when nothing names its address
	load    *wire.Load             // newer than the merged report, or nil
	loadAt  int64                  // of load, in ms of fleet time
}

// ReportStore is the set of the newest reports and the statuses merged from them.
// It has one owner; the maps and statuses that it returns are never changed
// afterwards.
type ReportStore struct {
	config  Config
	servers map[string]*serverEntry
	// outdated are the servers whose status must be merged again.
	outdated map[string]bool
	statuses map[string]*wire.ServerStatus
	version  uint64 // of statuses
	// listedAtMS is the newest instant, in ms of fleet time, at which a watcher saw
	// the platform's list; 0 before the first.
	listedAtMS int64
}

// NewReportStore returns an empty store.
func NewReportStore(config Config) *ReportStore {
	return &ReportStore{
		config:   config.withDefaults(),
		servers:  map[string]*serverEntry{},
		outdated: map[string]bool{},
		statuses: map[string]*wire.ServerStatus{},
	}
}

// Add takes a report and reports whether it was newer than the one stored, so that
// it is to be forwarded. The report must not be changed afterwards. now is fleet
// time.
func (r *ReportStore) Add(report *wire.Report, now time.Time) bool {
	if report.GetServer() == "" || report.GetWatcher() == "" || report.GetStatus() == nil {
		return false
	}
	entry := r.servers[report.Server]
	if entry == nil {
		entry = &serverEntry{reports: map[string]datedReport{}}
		r.servers[report.Server] = entry
	}
	if stored, ok := entry.reports[report.Watcher]; ok && !newer(report, stored.report) {
		return false
	}
	atMS := r.boundedAtMS(report.AtMs, now)
	entry.reports[report.Watcher] = datedReport{report: report, atMS: atMS}
	r.recordListed(report.Watcher, atMS)
	r.outdated[report.Server] = true
	return true
}

// AddLoad takes the load of a server whose status is stored as a core's merged
// report, and reports whether it was newer.
func (r *ReportStore) AddLoad(load *wire.Load) bool {
	entry := r.servers[load.GetServer()]
	if entry == nil {
		return false
	}
	merged, ok := newestMerged(entry.reports)
	if !ok || merged.report.Status.Incarnation != load.Incarnation || load.AtMs <= max(merged.atMS, entry.loadAt) {
		return false
	}
	entry.load = load
	entry.loadAt = load.AtMs
	r.outdated[load.Server] = true
	return true
}

func newer(a, b *wire.Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}

// boundedAtMS returns a watcher's instant, or now where it is too far ahead.
func (r *ReportStore) boundedAtMS(atMS int64, now time.Time) int64 {
	if nowMS := now.UnixMilli(); atMS > nowMS+r.config.MaxClockSkew.Milliseconds() {
		return nowMS
	}
	return atMS
}

// recordListed records that a watcher saw the platform's list, if it reports from
// that.
func (r *ReportStore) recordListed(watcherID string, atMS int64) {
	if isFrom(watcherID, SourceList) {
		r.listedAtMS = max(r.listedAtMS, atMS)
	}
}

// Servers returns the merged status of every server of which a report names the
// address. The same map is returned until something changes, and an unchanged
// server keeps its pointer.
func (r *ReportStore) Servers() map[string]*wire.ServerStatus {
	if len(r.outdated) == 0 {
		return r.statuses
	}
	next := maps.Clone(r.statuses)
	freshMS := r.config.freshMS(len(r.servers))
	changed := false
	for name := range r.outdated {
		if r.updateStatus(name, freshMS, next) {
			changed = true
		}
	}
	clear(r.outdated)
	if changed {
		r.statuses = next
		r.version++
	}
	return r.statuses
}

// updateStatus merges the reports on a server again, sets or deletes its status in
// statuses, and reports whether that changed.
func (r *ReportStore) updateStatus(name string, freshMS int64, statuses map[string]*wire.ServerStatus) bool {
	entry := r.servers[name]
	if entry == nil {
		_, listed := statuses[name]
		delete(statuses, name)
		return listed
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

// Version counts the changes of what Servers returns.
func (r *ReportStore) Version() uint64 { return r.version }

// Reports returns all stored reports sorted by server and watcher, as for a
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

// ListedAt returns the newest instant of fleet time at which a watcher saw the
// platform's list; the zero time before the first.
func (r *ReportStore) ListedAt() time.Time {
	if r.listedAtMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.listedAtMS)
}

// Prune drops reports that are outdated by RetainFor, and servers that have been
// gone for RetainFor. The last report on a server that is not gone is never
// dropped. now is fleet time.
func (r *ReportStore) Prune(now time.Time) {
	retainMS := r.config.RetainFor.Milliseconds()
	// The statuses decide which servers are gone.
	r.Servers()
	for name, entry := range r.servers {
		if entry.gone() && now.UnixMilli()-entry.newestMS() > retainMS {
			delete(r.servers, name)
			r.outdated[name] = true
			continue
		}
		if entry.dropOutdated(retainMS) {
			r.outdated[name] = true
		}
	}
}

// gone reports whether the server is gone, or no report names its address.
func (e *serverEntry) gone() bool {
	return e.status == nil || e.status.State == wire.ServerState_SERVER_STATE_GONE
}

// newestMS returns the instant of the newest report.
func (e *serverEntry) newestMS() int64 {
	newest := int64(0)
	for _, dated := range e.reports {
		newest = max(newest, dated.atMS)
	}
	return newest
}

// dropOutdated drops reports that are older than the newest of their source by more
// than a span, and reports whether there were any.
func (e *serverEntry) dropOutdated(retainMS int64) bool {
	newest := map[Source]int64{}
	for watcherID, dated := range e.reports {
		_, source := ParseWatcherID(watcherID)
		newest[source] = max(newest[source], dated.atMS)
	}
	dropped := false
	for watcherID, dated := range e.reports {
		if _, source := ParseWatcherID(watcherID); newest[source]-dated.atMS > retainMS {
			delete(e.reports, watcherID)
			dropped = true
		}
	}
	return dropped
}
