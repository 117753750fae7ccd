package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/wire"
)

// Reasons of exclusion besides those of the plan.
const (
	AtCap     = "at cap"
	NoPart    = "no part of the cap"
	Ejected   = "ejected"
	Probing   = "probed by another request"
	Busy      = "said busy"
	Tried     = "tried before"
	Loaded    = "loaded beyond the others"
	NotChosen = "not first"
)

const (
	busyFor       = 200 * time.Millisecond
	timeoutsToEnd = 3
	timeoutsFor   = time.Second
)

type server struct {
	name     string
	seed     uint64
	status   *wire.ServerStatus
	excluded string
	pools    []*pool

	full, cap int
	base      uint64
	floor     int
	seen      uint64
	planned   int
	planBase  uint64

	own, others int
	low, lowOld int
	extra       float64
	wanted      bool
	limited     bool

	rankGen, rank int

	timeouts  int
	timeoutAt time.Time
	ejections int
	ejected   bool
	until     time.Time
	probing   bool
	healing   bool
	healed    int
	busyUntil time.Time
}

func newServer(name string) *server {
	return &server{name: name, seed: xxhash.Sum64String(name)}
}

// learn takes a status in and tells whether the server's place in the pools moved.
func (t *Table) learn(s *server, status *wire.ServerStatus, now time.Time) bool {
	old, before := s.status, s.excluded
	s.status = status
	s.excluded = plan.ExclusionReason(t.view.State, status)
	s.full = t.cfg.Policy.FullCap(status)
	reborn := old != nil && status.Incarnation != old.Incarnation && status.Incarnation != 0
	cold := status.State == wire.ServerState_SERVER_STATE_COLD
	switch {
	case old == nil:
		if cold && status.Answered >= uint64(s.full) {
			s.base = status.Answered
		}
	case reborn:
		s.base, s.floor, s.seen, s.extra, s.planBase = 0, 0, 0, 0, 0
		s.heal()
		s.healing = false
	case cold && old.State != wire.ServerState_SERVER_STATE_COLD:
		s.base, s.floor, s.seen, s.extra = status.Answered, 0, 0, 0
	case before != "" && s.excluded == "":
		s.base, s.floor, s.seen, s.extra = status.Answered, t.cfg.Policy.RecoveryCap(s.full), 0, 0
	}
	if old != nil && status.Answered > old.Answered {
		s.timeouts = 0
	}
	t.setCap(s)
	if status != old {
		t.setLoad(s, s.own, max(0, int(status.Running+status.Queued)-min(s.low, s.lowOld)))
		s.low, s.lowOld = s.own, s.low
		t.lend(s)
	}
	return before != s.excluded || old == nil || old.Region != status.Region || !slices.Equal(old.Services, status.Services)
}

func (t *Table) setCap(s *server) {
	answered := s.seen
	if s.status.Answered > s.base {
		answered = max(answered, s.status.Answered-s.base)
	}
	next := min(s.full, max(t.cfg.Policy.SlowStartCap, s.floor)+int(min(answered, 1<<20)))
	if s.planned > 0 {
		since := s.seen
		if s.status.Answered > s.planBase {
			since = max(since, s.status.Answered-s.planBase)
		}
		next = min(next, s.planned+int(min(since, 1<<20)))
	}
	for _, p := range s.pools {
		p.cap += next - s.cap
	}
	s.cap = next
}

func (t *Table) setLoad(s *server, own, others int) {
	for _, p := range s.pools {
		p.load += own + others - s.own - s.others
	}
	s.own, s.others = own, others
	s.low = min(s.low, own)
}

func (s *server) ramping() bool { return s.cap < s.full }

// lend moves the part that a front may use beyond its share of the cap. At each
// status of a server with room, the fronts that are at their limit divide half
// of the room in proportion to what they have in flight; the others give back half of
// what they don't use. So the limits of all fronts add up to no more than three
// caps, and to the cap itself while the server ramps.
func (t *Table) lend(s *server) {
	share := t.share(s)
	free := s.cap - s.own - s.others
	before := s.limited
	s.limited = s.wanted && s.own >= t.limit(s, share)
	switch {
	case s.ramping():
		s.extra = 0
	case free > 0 && s.limited && before:
		s.extra = min(s.extra+float64(free)/2*float64(s.own)/float64(max(1, s.own+s.others)), float64(s.cap))
	default:
		s.extra = max(float64(s.own-share), s.extra/2, 0)
	}
	s.wanted = false
}

func (t *Table) limit(s *server, share int) int { return min(share+int(s.extra), s.cap) }

