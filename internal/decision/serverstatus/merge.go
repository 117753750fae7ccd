// Package serverstatus folds what many watchers say of the servers into one status
// each. Reports are mergeable state: per watcher and server the higher
// (incarnation, counter) wins, so reports may arrive in any order, twice and
// over any core, and every process that holds the same reports folds the same
// statuses.
//
// A watcher looks at two things, and reports them under two names: the
// platform's list, and the server's own status. The list gives the place and
// the state that the platform wants; the own status gives load and reach.
// Sights age against the newest sight of the same server, not against a clock:
// a watcher that died is outlived by the others after Config.Fresh, and when
// all watchers of a server died their last word stands. A server whose own
// status nobody has asked for yet counts as reachable.
//
// A core feeds the fronts what it folded, only when that changes. A fold
// stands until a newer one; what the front's own watcher saw since it can only
// make the state worse, or bring newer load.
package serverstatus

import (
	"maps"
	"slices"
	"strings"
	"time"

	"stepwick/internal/wire"
)

// Source tells what a watcher looked at.
type Source string

// Sights: the platform's list, the server's own status, or what a core folded
// from all of its reports, which rides the feed in their place.
const (
	SourceList   Source = "list"
	SourceServer Source = "own"
	SourceMerged Source = "fold"
)

// WatcherID returns the name under which a process reports one kind of sight.
func WatcherID(process string, sight Source) string { return process + "/" + string(sight) }

// ParseWatcherID returns the process and the kind of sight in a report's watcher.
// Without a kind it is a sight of the server's own status.
func ParseWatcherID(watcher string) (process string, sight Source) {
	for _, sight := range []Source{SourceList, SourceMerged} {
		if process, found := strings.CutSuffix(watcher, "/"+string(sight)); found {
			return process, sight
		}
	}
	return strings.TrimSuffix(watcher, "/"+string(SourceServer)), SourceServer
}

// Config bounds the age of sights. Fresh: how much older than the newest sight
// of a server another one may be and still count (3 s when zero; never under
// three KeepAlives). Keep: after
// how long an outlived report, and a server that is gone, is dropped (30 s when
// zero). Skew: how far ahead of this process a watcher's fleet time is believed
// (500 ms when zero).
type Config struct {
	FreshFor, RetainFor, MaxClockSkew time.Duration
}

// RepeatInterval returns how often a watcher repeats an unchanged sight, or says that
// what it reported of the platform's list still stands, when the fleet has n
// servers: each second, and more seldom beyond 100 servers, so that repeats stay
// at some hundreds a second. Changes are reported at once whatever the size.
func RepeatInterval(n int) time.Duration {
	return max(time.Second, time.Duration(n)*10*time.Millisecond)
}

func (c Config) fresh(n int) int64 { return max(c.FreshFor, 3*RepeatInterval(n)).Milliseconds() }

func (c Config) orDefaults() Config {
	if c.FreshFor <= 0 {
		c.FreshFor = 3 * time.Second
	}
	if c.RetainFor <= 0 {
		c.RetainFor = 30 * time.Second
	}
	if c.MaxClockSkew <= 0 {
		c.MaxClockSkew = 500 * time.Millisecond
	}
	return c
}

type sighting struct {
	report *wire.Report
	at     int64
}

type entry struct {
	sightings map[string]sighting
	status    *wire.ServerStatus
	load      *wire.Load // newer than the fold that is held, or nil
	loadAt    int64
}

// ReportStore is the set of newest reports. It has one owner; the maps and
// statuses it hands out are never changed afterwards.
type ReportStore struct {
	cfg     Config
	servers map[string]*entry
	dirty   map[string]bool
	folded  map[string]*wire.ServerStatus
	version uint64 // of folded
	// listedAt is the newest instant, in ms of fleet time, at which a watcher saw
	// the platform's list.
	listedAt int64
}

// NewReportStore returns an empty set.
func NewReportStore(cfg Config) *ReportStore {
	return &ReportStore{cfg: cfg.orDefaults(), servers: map[string]*entry{}, dirty: map[string]bool{},
		folded: map[string]*wire.ServerStatus{}}
}

