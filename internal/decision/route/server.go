package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/wire"
)

// Reasons of exclusion of a candidate, besides those of the plan.
const (
	AtCap        = "at cap"
	NoShare      = "no part of the cap"
	Ejected      = "ejected"
	UnderProbe   = "probed by another request"
	ReportedBusy = "said busy"
	AlreadyTried = "tried before"
	Overloaded   = "loaded beyond the others"
)

// busyPause is how long a server that reported itself busy gets no requests.
const busyPause = 200 * time.Millisecond

// server is what a front knows of one server.
type server struct {
	name     string
	hash     uint64 // of the name
	status   *wire.ServerStatus
	excluded string // reason why it gets no requests, "" if it does
	pools    []*pool

	load      load
	capacity  capacity
	borrowing borrowing
	rank      cachedRank
	ejection  ejection
	busyUntil time.Time
}

// load is the number of requests in flight at a server.
type load struct {
	own    int // from this front
	others int // from other fronts, as far as the last status tells

	// minOwn and priorMinOwn are the least own requests since the last status and
	// between the last two: as many are surely part of what a status reports.
	minOwn, priorMinOwn int
}

func (l *load) total() int { return l.own + l.others }

// othersIn returns the other fronts' part of what a status reports.
func (l *load) othersIn(status *wire.ServerStatus) int {
	return max(0, int(status.Running+status.Queued)-min(l.minOwn, l.priorMinOwn))
}

func (l *load) startPeriod() {
	l.priorMinOwn = l.minOwn
	l.minOwn = l.own
}

func newServer(name string) *server {
	return &server{name: name, hash: xxhash.Sum64String(name)}
}

func (s *server) isCold() bool { return s.status.State == wire.ServerState_SERVER_STATE_COLD }

// updateServer applies a status and reports whether the pools have to be rebuilt.
func (t *Table) updateServer(s *server, status *wire.ServerStatus) bool {
	old, priorExclusion := s.status, s.excluded
	s.status = status
	s.excluded = plan.ExclusionReason(t.view.State, status)
	s.capacity.full = t.config.Policy.FullCap(status)
	t.restartSlowStart(s, old, priorExclusion)
	if old != nil && status.Answered > old.Answered {
		s.ejection.timeouts = 0
	}
	t.updateCap(s)
	if status != old {
		t.setLoad(s, s.load.own, s.load.othersIn(status))
		s.load.startPeriod()
		t.adjustBorrowing(s)
	}
	return priorExclusion != s.excluded || old == nil || old.Region != status.Region || !slices.Equal(old.Services, status.Services)
}

// restartSlowStart restarts the slow start of a server that has restarted, turned cold
// or returned.
func (t *Table) restartSlowStart(s *server, old *wire.ServerStatus, priorExclusion string) {
	status := s.status
	switch {
	case old == nil:
		if s.isCold() && status.Answered >= uint64(s.capacity.full) {
			s.capacity.answeredBase = status.Answered
		}
	case status.Incarnation != old.Incarnation && status.Incarnation != 0:
		s.capacity.restart(0, 0)
		s.capacity.plannedAnswered = 0
		s.borrowing.extra = 0
		s.ejection.end()
		s.ejection.recovering = false
	case s.isCold() && old.State != wire.ServerState_SERVER_STATE_COLD:
		s.capacity.restart(status.Answered, 0)
		s.borrowing.extra = 0
	case priorExclusion != "" && s.excluded == "":
		s.capacity.restart(status.Answered, t.config.Policy.RecoveryCap(s.capacity.full))
		s.borrowing.extra = 0
	}
}

func (t *Table) setLoad(s *server, own, others int) {
	for _, pool := range s.pools {
		pool.load += own + others - s.load.total()
	}
	s.load.own = own
	s.load.others = others
	s.load.minOwn = min(s.load.minOwn, own)
}

// unavailableFor returns why a server can take no request of this front now, or "".
func (t *Table) unavailableFor(s *server, now time.Time) string {
	if s.ejection.active() {
		return s.ejection.reason(now)
	}
	if now.Before(s.busyUntil) {
		return ReportedBusy
	}
	if s.ejection.recovering && s.load.own > s.ejection.recoveryAnswers {
		return AtCap
	}
	share := t.share(s)
	if s.load.own < share {
		return ""
	}
	s.borrowing.requested = true
	if s.load.own < t.limit(s, share) && s.load.total() < s.capacity.cap {
		return ""
	}
	if share == 0 && s.load.own == 0 && s.borrowing.extra < 1 {
		return NoShare
	}
	return AtCap
}

