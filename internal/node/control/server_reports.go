package control

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/wire"
)

const (
	// maxLoadChangesPerRound bounds the number of changes of load alone that
	// takeChanges returns.
	maxLoadChangesPerRound = 100
	// slowStartMarginMS is the largest change of the end of a server's slow start,
	// in milliseconds, that is not published.
	slowStartMarginMS = 500
)

// serverReports holds the watchers' reports on servers and what the feed has
// published of them. The feed carries one status for each server, merged from all
// reports: the full status when it changes in more than load, and changes of load
// alone at longer intervals and within a budget. The volume of the feed therefore
// doesn't grow with the number of watchers, and grows with the number of servers
// only by their changes.
type serverReports struct {
	self        string
	incarnation uint64
	// counter numbers the merged reports that this core publishes.
	counter uint64
	store   *serverstatus.ReportStore
	// latest holds each watcher's newest report on each server, to be forwarded to
	// other cores.
	latest reportTable
	// unpublished is the set of servers with reports newer than the published status.
	unpublished map[string]bool
	// published holds the merged report last published for each server, and loads
	// the load last published after it.
	published map[string]*wire.Report
	loads     map[string]*wire.Load
	// loadsPublishedAt is when changes of load alone were last published.
	loadsPublishedAt time.Time
}

// reportTable holds at most one report for each server and watcher, in that order
// of keys.
type reportTable map[string]map[string]*wire.Report

func (t reportTable) put(report *wire.Report) {
	byWatcher, ok := t[report.Server]
	if !ok {
		byWatcher = map[string]*wire.Report{}
		t[report.Server] = byWatcher
	}
	byWatcher[report.Watcher] = report
}

// putIfAbsent stores a report unless there is one for the server and watcher.
func (t reportTable) putIfAbsent(report *wire.Report) {
	if t[report.Server][report.Watcher] == nil {
		t.put(report)
	}
}

// reportScope states which changes may be published.
type reportScope struct {
	// includeLoad allows publishing changes of load alone.
	includeLoad bool
	// allWatchersReported is set once every watcher has repeated its reports since
	// this core started. Until then only statuses that keep requests away are
	// published, because the report that would keep them away may still be missing.
	allWatchersReported bool
}

func newServerReports(self string, incarnation uint64, config serverstatus.Config) *serverReports {
	return &serverReports{
		self:        self,
		incarnation: incarnation,
		store:       serverstatus.NewReportStore(config),
		latest:      reportTable{},
		unpublished: map[string]bool{},
		published:   map[string]*wire.Report{},
		loads:       map[string]*wire.Load{},
	}
}

// addReport stores a report if it is newer than the stored one, and reports whether
// it was.
func (r *serverReports) addReport(report *wire.Report, now time.Time) bool {
	if !r.store.Add(report, now) {
		return false
	}
	r.latest.put(report)
	r.unpublished[report.Server] = true
	return true
}

// confirmUnchanged applies a watcher's statement that its reports are unchanged. It
// returns false if the stored reports of the watcher are not those that the
// statement refers to.
func (r *serverReports) confirmUnchanged(unchanged *wire.Unchanged, now time.Time) bool {
	servers, matched := r.store.ConfirmUnchanged(unchanged, now)
	for _, server := range servers {
		r.unpublished[server] = true
	}
	return matched
}

// snapshot returns the published reports with the last published load, sorted by
// server.
func (r *serverReports) snapshot() []*wire.Report {
	reports := make([]*wire.Report, 0, len(r.published))
	for _, server := range slices.Sorted(maps.Keys(r.published)) {
		report := r.published[server]
		if load := r.loads[server]; load != nil {
			report = withLoad(report, load)
		}
		reports = append(reports, report)
	}
	return reports
}

// withLoad returns a copy of a report with the given load.
func withLoad(report *wire.Report, load *wire.Load) *wire.Report {
	report = proto.Clone(report).(*wire.Report)
	report.AtMs = load.AtMs
	report.Status.Running = load.Running
	report.Status.Queued = load.Queued
	report.Status.Answered = load.Answered
	report.Status.KvUsed = float64(load.KvUsed)
	return report
}

