package follower

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/lease"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// memberLists holds the lists of members that the next view may get. Their memory
// is used again each time, so that a view in which nothing changed costs nothing.
type memberLists struct {
	fronts       []*wire.Process
	live         []string
	unresponsive []string
}

// publish publishes a newer view and notifies those who wait for one, unless it
// equals the last: a large fleet in which nothing happens must not cost its nodes
// anything.
func (f *Follower) publish() {
	view := f.nextView()
	f.collectFronts()
	f.classifyRoster(view.Roster)
	previous := f.view.Load()
	view.Fronts = reuseEqual(previous.Fronts, f.members.fronts, lease.SameProcessRecord)
	view.Live = reuseEqual(previous.Live, f.members.live, sameName)
	view.Unresponsive = reuseEqual(previous.Unresponsive, f.members.unresponsive, sameName)
	f.storeView(view)
}

// publishServers publishes a newer view after a change of the servers or the plan
// only. In a large fleet, where the feed reports which members are unresponsive,
// the lists of members are those of the last view. In a small one each node finds
// that out by its own pings, as time passes, and collecting them costs little.
func (f *Follower) publishServers() {
	if !f.isLarge() {
		f.publish()
		return
	}
	f.storeView(f.nextView())
}

// nextView returns a view of the current state with the members of the last one.
func (f *Follower) nextView() *View {
	previous := f.view.Load()
	servers := f.reports.Servers()
	state := f.configuration.state
	view := &View{
		State:          state,
		Index:          previous.Index.ForSheet(state.Sheet),
		Plan:           f.plan,
		Servers:        servers,
		Authority:      f.holder.Authority(f.clock.Now()),
		Fronts:         previous.Fronts,
		Roster:         previous.Roster,
		Live:           previous.Live,
		Unresponsive:   previous.Unresponsive,
		serversVersion: f.reports.Version(),
	}
	if previous.State.Version != state.Version {
		view.Roster = rosterFronts(state)
	}
	return view
}

// storeView publishes a view unless it equals the last.
func (f *Follower) storeView(view *View) {
	if f.hasPublished && view.equals(f.view.Load()) {
		return
	}
	f.hasPublished = true
	f.view.Store(view)
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}

// collectFronts collects the live fronts that aren't leaving, in the order of their
// names: ready ones and those that are not ready yet.
func (f *Follower) collectFronts() {
	now := f.clock.Now()
	known := f.config.KnownProcesses()
	f.members.fronts = f.members.fronts[:0]
	for _, process := range known {
		f.collectFront(process.Process, process.LastSeen, now)
	}
	hasUnknown := false
	for name, report := range f.membership.reports {
		if report.process.Address != "" && !contains(known, name) {
			f.collectFront(report.process, report.since, now)
			hasUnknown = true
		}
	}
	if hasUnknown {
		slices.SortFunc(f.members.fronts, compareNames)
	}
}

// collectFront adds a process to the live fronts if it is one. Its directory record
// or the feed's report was last new at lastSeen.
func (f *Follower) collectFront(process *wire.Process, lastSeen, now time.Time) {
	process = f.membership.currentRecord(process, now)
	if !process.Front || process.Leaving || f.membership.state(process.Name, now) != memberLive {
		return
	}
	if f.membership.isForgotten(process.Name, lastSeen, now) {
		return
	}
	f.members.fronts = append(f.members.fronts, process)
}

// currentRecord returns the newest that is known of a process: a record of the
// directory, the feed's report of it, or what it answered to the last ping.
func (m *membership) currentRecord(process *wire.Process, now time.Time) *wire.Process {
	report, reported := m.report(process.Name, now)
	if reported && isLater(report.process, process) {
		process = report.process
	}
	answer := &m.pinged(process.Name).readiness
	isOutdated := answer.at.IsZero() || answer.incarnation < process.Incarnation || reported && report.since.After(answer.at)
	if isOutdated || answer.ready == process.Ready && answer.leaving == process.Leaving {
		return process
	}
	process = proto.Clone(process).(*wire.Process)
	process.Ready = answer.ready
	process.Leaving = answer.leaving
	return process
}

// isForgotten reports whether a process has neither been pinged nor reported by the
// feed, and was not seen for long by pings or the directory.
func (m *membership) isForgotten(name string, lastSeen, now time.Time) bool {
	if name == m.self {
		return false
	}
	if _, reported := m.report(name, now); reported {
		return false
	}
	if _, unanswered := m.unansweredSince[name]; unanswered {
		return false
	}
	return now.Sub(m.pinged(name).answeredAt) >= directoryFreshFor && now.Sub(lastSeen) >= directoryFreshFor
}

// classifyRoster collects the fronts of the roster that have not left, and which of
// them are unresponsive.
func (f *Follower) classifyRoster(roster []string) {
	now := f.clock.Now()
	live := f.members.live[:0]
	notAnswering := f.members.unresponsive[:0]
	for _, name := range roster {
		switch f.membership.state(name, now) {
		case memberLeft:
			continue
		case memberUnresponsive:
			notAnswering = append(notAnswering, name)
		}
		live = append(live, name)
	}
	f.members.live = live
	f.members.unresponsive = notAnswering
}

// contains reports whether a process is among some that are ordered by name.
func contains(processes []port.KnownProcess, name string) bool {
	_, found := slices.BinarySearchFunc(processes, name, func(known port.KnownProcess, name string) int {
		return strings.Compare(known.Process.Name, name)
	})
	return found
}

func compareNames(a, b *wire.Process) int { return strings.Compare(a.Name, b.Name) }

func sameName(a, b string) bool { return a == b }

// reuseEqual returns the previous list where the next one equals it, and else a
// copy of the next.
func reuseEqual[T any](previous, next []T, equal func(a, b T) bool) []T {
	if slices.EqualFunc(previous, next, equal) {
		return previous
	}
	return slices.Clone(next)
}