// Add takes a report in and tells whether it was newer than what was held,
// so that it is worth passing on. The report must not be changed afterwards.
// now is fleet time; a report from the future counts as of now.
func (r *ReportStore) Add(report *wire.Report, now time.Time) bool {
	if report.GetServer() == "" || report.GetWatcher() == "" || report.GetStatus() == nil {
		return false
	}
	e := r.servers[report.Server]
	if e == nil {
		e = &entry{sightings: map[string]sighting{}}
		r.servers[report.Server] = e
	}
	if held, ok := e.sightings[report.Watcher]; ok && !newer(report, held.report) {
		return false
	}
	at := r.believed(report.AtMs, now)
	e.sightings[report.Watcher] = sighting{report, at}
	if _, sight := ParseWatcherID(report.Watcher); sight == SourceList {
		r.listedAt = max(r.listedAt, at)
	}
	r.dirty[report.Server] = true
	return true
}

// AddLoad takes in the load of a server whose status is held as a core's fold,
// and tells whether it was newer.
func (r *ReportStore) AddLoad(load *wire.Load) bool {
	e := r.servers[load.GetServer()]
	if e == nil {
		return false
	}
	held, ok := newestFold(e.sightings)
	if !ok || held.report.Status.Incarnation != load.Incarnation || load.AtMs <= max(held.at, e.loadAt) {
		return false
	}
	e.load, e.loadAt = load, load.AtMs
	r.dirty[load.Server] = true
	return true
}

func newer(a, b *wire.Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}

// Servers returns the folded status of every server that a list sight or an
// own sight with an address has named. The same map is returned until
// something changes, and an unchanged server keeps its pointer.
func (r *ReportStore) Servers() map[string]*wire.ServerStatus {
	if len(r.dirty) == 0 {
		return r.folded
	}
	next := maps.Clone(r.folded)
	changed, fresh := false, r.cfg.fresh(len(r.servers))
	for name := range r.dirty {
		e := r.servers[name]
		if e == nil {
			if _, held := next[name]; held {
				delete(next, name)
				changed = true
			}
			continue
		}
		status := e.fold(name, fresh)
		if same(e.status, status) {
			continue
		}
		e.status = status
		changed = true
		if status == nil {
			delete(next, name)
			continue
		}
		next[name] = status
	}
	clear(r.dirty)
	if changed {
		r.folded = next
		r.version++
	}
	return r.folded
}

// Version counts the changes of what Servers returns.
func (r *ReportStore) Version() uint64 { return r.version }

// ReportStore returns all held reports in the order of server and watcher, as for
// a snapshot.
func (r *ReportStore) Reports() []*wire.Report {
	var all []*wire.Report
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		sightings := r.servers[name].sightings
		for _, watcher := range slices.Sorted(maps.Keys(sightings)) {
			all = append(all, sightings[watcher].report)
		}
	}
	return all
}

// ListedAt returns the newest instant of fleet time at which a watcher saw the
// platform's list; the zero time before the first.
func (r *ReportStore) ListedAt() time.Time {
	if r.listedAt == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.listedAt)
}

// Expire drops reports that newer ones of the same kind have outlived by Keep,
// and servers that have been gone for Keep. The last word on a server that is
// not gone stays for good. now is fleet time.
func (r *ReportStore) Expire(now time.Time) {
	keep := r.cfg.RetainFor.Milliseconds()
	r.Servers()
	for name, e := range r.servers {
		newest := map[Source]int64{}
		last := int64(0)
		for watcher, s := range e.sightings {
			_, sight := ParseWatcherID(watcher)
			newest[sight] = max(newest[sight], s.at)
			last = max(last, s.at)
		}
		if (e.status == nil || e.status.State == wire.ServerState_SERVER_STATE_GONE) && now.UnixMilli()-last > keep {
			delete(r.servers, name)
			r.dirty[name] = true
			continue
		}
		for watcher, s := range e.sightings {
			if _, sight := ParseWatcherID(watcher); newest[sight]-s.at > keep {
				delete(e.sightings, watcher)
				r.dirty[name] = true
			}
		}
	}
}
