package follower

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

const (
	// pingFreshFor is how long after an answered ping a peer counts as live, and
	// how long after the first unanswered one it counts as unresponsive.
	pingFreshFor = 1500 * time.Millisecond
	// directoryFreshFor is how long a front that is not on the roster yet counts as
	// live after the directory last saw it.
	directoryFreshFor = 90 * time.Second
	// feedFreshFor is how long the feed's reports on processes count when no core
	// answers; after that only pings and the directory decide who is live.
	feedFreshFor = 4 * time.Second
	// leftRetention is how long a process that left the roster is remembered.
	leftRetention = 10 * time.Minute
)

// memberState is the state of a process as far as this front knows.
type memberState int

const (
	memberLive memberState = iota
	// memberUnresponsive does not answer, but may go on beyond a partition.
	memberUnresponsive
	// memberLeft released its lease or refuses connections: it does not run.
	memberLeft
)

// reachability is how a peer responded to the last pings.
type reachability int

const (
	reachabilityUnknown reachability = iota
	answersPings
	unresponsive
	refusesConnections
)

// membership is what this front knows of other processes: what its own pings
// showed, and what the feed reports.
type membership struct {
	self  string
	pings map[string]*pingRecord
	// unansweredSince holds when the first ping was sent that a peer has not
	// answered since; of a peer that refused a connection it is the zero time, so
	// that it counts as unresponsive at once where a newer report of the feed
	// overrules the refusal.
	unansweredSince map[string]time.Time
	reports         map[string]feedReport // by the feed
	feedAnsweredAt  time.Time             // when a core last answered a poll of the feed
}

// pingRecord is what the pings of one peer showed.
type pingRecord struct {
	reachability reachability
	answeredAt   time.Time // of the last answer; zero after a refused connection
	refusedAt    time.Time // zero unless the last response was a refused connection
	incarnation  uint64    // the highest that answered
	readiness    readiness
	inFlight     bool
	pingAgain    bool // to be pinged once more when the ping in flight ends
}

// readiness is what a peer last answered of itself. It is newer than the
// directory's record of the same incarnation.
type readiness struct {
	incarnation uint64
	ready       bool
	leaving     bool
	at          time.Time // zero where the peer never answered
}

// feedReport is what the feed reports of a process.
type feedReport struct {
	process *wire.Process
	state   memberState
	since   time.Time // when the feed first reported this
}

func newMembership(self string) membership {
	return membership{
		self:            self,
		pings:           map[string]*pingRecord{},
		unansweredSince: map[string]time.Time{},
		reports:         map[string]feedReport{},
	}
}

// ping returns the record of a peer's pings for a change.
func (m *membership) ping(name string) *pingRecord {
	record := m.pings[name]
	if record == nil {
		record = &pingRecord{}
		m.pings[name] = record
	}
	return record
}

// noPings is the record of a peer that was never pinged; it is never changed.
var noPings pingRecord

// pinged returns the record of a peer's pings for reading.
func (m *membership) pinged(name string) *pingRecord {
	if record := m.pings[name]; record != nil {
		return record
	}
	return &noPings
}

// applyReport takes the feed's report of one process.
func (m *membership) applyReport(status *wire.Sight, now time.Time) {
	process := status.GetProcess()
	if process.GetName() == "" {
		return
	}
	next := feedReport{process: process, state: reportedState(status), since: now}
	previous, known := m.reports[process.Name]
	if known && previous.state == next.state && lease.SameProcessRecord(previous.process, process) {
		next.since = previous.since
	}
	m.reports[process.Name] = next
}

func reportedState(status *wire.Sight) memberState {
	switch {
	case status.Gone:
		return memberLeft
	case status.Silent:
		return memberUnresponsive
	}
	return memberLive
}

// applySnapshot replaces all reports by those of a snapshot.
func (m *membership) applySnapshot(sights []*wire.Sight, now time.Time) {
	named := make(map[string]bool, len(sights))
	for _, sight := range sights {
		named[sight.GetProcess().GetName()] = true
		m.applyReport(sight, now)
	}
	for name := range m.reports {
		if !named[name] {
			delete(m.reports, name)
		}
	}
}

// report returns the feed's report of a process, while a core answers.
func (m *membership) report(name string, now time.Time) (feedReport, bool) {
	report, known := m.reports[name]
	return report, known && now.Sub(m.feedAnsweredAt) < feedFreshFor
}

// state returns the state of a process. What this front's own pings showed takes
// precedence over a report of the feed unless that is newer. A peer that refused
// a connection has left until it answers, or until the feed reports a later
// incarnation of it, as the core may not have noticed yet.
func (m *membership) state(name string, now time.Time) memberState {
	if name == m.self {
		return memberLive
	}
	report, reported := m.report(name, now)
	pings := m.pinged(name)
	answers := !pings.answeredAt.IsZero() && now.Sub(pings.answeredAt) < pingFreshFor && pings.answeredAt.After(report.since)
	if !pings.refusedAt.IsZero() && !(reported && report.supersedesRefusal(pings)) {
		return memberLeft
	}
	if reported && report.state != memberLive && !answers {
		return report.state
	}
	since, unanswered := m.unansweredSince[name]
	if unanswered && now.Sub(since) >= pingFreshFor && !(reported && report.since.After(since)) {
		return memberUnresponsive
	}
	return memberLive
}

// supersedesRefusal reports whether a process was restarted since it refused a
// connection.
func (r feedReport) supersedesRefusal(pings *pingRecord) bool {
	return r.state == memberLive && r.since.After(pings.refusedAt) && r.process.Incarnation > pings.incarnation
}

// forgetLeft removes the reports of processes that left the roster long ago.
func (m *membership) forgetLeft(onRoster func(name string) bool, now time.Time) {
	for name, report := range m.reports {
		if report.state == memberLeft && !onRoster(name) && now.Sub(report.since) >= leftRetention {
			delete(m.reports, name)
		}
	}
}

// reportedRunning returns every process that the feed does not report as left.
func (m *membership) reportedRunning() []*wire.Process {
	running := make([]*wire.Process, 0, len(m.reports))
	for _, report := range m.reports {
		if report.state != memberLeft && report.process.Address != "" {
			running = append(running, report.process)
		}
	}
	return running
}

// confirmReported hands every process that the feed does not report as left to
// the directory.
func (f *Follower) confirmReported() {
	if f.config.ConfirmLive == nil {
		return
	}
	onRoster := func(name string) bool {
		_, member := f.configuration.state.Roster[name]
		return member
	}
	f.membership.forgetLeft(onRoster, f.clock.Now())
	f.config.ConfirmLive(f.membership.reportedRunning())
}

// isLater reports whether a record of a process is newer than another of the same
// process.
func isLater(a, b *wire.Process) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}
