package lease

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

type entry struct {
	member      statemachine.Member
	process     *wire.Process
	incarnation uint64
	version     uint64
	until       time.Time
	heard       time.Time
}

type refusal struct {
	since, last time.Time
}

// Ledger is a core's side of leases. It lives in memory alone: a core that
// restarted is settled once it has been up for a TTL, when whatever its former
// life granted has lapsed. It has one owner.
type Ledger struct {
	core    string
	ttl     time.Duration
	begun   time.Time
	members map[string]*entry
	gone    map[string]refusal
	left    map[string]release
}

type release struct {
	incarnation uint64
	at          time.Time
}

const leftFor = time.Minute // how long a renewal that was under way at a release is looked out for

// Quiet is a member to be pinged: what it was last known as. Incarnation is
// zero for one that has not renewed since the core started.
type Quiet struct {
	Name        string
	Incarnation uint64
}

// NewLedger returns an empty ledger of a core that starts now.
func NewLedger(core string, ttl time.Duration, now time.Time) *Ledger {
	return &Ledger{core: core, ttl: ttl, begun: now, members: map[string]*entry{}, gone: map[string]refusal{}, left: map[string]release{}}
}

// Renew renews the lease of a member that has confirmed what the core learned; to any
// other it answers EpochBehind with its learned version. A request without a
// record that comes from a life unknown here is asked for it. It must only be asked
// when the core has caught up with a majority since its own start.
func (l *Ledger) Renew(req *wire.RenewRequest, learned uint64, now time.Time) *wire.RenewResponse {
	resp := &wire.RenewResponse{Core: l.core, Learned: learned, TtlMs: uint32(l.ttl.Milliseconds()), TimeUs: now.UnixMicro()}
	self := l.record(req)
	if self == nil {
		return &wire.RenewResponse{Core: l.core, TimeUs: now.UnixMicro(), Who: true}
	}
	name := self.GetName()
	e, ok := l.members[name]
	if r, gone := l.left[name]; (gone && self.GetIncarnation() <= r.incarnation) || (ok && self.GetIncarnation() < e.incarnation) {
		resp.Refusal = uint32(apierror.VersionBehind)
		return resp
	}
	if !ok || self.GetIncarnation() > e.incarnation {
		e = &entry{incarnation: self.GetIncarnation()}
		l.members[name] = e
	}
	if !SameProcess(e.process, self) && !before(self, e.process) {
		e.process = self
	}
	e.member = statemachine.Member{Name: name, Region: self.GetRegion(), Zone: self.GetZone(), Core: self.GetCore(), Front: self.GetFront()}
	e.heard = now
	delete(l.gone, name)
	e.version = max(e.version, req.Epoch)
	if req.Epoch == 0 || req.Epoch < learned {
		resp.Refusal = uint32(apierror.VersionBehind)
		return resp
	}
	e.until = now.Add(l.ttl)
	resp.Granted = true
	return resp
}

// Renewing returns the name of the member that a renewal is for, "" for none.
func Renewing(req *wire.RenewRequest) string {
	if req.Self != nil {
		return req.Self.Name
	}
	return req.Name
}

func (l *Ledger) record(req *wire.RenewRequest) *wire.Process {
	if req.Self != nil {
		return req.Self
	}
	return l.Record(req.Name, req.Incarnation)
}

// Record returns what a member said of itself in one life, nil where that is not
// known. It must not be changed.
func (l *Ledger) Record(name string, incarnation uint64) *wire.Process {
	if e, ok := l.members[name]; ok && e.process != nil && e.process.Incarnation == incarnation && e.incarnation == incarnation {
		return e.process
	}
	return nil
}

// Release ends the lease of a member that stops of itself. A renewal of that
// life which comes in later gives no lease.
func (l *Ledger) Release(name string, incarnation uint64, now time.Time) {
	if e, ok := l.members[name]; ok && e.incarnation <= incarnation {
		delete(l.members, name)
	}
	if r, ok := l.left[name]; !ok || r.incarnation <= incarnation {
		l.left[name] = release{incarnation: incarnation, at: now}
	}
}

// Heard takes a member's answer to the core's own ping. A later life ends the
// lease of the one before.
func (l *Ledger) Heard(name string, incarnation uint64, now time.Time) {
	delete(l.gone, name)
	e, ok := l.members[name]
	switch {
	case !ok || incarnation < e.incarnation:
	case incarnation == e.incarnation:
		e.heard = now
	default:
		l.members[name] = &entry{member: e.member, process: e.process, incarnation: incarnation, heard: now}
	}
}

// Gone takes a refusal of a connection: no process lives there, so what it
// held is released at once. Incarnation is the one that was known when the
// connection was tried; a member that renewed as another since stays.
func (l *Ledger) Gone(name string, incarnation uint64, now time.Time) {
	if e, ok := l.members[name]; ok {
		if e.incarnation != incarnation {
			return
		}
		delete(l.members, name)
	}
	r, ok := l.gone[name]
	if !ok || now.Sub(r.last) >= l.ttl {
		r.since = now
	}
	r.last = now
	l.gone[name] = r
}