// takeChanges returns the changes that are to be published and records them as
// published.
func (r *serverReports) takeChanges(scope reportScope, now time.Time) []*wire.Change {
	var changes []*wire.Change
	servers := r.store.Servers()
	loadBudget := maxLoadChangesPerRound
	for server := range r.unpublished {
		status := servers[server]
		last := r.published[server]
		switch {
		case status == nil:
			r.remove(server)
		case last == nil || changedBeyondLoad(last.Status, status):
			if scope.allWatchersReported || blocksRequests(status) {
				report := r.publishStatus(status, now)
				changes = append(changes, &wire.Change{What: &wire.Change_Report{Report: report}})
			}
		case scope.includeLoad && scope.allWatchersReported && loadBudget > 0:
			delete(r.unpublished, server)
			if load := r.publishLoad(last.Status, status, now); load != nil {
				changes = append(changes, &wire.Change{What: &wire.Change_Load{Load: load}})
				loadBudget--
			}
		}
	}
	return changes
}

// blocksRequests reports whether a server's state keeps new requests away from it.
func blocksRequests(status *wire.ServerStatus) bool {
	return serverstatus.Severity(status.State) >= serverstatus.Severity(wire.ServerState_SERVER_STATE_DRAINING)
}

// remove drops a server on which no report is stored any more.
func (r *serverReports) remove(server string) {
	delete(r.unpublished, server)
	delete(r.published, server)
	delete(r.loads, server)
	delete(r.latest, server)
}

// publishStatus returns the merged report to publish for a status and records it as
// published.
func (r *serverReports) publishStatus(status *wire.ServerStatus, now time.Time) *wire.Report {
	r.counter++
	report := &wire.Report{
		Watcher:     serverstatus.WatcherID(r.self, serverstatus.SourceMerged),
		Server:      status.Name,
		Incarnation: r.incarnation,
		Counter:     r.counter,
		Status:      status,
		AtMs:        now.UnixMilli(),
	}
	r.published[status.Name] = report
	delete(r.loads, status.Name)
	delete(r.unpublished, status.Name)
	return report
}

// publishLoad returns the load to publish and records it as published. It returns nil
// if the load equals the one published last.
func (r *serverReports) publishLoad(published, status *wire.ServerStatus, now time.Time) *wire.Load {
	next := &wire.Load{
		Server:      status.Name,
		Incarnation: status.Incarnation,
		Running:     status.Running,
		Queued:      status.Queued,
		Answered:    status.Answered,
		KvUsed:      float32(status.KvUsed),
		AtMs:        now.UnixMilli(),
	}
	if last := r.loads[status.Name]; last != nil {
		if equalRequestCounts(last, next) && last.KvUsed == next.KvUsed {
			return nil
		}
	} else if equalRequestCounts(published, next) {
		return nil
	}
	r.loads[status.Name] = next
	return next
}

// requestCounts is implemented by wire.Load and wire.ServerStatus.
type requestCounts interface {
	GetRunning() uint32
	GetQueued() uint32
	GetAnswered() uint64
}

func equalRequestCounts(a, b requestCounts) bool {
	return a.GetRunning() == b.GetRunning() && a.GetQueued() == b.GetQueued() && a.GetAnswered() == b.GetAnswered()
}

// changedBeyondLoad reports whether two statuses of a server differ in more than
// load. A server's first answered request counts as more than load.
func changedBeyondLoad(old, status *wire.ServerStatus) bool {
	if old == nil || status == nil {
		return old != status
	}
	return old.State != status.State || old.Reachable != status.Reachable || old.Incarnation != status.Incarnation ||
		old.Address != status.Address || old.Slots != status.Slots || old.LeaveAtMs != status.LeaveAtMs ||
		old.Region != status.Region || old.Zone != status.Zone || old.Kind != status.Kind ||
		len(old.Services) != len(status.Services) || slowStartMoved(old.ColdUntilMs, status.ColdUntilMs) ||
		(old.Answered == 0) != (status.Answered == 0)
}

// slowStartMoved reports whether the end of a slow start was set, cleared or moved by
// more than slowStartMarginMS.
func slowStartMoved(oldEndMS, endMS int64) bool {
	return (oldEndMS == 0) != (endMS == 0) || oldEndMS-endMS > slowStartMarginMS || endMS-oldEndMS > slowStartMarginMS
}
