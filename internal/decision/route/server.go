package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/wire"
)

// Reasons for not choosing a candidate, in addition to those in package plan. The texts
// appear in explanations of routing decisions.
const (
	AtCap         = "at cap"
	NoShare       = "no share of the cap"
	Ejected       = "ejected"
	ProbeInFlight = "probe in flight"
	ReportedBusy  = "reported busy"
	AlreadyTried  = "already tried"
	Overloaded    = "overloaded"
)

// busyBackoff is how long a server gets no requests after it rejected one as busy.
const busyBackoff = 200 * time.Millisecond

// server is the state of one server at this front.
type server struct {
	name      string
	hash      uint64 // of the name
	status    *wire.ServerStatus
	exclusion string // reason why it gets no requests; "" if it does get them
	pools     []*pool

	load      load
	capacity  capacity
	borrowing borrowing
	rank      cachedRank
	ejection  ejection
	busyUntil time.Time
}

// load counts the requests in flight at a server.
type load struct {
	own    int // from this front
	others int // from other fronts, estimated from the last status

	// minOwn and priorMinOwn are the minimum of own since the last status and between
	// the two last statuses. At least the smaller of them is included in the number
	// that the next status reports.
	minOwn, priorMinOwn int
}

func (l *load) total() int { return l.own + l.others }

// othersIn returns the other fronts' part of the requests that a status reports.
func (l *load) othersIn(status *wire.ServerStatus) int {
	return max(0, int(status.Running+status.Queued)-min(l.minOwn, l.priorMinOwn))
}

func (l *load) startStatusPeriod() {
	l.priorMinOwn = l.minOwn
	l.minOwn = l.own
}

func newServer(name string) *server {
	return &server{name: name, hash: xxhash.Sum64String(name)}
}

func (s *server) isCold() bool { return s.status.State == wire.ServerState_SERVER_STATE_COLD }

// updateServer applies a server's status and reports whether the pools have to be
// rebuilt.
func (t *Table) updateServer(server *server, status *wire.ServerStatus) bool {
	old, priorExclusion := server.status, server.exclusion
	server.status = status
	server.exclusion = plan.ExclusionReason(t.view.State, status)
	server.capacity.full = t.config.Policy.FullCap(status)
	t.restartSlowStart(server, old, priorExclusion)
	if old != nil && status.Answered > old.Answered {
		server.ejection.consecutiveTimeouts = 0
	}
	t.updateCap(server)
	if status != old {
		t.setLoad(server, server.load.own, server.load.othersIn(status))
		server.load.startStatusPeriod()
		t.adjustBorrowing(server)
	}
	return priorExclusion != server.exclusion || old == nil || old.Region != status.Region || !slices.Equal(old.Services, status.Services)
}

// restartSlowStart restarts the slow start of a server that has a new incarnation, has
// become cold, is no longer excluded, or is cold when first seen although it has given
// enough answers to complete slow start.
func (t *Table) restartSlowStart(server *server, old *wire.ServerStatus, priorExclusion string) {
	status := server.status
	switch {
	case old == nil:
		if server.isCold() && status.Answered >= uint64(server.capacity.full) {
			server.capacity.answeredAtSlowStart = status.Answered
		}
	case status.Incarnation != old.Incarnation && status.Incarnation != 0:
		server.capacity.restart(0, 0)
		server.capacity.answeredAtPlan = 0
		server.borrowing.extra = 0
		server.ejection.end()
		server.ejection.recovering = false
	case server.isCold() && old.State != wire.ServerState_SERVER_STATE_COLD:
		server.capacity.restart(status.Answered, 0)
		server.borrowing.extra = 0
	case priorExclusion != "" && server.exclusion == "":
		server.capacity.restart(status.Answered, t.config.Policy.RecoveryCap(server.capacity.full))
		server.borrowing.extra = 0
	}
}

func (t *Table) setLoad(server *server, own, others int) {
	for _, pool := range server.pools {
		pool.load += own + others - server.load.total()
	}
	server.load.own = own
	server.load.others = others
	server.load.minOwn = min(server.load.minOwn, own)
}

// unavailableReason returns the reason why a server can take no request from this front
// now, or "" if it can.
func (t *Table) unavailableReason(server *server, now time.Time) string {
	if server.ejection.active() {
		return server.ejection.reason(now)
	}
	if now.Before(server.busyUntil) {
		return ReportedBusy
	}
	if server.ejection.recovering && server.load.own > server.ejection.recoveryAnswers {
		return AtCap
	}
	share := t.share(server)
	if server.load.own < share {
		return ""
	}
	server.borrowing.requested = true
	if server.load.own < t.limit(server, share) && server.load.total() < server.capacity.cap {
		return ""
	}
	if share == 0 && server.load.own == 0 && server.borrowing.extra < 1 {
		return NoShare
	}
	return AtCap
}