// Started counts a request in flight at the chosen server.
func (t *Table) Started(name string) {
	s := t.servers[name]
	if s == nil {
		return
	}
	s.ejection.requestStarted()
	t.setLoad(s, s.load.own+1, s.load.others)
}

// Finished ends a request that Started counted. An answer raises the cap during slow
// start and ends an ejection. A refused connection ejects the server; so do three
// time-outs in a row over a second, unless the server has answered others meanwhile:
// then it is slow, not down.
func (t *Table) Finished(name string, outcome Outcome, now time.Time) {
	s := t.servers[name]
	if s == nil {
		return
	}
	t.setLoad(s, max(0, s.load.own-1), s.load.others)
	t.queue.unserved = true
	s.ejection.requestFinished()
	t.recordDurations(outcome)
	switch outcome.Result {
	case Answered:
		t.recordAnswer(s, now)
	case Busy:
		s.borrowing.extra = 0
		s.busyUntil = now.Add(busyPause)
	case Refused:
		t.eject(s, now)
	case TimedOut:
		if s.ejection.recordTimeout(now) || s.ejection.active() {
			t.eject(s, now)
		}
	case Inconclusive:
		if s.ejection.active() {
			t.eject(s, now)
		}
	}
	t.forgetIfRemoved(s)
}

func (t *Table) recordAnswer(s *server, now time.Time) {
	s.capacity.answersSeen++
	s.ejection.recordAnswer(s.capacity.cap)
	t.updateCap(s)
	for _, pool := range s.pools {
		pool.rate.add(now)
	}
}

// forgetIfRemoved drops a server that is no longer listed once nothing is in flight.
func (t *Table) forgetIfRemoved(s *server) {
	if s.load.own != 0 || s.excluded != plan.ReasonGone {
		return
	}
	if _, listed := t.view.Servers[s.name]; !listed {
		delete(t.servers, s.name)
	}
}

func (t *Table) eject(s *server, now time.Time) {
	if s.ejection.start(now, t.config.BaseEjectionTime, t.config.MaxEjectionTime) {
		s.borrowing.extra = 0
	}
}

// ServerView is the state of one server, for inspection.
type ServerView struct {
	Server    string `json:"server"`
	Excluded  string `json:"excluded,omitempty"`
	Cap       int    `json:"cap"`               // requests in flight over all fronts
	FullCap   int    `json:"full"`              // cap after slow start
	Limit     int    `json:"part"`              // requests in flight from this front
	Own       int    `json:"own"`               // in flight from this front
	Others    int    `json:"others"`            // in flight from other fronts
	SlowStart bool   `json:"ramping,omitempty"` // the cap is below FullCap
	Ejected   bool   `json:"ejected,omitempty"`
}

// Servers returns every known server, sorted by name.
func (t *Table) Servers() []ServerView {
	views := make([]ServerView, 0, len(t.servers))
	for _, s := range t.servers {
		views = append(views, ServerView{
			Server:    s.name,
			Excluded:  s.excluded,
			Cap:       s.capacity.cap,
			FullCap:   s.capacity.full,
			Limit:     t.limit(s, t.share(s)),
			Own:       s.load.own,
			Others:    s.load.others,
			SlowStart: s.capacity.inSlowStart(),
			Ejected:   s.ejection.active(),
		})
	}
	slices.SortFunc(views, func(a, b ServerView) int { return cmp.Compare(a.Server, b.Server) })
	return views
}

// Ejected returns the names of the ejected servers, unsorted.
func (t *Table) Ejected() []string {
	var names []string
	for name, s := range t.servers {
		if s.ejection.active() {
			names = append(names, name)
		}
	}
	return names
}

// Unavailable reports whether a server is known to answer nobody: it refuses
// connections, is unresponsive to health checks, or is no longer listed.
func (t *Table) Unavailable(name string) bool {
	s := t.servers[name]
	return s == nil || s.excluded == plan.ReasonGone || s.status.State == wire.ServerState_SERVER_STATE_GONE || !s.status.Reachable
}

// mix is a bijective hash of 64 bits, the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