// Quiet returns the members, of the roster or holding a lease, that the core
// has not heard for a span: these it pings. Sorted by name.
func (l *Ledger) Quiet(roster map[string]statemachine.Member, span time.Duration, now time.Time) []Quiet {
	var quiet []Quiet
	for name, e := range l.members {
		if now.Sub(e.heard) >= span {
			quiet = append(quiet, Quiet{Name: name, Incarnation: e.incarnation})
		}
	}
	for name := range roster {
		if _, ok := l.members[name]; !ok {
			quiet = append(quiet, Quiet{Name: name})
		}
	}
	sort.Slice(quiet, func(i, j int) bool { return quiet[i].Name < quiet[j].Name })
	return quiet
}

// Expire forgets members whose lease lapsed and that have been quiet for a
// TTL and more.
func (l *Ledger) Expire(now time.Time) {
	for name, e := range l.members {
		if !now.Before(e.until) && now.Sub(e.heard) >= 2*l.ttl {
			delete(l.members, name)
		}
	}
	for name, r := range l.gone {
		if now.Sub(r.last) >= 2*l.ttl {
			delete(l.gone, name)
		}
	}
	for name, r := range l.left {
		if now.Sub(r.at) >= leftFor {
			delete(l.left, name)
		}
	}
}

// Live tells whether a member's lease stands here.
func (l *Ledger) Live(name string, now time.Time) bool {
	e, ok := l.members[name]
	return ok && now.Before(e.until)
}

// Settled tells whether the core has been up for longer than a TTL.
func (l *Ledger) Settled(now time.Time) bool { return now.Sub(l.begun) > l.ttl }

// View answers what the core knows of the question whether a version is in
// force. Members are named with their incarnation, as MemberID writes them.
func (l *Ledger) View(version, learned uint64, now time.Time) *wire.LeaseViewResponse {
	view := &wire.LeaseViewResponse{Core: l.core, Learned: learned, Settled: l.Settled(now)}
	for name, e := range l.members {
		switch {
		case !now.Before(e.until):
		case e.version >= version:
			view.Confirmed = append(view.Confirmed, MemberID(name, e.incarnation))
		default:
			view.Waiting = append(view.Waiting, MemberID(name, e.incarnation))
		}
	}
	for name, r := range l.gone {
		if now.Sub(r.last) < l.ttl {
			view.Gone = append(view.Gone, name)
		}
	}
	sort.Strings(view.Confirmed)
	sort.Strings(view.Waiting)
	sort.Strings(view.Gone)
	return view
}

// About is View reduced to the lease of one member.
func (l *Ledger) About(name string, learned uint64, now time.Time) *wire.LeaseViewResponse {
	view := &wire.LeaseViewResponse{Core: l.core, Learned: learned, Settled: l.Settled(now)}
	if e, ok := l.members[name]; ok && l.Live(name, now) {
		view.Confirmed = []string{MemberID(name, e.incarnation)}
	}
	return view
}

// Whole tells whether every lease that stands is confirmed at a version, and
// they are more than half of a roster of which some refuse connections. It is
// this core's part of InForce, worked out without a view.
func (l *Ledger) Whole(version uint64, roster map[string]statemachine.Member, now time.Time) bool {
	confirmed := 0
	for _, e := range l.members {
		if !now.Before(e.until) {
			continue
		}
		if e.version < version {
			return false
		}
		confirmed++
	}
	of := len(roster)
	for name := range l.gone {
		if _, member := roster[name]; member {
			of--
		}
	}
	return confirmed*2 > of
}

// Newcomers returns the processes that renew here but are not on the roster.
// Sorted by name.
func (l *Ledger) Newcomers(roster map[string]statemachine.Member, now time.Time) []statemachine.Member {
	var members []statemachine.Member
	for name, e := range l.members {
		if _, known := roster[name]; !known && name != "" && now.Sub(e.heard) < l.ttl {
			members = append(members, e.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Departed returns the members of the roster that have refused connections
// without a break for a span. Sorted.
func (l *Ledger) Departed(roster map[string]statemachine.Member, span time.Duration, now time.Time) []string {
	var names []string
	for name, r := range l.gone {
		if _, ok := roster[name]; ok && now.Sub(r.last) < l.ttl && r.last.Sub(r.since) >= span {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// MemberID names one life of a member.
func MemberID(name string, incarnation uint64) string {
	return name + "#" + strconv.FormatUint(incarnation, 10)
}

// ParseMemberID is the reverse of MemberID; a name alone has incarnation zero.
func ParseMemberID(id string) (name string, incarnation uint64) {
	cut := strings.LastIndexByte(id, '#')
	if cut < 0 {
		return id, 0
	}
	incarnation, err := strconv.ParseUint(id[cut+1:], 10, 64)
	if err != nil {
		return id, 0
	}
	return id[:cut], incarnation
}