// share is the part of the cap that is this front's alone. The parts of all
// fronts add up to the cap: what doesn't divide goes to the fronts that rank
// first for the server.
func (t *Table) share(s *server) int {
	n := len(t.fronts)
	whole, rest := s.cap/n, s.cap%n
	if rest > 0 && t.rank(s) < rest {
		whole++
	}
	return whole
}

func (t *Table) rank(s *server) int {
	if s.rankGen != t.frontsGen {
		mine := mix(t.self ^ s.seed)
		s.rank, s.rankGen = 0, t.frontsGen
		for _, front := range t.fronts {
			if mix(front^s.seed) > mine {
				s.rank++
			}
		}
	}
	return s.rank
}

// closed returns why the server has no room for this front, or "".
func (t *Table) closed(s *server, now time.Time) string {
	if s.ejected {
		if now.Before(s.until) {
			return Ejected
		}
		if s.probing {
			return Probing
		}
		return ""
	}
	if now.Before(s.busyUntil) {
		return Busy
	}
	if s.healing && s.own > s.healed {
		return AtCap
	}
	share := t.share(s)
	if s.own < share {
		return ""
	}
	s.wanted = true
	if s.own < t.limit(s, share) && s.own+s.others < s.cap {
		return ""
	}
	if share == 0 && s.own == 0 && s.extra < 1 {
		return NoPart
	}
	return AtCap
}

// Started counts a request in flight at the chosen server.
func (t *Table) Started(name string) {
	s := t.servers[name]
	if s == nil {
		return
	}
	if s.ejected {
		s.probing = true
	}
	t.setLoad(s, s.own+1, s.others)
}

// Finished ends a request that Started counted. Answers seen raise the cap of a
// ramping server. A refusal ejects the server until one request has probed it;
// so do three timeouts in a row over a second, unless the server is known to
// have answered others meanwhile: then it is slow, not dead.
func (t *Table) Finished(name string, o Outcome, now time.Time) {
	s := t.servers[name]
	if s == nil {
		return
	}
	t.setLoad(s, max(0, s.own-1), s.others)
	t.queue.unserved = true
	s.probing = false
	t.learnTook(o)
	switch {
	case o.OK:
		s.seen++
		s.healed++
		s.healing = s.healing && s.healed < s.cap
		s.heal()
		t.setCap(s)
		for _, p := range s.pools {
			p.rate.hit(now)
		}
	case o.Busy:
		s.extra = 0
		s.busyUntil = now.Add(busyFor)
	case o.Refused:
		t.eject(s, now)
	case o.Timeout:
		if s.timeouts == 0 {
			s.timeoutAt = now
		}
		s.timeouts++
		if s.ejected || s.timeouts >= timeoutsToEnd && now.Sub(s.timeoutAt) >= timeoutsFor {
			t.eject(s, now)
		}
	case s.ejected:
		t.eject(s, now)
	}
	if s.own == 0 && s.excluded == plan.ReasonGone {
		if _, listed := t.view.Servers[name]; !listed {
			delete(t.servers, name)
		}
	}
}

func (t *Table) eject(s *server, now time.Time) {
	if s.ejected && now.Before(s.until) {
		return
	}
	span := t.cfg.EjectFor << min(s.ejections, 8)
	s.ejections++
	s.ejected, s.probing = true, false
	s.until = now.Add(min(span, t.cfg.EjectMost))
	s.healing, s.healed, s.extra = true, 0, 0
}

func (s *server) heal() {
	s.timeouts, s.ejections = 0, 0
	s.ejected, s.probing = false, false
}

// ServerView is one server as the table sees it, for inspection.
type ServerView struct {
	Server   string `json:"server"`
	Excluded string `json:"excluded,omitempty"`
	Cap      int    `json:"cap"`
	Full     int    `json:"full"`
	Part     int    `json:"part"`
	Own      int    `json:"own"`
	Others   int    `json:"others"`
	Ramping  bool   `json:"ramping,omitempty"`
	Ejected  bool   `json:"ejected,omitempty"`
}

// Servers returns every known server in the order of the names.
func (t *Table) Servers() []ServerView {
	all := make([]ServerView, 0, len(t.servers))
	for _, s := range t.servers {
		all = append(all, ServerView{Server: s.name, Excluded: s.excluded, Cap: s.cap, Full: s.full,
			Part: t.limit(s, t.share(s)), Own: s.own, Others: s.others, Ramping: s.ramping(), Ejected: s.ejected})
	}
	slices.SortFunc(all, func(a, b ServerView) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// Ejected returns the names of the servers that rest, in no order.
func (t *Table) Ejected() []string {
	var names []string
	for name, s := range t.servers {
		if s.ejected {
			names = append(names, name)
		}
	}
	return names
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
