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

// memberBuffers holds the member lists of the next view. Their memory is reused, so
// that a view without changes allocates nothing for them.
type memberBuffers struct {
	fronts       []*wire.Process
	remaining    []string
	unresponsive []string
	refusing     []string
}

// publish publishes a new view and notifies the readers that wait for one, unless
// it equals the previous view: without changes, a large fleet must not cause work
// on its nodes.
func (f *Follower) publish() {
	view := f.buildView()
	f.collectFronts()
	f.classifyRoster(view.Roster)
	previous := f.view.Load()
	view.Fronts = reuseIfEqual(previous.Fronts, f.buffers.fronts, lease.SameProcessRecord)
	view.Remaining = reuseIfEqual(previous.Remaining, f.buffers.remaining, sameName)
	view.Unresponsive = reuseIfEqual(previous.Unresponsive, f.buffers.unresponsive, sameName)
	view.Refusing = reuseIfEqual(previous.Refusing, f.buffers.refusing, sameName)
	f.publishIfChanged(view)
}

// publishServers publishes a new view after a change of only the servers or the
// plan. In a large fleet, where the feed reports which members are unresponsive,
// the view reuses the member lists of the previous one. In a small fleet each node
// detects unresponsive members by its own pings, as time passes, and collecting the
// lists costs little.
func (f *Follower) publishServers() {
	if !f.isLargeFleet() {
		f.publish()
		return
	}
	f.publishIfChanged(f.buildView())
}

// buildView returns a view of the current state with the member lists of the
// previous view.
func (f *Follower) buildView() *View {
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
		Remaining:      previous.Remaining,
		Unresponsive:   previous.Unresponsive,
		Refusing:       previous.Refusing,
		serversVersion: f.reports.Version(),
	}
	if previous.State.Version != state.Version {
		view.Roster = rosterFrontNames(state)
	}
	return view
}

// publishIfChanged publishes a view unless it equals the previous one.
func (f *Follower) publishIfChanged(view *View) {
	if f.hasPublished && view.equals(f.view.Load()) {
		return
	}
	f.hasPublished = true
	f.view.Store(view)
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}

// collectFronts collects the live fronts that are not leaving, whether ready or
// not, sorted by name.
func (f *Follower) collectFronts() {
	now := f.clock.Now()
	listed := f.config.KnownProcesses()
	f.buffers.fronts = f.buffers.fronts[:0]
	for _, process := range listed {
		f.addLiveFront(process.Process, process.LastSeen, now)
	}
	hasUnlisted := false
	for name, report := range f.membership.processReports {
		if report.process.Address != "" && !containsProcess(listed, name) {
			f.addLiveFront(report.process, report.since, now)
			hasUnlisted = true
		}
	}
	if hasUnlisted {
		slices.SortFunc(f.buffers.fronts, compareNames)
	}
}

// addLiveFront appends a process to the collected fronts if it is a live front that
// is not leaving. lastSeen is when its record in the directory or on the feed was
// last updated.
func (f *Follower) addLiveFront(process *wire.Process, lastSeen, now time.Time) {
	process = f.membership.currentRecord(process, now)
	if !process.Front || process.Leaving || f.membership.state(process.Name, now) != memberLive {
		return
	}
	if f.membership.isExpired(process.Name, lastSeen, now) {
		return
	}
	f.buffers.fronts = append(f.buffers.fronts, process)
}

// currentRecord returns the newest record of a process, from the directory or the
// feed, updated with the readiness in its last answer to a ping if that is newer.
func (m *membership) currentRecord(process *wire.Process, now time.Time) *wire.Process {
	report, reported := m.currentReport(process.Name, now)
	if reported && isNewerRecord(report.process, process) {
		process = report.process
	}
	answer := &m.pingsOf(process.Name).readiness
	isAnswerOutdated := answer.receivedAt.IsZero() || answer.incarnation < process.Incarnation || reported && report.since.After(answer.receivedAt)
	if isAnswerOutdated || answer.ready == process.Ready && answer.leaving == process.Leaving {
		return process
	}
	process = proto.Clone(process).(*wire.Process)
	process.Ready = answer.ready
	process.Leaving = answer.leaving
	return process
}

// isExpired reports whether there is no recent evidence of a process: the feed does
// not report it, no ping to it is unanswered, and neither an answer to a ping nor
// an update of the directory is newer than directoryFreshFor.
func (m *membership) isExpired(name string, lastSeen, now time.Time) bool {
	if name == m.self {
		return false
	}
	if _, reported := m.currentReport(name, now); reported {
		return false
	}
	if _, unanswered := m.unansweredSince[name]; unanswered {
		return false
	}
	return now.Sub(m.pingsOf(name).answeredAt) >= directoryFreshFor && now.Sub(lastSeen) >= directoryFreshFor
}

// classifyRoster collects the fronts on the roster that have not left, and those of
// them that are unresponsive or, of these, refuse connections.
func (f *Follower) classifyRoster(roster []string) {
	now := f.clock.Now()
	remaining := f.buffers.remaining[:0]
	unresponsive := f.buffers.unresponsive[:0]
	refusing := f.buffers.refusing[:0]
	for _, name := range roster {
		switch f.membership.state(name, now) {
		case memberLeft:
			continue
		case memberRefusing:
			refusing = append(refusing, name)
			unresponsive = append(unresponsive, name)
		case memberUnresponsive:
			unresponsive = append(unresponsive, name)
		}
		remaining = append(remaining, name)
	}
	f.buffers.remaining = remaining
	f.buffers.unresponsive = unresponsive
	f.buffers.refusing = refusing
}

// containsProcess reports whether a list that is sorted by name contains a process.
func containsProcess(processes []port.KnownProcess, name string) bool {
	_, found := slices.BinarySearchFunc(processes, name, func(process port.KnownProcess, name string) int {
		return strings.Compare(process.Process.Name, name)
	})
	return found
}

func compareNames(a, b *wire.Process) int { return strings.Compare(a.Name, b.Name) }

func sameName(a, b string) bool { return a == b }

// reuseIfEqual returns previous if next equals it, and a copy of next otherwise.
func reuseIfEqual[T any](previous, next []T, equal func(a, b T) bool) []T {
	if slices.EqualFunc(previous, next, equal) {
		return previous
	}
	return slices.Clone(next)
}
