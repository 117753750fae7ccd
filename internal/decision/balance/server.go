package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/wire"
)

const (
	// failuresToEject in a row rest a server; a refused connection does at once.
	failuresToEject = 2
	// A server that failed a request costs more for doubtFor, and as much longer
	// for each further one; an answer takes doubtHeals of one failure back.
	doubtFor   = 2 * time.Second
	doubtMost  = 5
	doubtHeals = 0.25
)

// server is what one node knows of one server.
type server struct {
	name     string
	hash     uint64
	status   *wire.ServerStatus
	excluded string // why it gets nothing; empty where it may
	cold     coldLimit
	replaced bool // another server was met at its address
	left     bool // the view does not have it any more

	inFlight int
	waiting  []*Attempt // whose answers have not begun, the oldest first
	backlog  float64    // prompt tokens of those
	heard    time.Time

	doubts    float64 // failures of late
	doubted   time.Time
	failures  int
	ejections int
	until     time.Time // rests until then
	probing   bool      // one request finds out whether it is back
}

// Attempt is one request at one server.
type Attempt struct {
	server  *server
	service string
	route   *routeLoad
	began   time.Time
	reads   float64 // prompt tokens that the server is expected to read
	alone   bool    // nothing else of this node was there when it began
	begun   bool
	ended   bool
}

// Server returns the name of the attempt's server.
func (a *Attempt) Server() string { return a.server.name }

func newServer(name string) *server { return &server{name: name, hash: xxhash.Sum64String(name)} }

func (t *Table) learn(s *server, status *wire.ServerStatus, now time.Time) {
	s.status = status
	s.excluded = plan.ExclusionReason(t.view.State, status)
	if s.replaced {
		s.excluded = plan.ReasonGone
	}
	s.cold.until = now.Add(time.UnixMilli(status.ColdUntilMs).Sub(t.view.FleetNow))
	if status.ColdUntilMs == 0 {
		s.cold.until = time.Time{}
	}
}

// open tells whether a server may get one more request of this node now.
func (t *Table) open(s *server, now time.Time) bool {
	switch {
	case now.Before(s.until), s.probing:
		return false
	case s.inFlight >= t.connections(s):
		return false
	}
	return t.coldOpen(s, now)
}

// connections returns this node's part of the connections that a server takes.
func (t *Table) connections(s *server) int {
	bound := 0
	for _, service := range s.status.Services {
		if t.view.State.Sheet != nil {
			bound = max(bound, t.view.State.Sheet.Services[service].MaxConnections)
		}
	}
	if bound == 0 {
		return unbounded
	}
	return max(1, bound/len(t.fronts))
}

const unbounded = 1 << 20

func (s *server) started(a *Attempt, now time.Time) {
	s.inFlight++
	s.waiting = append(s.waiting, a)
	s.backlog += a.reads
	s.cold.take(now)
	if s.ejections > 0 {
		s.probing = true
	}
}

func (s *server) begun(a *Attempt, now time.Time) {
	s.heard = now
	s.leaveWaiting(a)
}

func (s *server) leaveWaiting(a *Attempt) {
	at := slices.Index(s.waiting, a)
	if at < 0 {
		return
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	s.backlog -= a.reads
	if len(s.waiting) == 0 {
		s.backlog = 0
	}
}

func (s *server) finished(a *Attempt, outcome Outcome, now time.Time, config Config) {
	s.inFlight--
	s.leaveWaiting(a)
	s.probing = false
	switch {
	case outcome.Replaced:
		s.replaced, s.excluded = true, plan.ReasonGone
	case outcome.Erred:
		s.heard = now
		s.doubt(now)
		s.failures, s.ejections = 0, 0
		s.until = time.Time{}
	case outcome.OK, outcome.Rejected:
		s.heard = now
		s.doubts = max(0, s.doubts-doubtHeals)
		s.failures, s.ejections = 0, 0
		s.until = time.Time{}
	case outcome.Refused, outcome.Silent:
		s.eject(now, config)
	case outcome.Failed:
		s.doubt(now)
		s.failures++
		if s.failures >= failuresToEject || s.ejections > 0 {
			s.eject(now, config)
		}
	}
}

func (s *server) eject(now time.Time, config Config) {
	if config.Off[Ejection] || now.Before(s.until) {
		return
	}
	s.until = now.Add(min(config.EjectFor<<min(s.ejections, 8), config.EjectMost))
	s.ejections++
	s.failures = 0
}

// doubt notes that a server failed a request.
func (s *server) doubt(now time.Time) {
	s.doubts = min(s.doubts+1, doubtMost)
	s.doubted = now.Add(time.Duration(s.doubts * float64(doubtFor)))
}

// Silence is how long a server has been silent on what it was sent, against
// what is expected of it.
type Silence int

// Silences, from the shortest.
const (
	// Usual: no longer than expected.
	Usual Silence = iota
	// Long: longer than expected, which may well be another node's work there.
	Long
	// Hanging: so long that requests go elsewhere where they can.
	Hanging
	// Mute: so long that hardly any work explains it.
	Mute
)

// A server that has given no sign of life since its oldest request was sent is
// silent when that has waited a factor of the time that it is expected to, and
// some time more.
var silences = []struct {
	silence Silence
	factor  float64
	least   time.Duration
}{
	{Mute, 3, 600 * time.Millisecond},
	{Hanging, 2, 250 * time.Millisecond},
	{Long, 1.5, 150 * time.Millisecond},
}

// silence returns how long a server has been silent on what this node sent it.
func (t *Table) silence(s *server, now time.Time) Silence {
	if len(s.waiting) == 0 {
		return Usual
	}
	oldest := s.waiting[0]
	if s.heard.After(oldest.began) {
		return Usual
	}
	expected := float64(t.speed(oldest.service).expected(s.backlog))
	waited := now.Sub(oldest.began)
	for _, bound := range silences {
		if waited >= time.Duration(bound.factor*expected)+bound.least {
			return bound.silence
		}
	}
	return Usual
}
