package follower

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

const (
	// pingFreshFor is how long a peer counts as live after it answered a ping, and
	// how long after its first unanswered ping a peer begins to count as
	// unresponsive.
	pingFreshFor = 1500 * time.Millisecond
	// directoryFreshFor is how long a front that is not on the roster yet counts as
	// live after its last update in the directory.
	directoryFreshFor = 90 * time.Second
	// feedFreshFor is how long the feed's reports on processes remain valid after
	// the last answer of a core. After that, only pings and the directory determine
	// who is live.
	feedFreshFor = 4 * time.Second
	// leftRetention is how long the report on a process that left the roster is
	// retained.
	leftRetention = 10 * time.Minute
)

// memberState is the state of a process as observed by this front.
type memberState int

const (
	memberLive memberState = iota
	// memberUnresponsive does not answer, but may still be serving on the other
	// side of a partition.
	memberUnresponsive
	// memberRefusing is unresponsive and refuses connections. Most often its process has
	// ended; but a partition may refuse connections too, while the process serves.
	memberRefusing
	// memberLeft has released its lease: it is not running.
	memberLeft
)

// reachability is how a peer responded to the latest pings.
type reachability int

const (
	reachabilityUnknown reachability = iota
	reachabilityAnswering
	reachabilityUnresponsive
	reachabilityRefusing
)

// membership holds what this front knows about other processes from its own pings
// and from the feed.
type membership struct {
	self  string
	pings map[string]*pingRecord
	// unansweredSince holds, for each peer that has not answered since a ping, when
	// the first such ping was sent. For a peer that refused a connection it holds
	// the zero time until the peer answers.
	unansweredSince map[string]time.Time
	processReports  map[string]processReport // newest report from the feed, by process name
	feedAnsweredAt  time.Time                // when a core last answered a poll of the feed
}

// pingRecord holds the results of the pings of one peer.
type pingRecord struct {
	reachability reachability
	answeredAt   time.Time // of the last answer; zero after a refused connection
	refusedAt    time.Time // zero unless the last response was a refused connection
	incarnation  uint64    // the highest incarnation that answered
	readiness    readiness
	inFlight     bool
	pingAgain    bool // ping again when the ping in flight ends
}

// readiness is what a peer stated about itself in its last answer. It is newer than
// the directory's record of the same incarnation.
type readiness struct {
	incarnation uint64
	ready       bool
	leaving     bool
	receivedAt  time.Time // zero if the peer never answered
}

// processReport is the feed's newest report on a process.
type processReport struct {
	process *wire.Process
	state   memberState
	since   time.Time // when the feed first reported this state and record
}

func newMembership(self string) membership {
	return membership{
		self:            self,
		pings:           map[string]*pingRecord{},
		unansweredSince: map[string]time.Time{},
		processReports:  map[string]processReport{},
	}
}

// ensurePings returns the record of a peer's pings for modification, and creates it
// if there is none.
func (m *membership) ensurePings(name string) *pingRecord {
	record := m.pings[name]
	if record == nil {
		record = &pingRecord{}
		m.pings[name] = record
	}
	return record
}

// emptyPingRecord stands for the record of a peer that was never pinged. It must
// not be modified.
var emptyPingRecord pingRecord

// pingsOf returns the record of a peer's pings for reading.
func (m *membership) pingsOf(name string) *pingRecord {
	if record := m.pings[name]; record != nil {
		return record
	}
	return &emptyPingRecord
}

// applyReport records the feed's report on one process.
func (m *membership) applyReport(sight *wire.Sight, now time.Time) {
	process := sight.GetProcess()
	if process.GetName() == "" {
		return
	}
	next := processReport{process: process, state: reportedState(sight), since: now}
	previous, known := m.processReports[process.Name]
	if known && previous.state == next.state && lease.SameProcessRecord(previous.process, process) {
		next.since = previous.since
	}
	m.processReports[process.Name] = next
}

func reportedState(sight *wire.Sight) memberState {
	switch {
	case sight.Gone:
		return memberLeft
	case sight.Silent:
		return memberUnresponsive
	}
	return memberLive
}

// replaceReports replaces all reports by those of a feed snapshot.
func (m *membership) replaceReports(sights []*wire.Sight, now time.Time) {
	inSnapshot := make(map[string]bool, len(sights))
	for _, sight := range sights {
		inSnapshot[sight.GetProcess().GetName()] = true
		m.applyReport(sight, now)
	}
	for name := range m.processReports {
		if !inSnapshot[name] {
			delete(m.processReports, name)
		}
	}
}

// currentReport returns the feed's report on a process. It returns false if there
// is none or if no core answered within feedFreshFor.
func (m *membership) currentReport(name string, now time.Time) (processReport, bool) {
	report, known := m.processReports[name]
	return report, known && now.Sub(m.feedAnsweredAt) < feedFreshFor
}

// state returns the state of a process. This front's own pings take precedence over
// a report from the feed unless the report is newer. A peer that refused a connection
// counts as refusing until it answers, or until the feed reports that it left or a later
// incarnation as live. A report on the same incarnation does not suffice, because the core
// may not have noticed the failure yet.
func (m *membership) state(name string, now time.Time) memberState {
	if name == m.self {
		return memberLive
	}
	report, reported := m.currentReport(name, now)
	pings := m.pingsOf(name)
	hasNewerAnswer := !pings.answeredAt.IsZero() && now.Sub(pings.answeredAt) < pingFreshFor && pings.answeredAt.After(report.since)
	if !pings.refusedAt.IsZero() && !(reported && report.supersedesRefusal(pings)) {
		if reported && report.state == memberLeft {
			return memberLeft
		}
		return memberRefusing
	}
	if reported && report.state != memberLive && !hasNewerAnswer {
		return report.state
	}
	since, unanswered := m.unansweredSince[name]
	if unanswered && now.Sub(since) >= pingFreshFor && !(reported && report.since.After(since)) {
		return memberUnresponsive
	}
	return memberLive
}

// supersedesRefusal reports whether the process was restarted after it refused a
// connection.
func (r processReport) supersedesRefusal(pings *pingRecord) bool {
	return r.state == memberLive && r.since.After(pings.refusedAt) && r.process.Incarnation > pings.incarnation
}

// pruneLeft removes the reports on processes that are not on the roster and were
// reported as left at least leftRetention ago.
func (m *membership) pruneLeft(onRoster func(name string) bool, now time.Time) {
	for name, report := range m.processReports {
		if report.state == memberLeft && !onRoster(name) && now.Sub(report.since) >= leftRetention {
			delete(m.processReports, name)
		}
	}
}

// reportedRunning returns all processes that the feed does not report as left.
func (m *membership) reportedRunning() []*wire.Process {
	running := make([]*wire.Process, 0, len(m.processReports))
	for _, report := range m.processReports {
		if report.state != memberLeft && report.process.Address != "" {
			running = append(running, report.process)
		}
	}
	return running
}

// confirmRunning passes all processes that the feed does not report as left to
// Config.ConfirmRunning.
func (f *Follower) confirmRunning() {
	if f.config.ConfirmRunning == nil {
		return
	}
	onRoster := func(name string) bool {
		_, member := f.configuration.state.Roster[name]
		return member
	}
	f.membership.pruneLeft(onRoster, f.clock.Now())
	f.config.ConfirmRunning(f.membership.reportedRunning())
}

// isNewerRecord reports whether record a of a process is newer than record b of the
// same process.
func isNewerRecord(a, b *wire.Process) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}
