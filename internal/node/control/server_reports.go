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
	// maxLoadChanges bounds the servers whose load alone is published at one time.
	maxLoadChanges = 100
	// slowStartMarginMS is by how much the end of a server's slow start may move
	// without being published, in milliseconds.
	slowStartMarginMS = 500
)

// serverReports holds the watchers' reports on servers and what the feed said of
// them. The feed carries the status that a core merged, one server at a time: in
// full when it changed in more than load, and load alone at a slower pace and
// within a budget. So a front's part of the feed doesn't grow with the watchers,
// and with the servers only by what happens to them.
type serverReports struct {
	self        string
	incarnation uint64
	// counter orders the merged reports that this core publishes.
	counter uint64
	store   *serverstatus.ReportStore
	// latest holds the newest report of each watcher, for other cores.
	latest reportTable
	// unpublished are the servers with reports newer than the published status.
	unpublished map[string]bool
	// published is the newest merged report of each server on the feed, loads the
	// load that was published after it.
	published map[string]*wire.Report
	loads     map[string]*wire.Load
	// loadsPublishedAt is when load was last published.
	loadsPublishedAt time.Time
}

// reportTable holds one report for each server and watcher.
type reportTable map[string]map[string]*wire.Report

func (t reportTable) put(report *wire.Report) {
	byWatcher, ok := t[report.Server]
	if !ok {
		byWatcher = map[string]*wire.Report{}
		t[report.Server] = byWatcher
	}
	byWatcher[report.Watcher] = report
}

// putIfAbsent puts a report unless there is one of the server and watcher.
func (t reportTable) putIfAbsent(report *wire.Report) {
	if t[report.Server][report.Watcher] == nil {
		t.put(report)
	}
}

// reportScope is which changes may be published.
type reportScope struct {
	// load allows changes of load alone.
	load bool
	// allWatchersReported is set once every watcher has repeated its reports since
	// this core started. Until then only statuses that keep requests away are
	// published: the merged status may lack the one report that does so.
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

// add takes a report and reports whether it was newer than the one stored.
func (r *serverReports) add(report *wire.Report, now time.Time) bool {
	if !r.store.Add(report, now) {
		return false
	}
	r.latest.put(report)
	r.unpublished[report.Server] = true
	return true
}

// confirmUnchanged takes a watcher's statement that its reports are unchanged; it
// returns false where other reports of the watcher are stored than those meant.
func (r *serverReports) confirmUnchanged(unchanged *wire.Unchanged, now time.Time) bool {
	servers, known := r.store.ConfirmUnchanged(unchanged, now)
	for _, server := range servers {
		r.unpublished[server] = true
	}
	return known
}

// snapshot returns the published reports with the newest load, sorted by server.
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

func withLoad(report *wire.Report, load *wire.Load) *wire.Report {
	report = proto.Clone(report).(*wire.Report)
	report.AtMs = load.AtMs
	report.Status.Running = load.Running
	report.Status.Queued = load.Queued
	report.Status.Answered = load.Answered
	report.Status.KvUsed = float64(load.KvUsed)
	return report
}

// takeChanges returns the changes to publish now and records them as published.
func (r *serverReports) takeChanges(scope reportScope, now time.Time) []*wire.Change {
	var changes []*wire.Change
	servers := r.store.Servers()
	loadBudget := maxLoadChanges
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
		case scope.load && scope.allWatchersReported && loadBudget > 0:
			delete(r.unpublished, server)
			if load := r.publishLoad(last.Status, status, now); load != nil {
				changes = append(changes, &wire.Change{What: &wire.Change_Load{Load: load}})
				loadBudget--
			}
		}
	}
	return changes
}

func blocksRequests(status *wire.ServerStatus) bool {
	return serverstatus.Severity(status.State) >= serverstatus.Severity(wire.ServerState_SERVER_STATE_DRAINING)
}

// remove drops a server that no stored report names.
func (r *serverReports) remove(server string) {
	delete(r.unpublished, server)
	delete(r.published, server)
	delete(r.loads, server)
	delete(r.latest, server)
}

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

// publishLoad returns the load to publish, nil when it is what was published last.
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
		if sameRequests(last, next) && last.KvUsed == next.KvUsed {
			return nil
		}
	} else if sameRequests(published, next) {
		return nil
	}
	r.loads[status.Name] = next
	return next
}

// requestCounts is the part that wire.Load and wire.ServerStatus have in common.
type requestCounts interface {
	GetRunning() uint32
	GetQueued() uint32
	GetAnswered() uint64
}

func sameRequests(a, b requestCounts) bool {
	return a.GetRunning() == b.GetRunning() && a.GetQueued() == b.GetQueued() && a.GetAnswered() == b.GetAnswered()
}

// changedBeyondLoad reports whether two statuses of a server differ in more than
// load. That a server has answered its first request is more than load.
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

func slowStartMoved(oldEndMS, endMS int64) bool {
	return (oldEndMS == 0) != (endMS == 0) || oldEndMS-endMS > slowStartMarginMS || endMS-oldEndMS > slowStartMarginMS
}