// Started counts a request in flight at a server. The caller calls it when it sends a
// request to the server that Choose or Next returned.
func (t *Table) Started(name string) {
	server := t.servers[name]
	if server == nil {
		return
	}
	server.ejection.requestStarted()
	t.setLoad(server, server.load.own+1, server.load.others)
}

// Finished ends a request that Started counted. An answer raises the cap during slow
// start and ends an ejection. A refused connection ejects the server at once. Time-outs
// eject it after three in a row that span at least a second; an answer to any front
// resets the count, since the server is then slow rather than down. A probe of an
// ejected server that is refused, times out or is inconclusive ejects it again.
func (t *Table) Finished(name string, outcome Outcome, now time.Time) {
	server := t.servers[name]
	if server == nil {
		return
	}
	t.setLoad(server, max(0, server.load.own-1), server.load.others)
	t.queue.needsScan = true
	server.ejection.requestFinished()
	t.recordDurations(outcome)
	switch outcome.Result {
	case Answered:
		t.recordAnswer(server, now)
	case Busy:
		server.borrowing.extra = 0
		server.busyUntil = now.Add(busyBackoff)
	case Refused:
		t.eject(server, now)
	case TimedOut:
		if server.ejection.recordTimeout(now) || server.ejection.active() {
			t.eject(server, now)
		}
	case Inconclusive:
		if server.ejection.active() {
			t.eject(server, now)
		}
	}
	t.deleteIfUnlisted(server)
}

func (t *Table) recordAnswer(server *server, now time.Time) {
	server.capacity.ownAnswers++
	server.ejection.recordAnswer(server.capacity.cap)
	t.updateCap(server)
	for _, pool := range server.pools {
		pool.rate.record(now)
	}
}

// deleteIfUnlisted deletes a server that the view no longer lists, unless requests of
// this front are in flight at it.
func (t *Table) deleteIfUnlisted(server *server) {
	if server.load.own != 0 || server.exclusion != plan.ReasonGone {
		return
	}
	if _, listed := t.view.Servers[server.name]; !listed {
		delete(t.servers, server.name)
	}
}

func (t *Table) eject(server *server, now time.Time) {
	if server.ejection.start(now, t.config.BaseEjectionTime, t.config.MaxEjectionTime) {
		server.borrowing.extra = 0
	}
}

// ServerView is the state of one server, for inspection.
type ServerView struct {
	Server    string `json:"server"`
	Excluded  string `json:"excluded,omitempty"`
	Cap       int    `json:"cap"`               // maximum requests in flight from all fronts
	FullCap   int    `json:"full"`              // cap after slow start
	Limit     int    `json:"part"`              // maximum requests in flight from this front
	Own       int    `json:"own"`               // requests in flight from this front
	Others    int    `json:"others"`            // requests in flight from other fronts
	SlowStart bool   `json:"ramping,omitempty"` // the cap is below FullCap
	Ejected   bool   `json:"ejected,omitempty"`
}

// Servers returns the state of all servers, sorted by name.
func (t *Table) Servers() []ServerView {
	views := make([]ServerView, 0, len(t.servers))
	for _, server := range t.servers {
		views = append(views, ServerView{
			Server:    server.name,
			Excluded:  server.exclusion,
			Cap:       server.capacity.cap,
			FullCap:   server.capacity.full,
			Limit:     t.limit(server, t.share(server)),
			Own:       server.load.own,
			Others:    server.load.others,
			SlowStart: server.capacity.inSlowStart(),
			Ejected:   server.ejection.active(),
		})
	}
	slices.SortFunc(views, func(a, b ServerView) int { return cmp.Compare(a.Server, b.Server) })
	return views
}

// Ejected returns the names of the ejected servers in no particular order.
func (t *Table) Ejected() []string {
	var names []string
	for name, server := range t.servers {
		if server.ejection.active() {
			names = append(names, name)
		}
	}
	return names
}

// Unavailable reports whether a server cannot answer any front: it refuses connections,
// does not respond to health checks, or is no longer listed.
func (t *Table) Unavailable(name string) bool {
	server := t.servers[name]
	return server == nil || server.exclusion == plan.ReasonGone || server.status.State == wire.ServerState_SERVER_STATE_GONE || !server.status.Reachable
}

// splitMix64 is the finalizer of the SplitMix64 generator, a bijective 64-bit hash.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
