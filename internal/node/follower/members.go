package follower

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// fedFresh is how long the feed's word on processes stands when no core
// answers; then only pings and the directory's sights tell who lives.
const fedFresh = 4 * time.Second

const goneFor = 10 * time.Minute // how long one that left the roster is remembered as gone

// told is what the feed says of a process, and when that came.
type told struct {
	process      *wire.Process
	gone, silent bool
	at           time.Time
}

func (f *Follower) takeSight(sight *wire.Sight) {
	p := sight.GetProcess()
	if p.GetName() == "" {
		return
	}
	next := told{process: p, gone: sight.Gone, silent: sight.Silent, at: f.clock.Now()}
	if held, ok := f.told[p.Name]; ok && held.gone == next.gone && held.silent == next.silent && lease.SameProcess(held.process, p) {
		next.at = held.at
	}
	f.told[p.Name] = next
}

// takeSights takes those of a snapshot; what it doesn't name is no longer told.
func (f *Follower) takeSights(sights []*wire.Sight) {
	named := make(map[string]bool, len(sights))
	for _, sight := range sights {
		named[sight.GetProcess().GetName()] = true
		f.takeSight(sight)
	}
	for name := range f.told {
		if !named[name] {
			delete(f.told, name)
		}
	}
}

// attest hands on every process that the feed says is live.
func (f *Follower) attest() {
	if f.config.Attest == nil {
		return
	}
	now := f.clock.Now()
	live := make([]*wire.Process, 0, len(f.told))
	for name, t := range f.told {
		if _, member := f.state.Roster[name]; t.gone && !member && now.Sub(t.at) >= goneFor {
			delete(f.told, name)
		}
		if !t.gone && t.process.Address != "" {
			live = append(live, t.process)
		}
	}
	f.config.Attest(live)
}

// said returns the feed's word on a process while a core answers.
func (f *Follower) said(name string, now time.Time) (told, bool) {
	t, ok := f.told[name]
	return t, ok && now.Sub(f.fedAt) < fedFresh
}

type fate int

const (
	lives fate = iota
	isSilent
	isGone
)

// fate tells what is known of a process: what this front met itself goes
// before the feed's word, unless that is newer; and a peer that refused stays
// gone until it answers or another life of it is told of, as the core may not
// have noticed yet.
func (f *Follower) fate(name string, now time.Time) fate {
	if name == f.name {
		return lives
	}
	word, said := f.said(name, now)
	met := f.contact[name]
	fresh := !met.IsZero() && now.Sub(met) < pingFresh && met.After(word.at)
	asked, open := f.asked[name]
	refused, refuses := f.refused[name]
	switch {
	case refuses && !(said && !word.gone && !word.silent && word.at.After(refused) && word.process.Incarnation > f.lives[name]):
		return isGone
	case said && word.gone && !fresh:
		return isGone
	case said && word.silent && !fresh:
		return isSilent
	case open && now.Sub(asked) >= pingFresh && !(said && word.at.After(asked)):
		return isSilent
	}
	return lives
}

func later(a, b *wire.Process) bool {
	return a.Incarnation > b.Incarnation || (a.Incarnation == b.Incarnation && a.Counter > b.Counter)
}

// splitRoster finds those of the roster who are not known to be gone, and who of
// them is silent. A peer that refuses connections, or of which a core says that
// it does or has left, is gone until it answers again.
func (f *Follower) splitRoster(roster []string) {
	now := f.clock.Now()
	live, silent := f.found.live[:0], f.found.silent[:0]
	for _, name := range roster {
		switch f.fate(name, now) {
		case isGone:
			continue
		case isSilent:
			silent = append(silent, name)
		}
		live = append(live, name)
	}
	f.found.live, f.found.silent = live, silent
}
