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

// publish hands out a newer view and wakes those who wait for one, unless it
// would say the same as the last: a large fleet in which nothing happens must not
// cost its nodes anything.
func (f *Follower) publish() {
	view := f.nextView()
	f.findFronts()
	f.splitRoster(view.Roster)
	old := f.view.Load()
	view.Fronts = keep(old.Fronts, f.found.fronts, lease.SameProcess)
	view.Live = keep(old.Live, f.found.live, sameName)
	view.Silent = keep(old.Silent, f.found.silent, sameName)
	f.handOut(view)
}

// publishServers is publish where only servers were told of. In a large fleet, where
// the feed tells who falls silent, the members are taken to be as they were at the
// last look. In a small one each node finds that out by its own pings, as time
// passes, and a look costs little.
func (f *Follower) publishServers() {
	if !f.isLarge() {
		f.publish()
		return
	}
	f.handOut(f.nextView())
}

// nextView returns a view of what is held now, with the members of the last one.
func (f *Follower) nextView() *View {
	old, servers := f.view.Load(), f.reports.Servers()
	view := &View{State: f.state, Index: old.Index.For(f.state), Plan: f.plan, Servers: servers,
		Verdict: f.holder.Authority(f.clock.Now()), Fronts: old.Fronts, Roster: old.Roster, Live: old.Live, Silent: old.Silent,
		version: f.reports.Version()}
	if old.State.Version != f.state.Version {
		view.Roster = rosterNames(f.state)
	}
	return view
}

func (f *Follower) handOut(view *View) {
	if f.published && view.same(f.view.Load()) {
		return
	}
	f.published = true
	f.view.Store(view)
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}

// found holds what a look at the members came to. Its memory is used again at the
// next look.
type found struct {
	fronts       []*wire.Process
	live, silent []string
}

// keep returns the old list where the new one says the same, and else a copy of
// the new one.
func keep[T any](old, found []T, same func(a, b T) bool) []T {
	if slices.EqualFunc(old, found, same) {
		return old
	}
	return slices.Clone(found)
}

func sameName(a, b string) bool { return a == b }

// same tells whether a view says what an earlier one did. How long the verdict
// stands is no part of it: Ruling tells that.
func (v *View) same(old *View) bool {
	return v.State.Version == old.State.Version && v.Index == old.Index && v.Plan == old.Plan && v.version == old.version &&
		v.Verdict.Granted == old.Verdict.Granted && v.Verdict.Source == old.Verdict.Source &&
		identical(v.Live, old.Live) && v.SameFronts(old)
}

// SameFronts tells whether an earlier view has the same live and silent fronts.
func (v *View) SameFronts(old *View) bool {
	return identical(v.Fronts, old.Fronts) && identical(v.Silent, old.Silent)
}

// identical tells whether two lists are one and the same.
func identical[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// findFronts finds the live fronts that don't leave, in the order of their
// names: ready ones and those that will be.
func (f *Follower) findFronts() {
	now, sights := f.clock.Now(), f.config.Sighted()
	f.found.fronts = f.found.fronts[:0]
	for _, s := range sights {
		f.findFront(s.Process, s.Seen, now)
	}
	unsighted := false
	for name, t := range f.told {
		if t.process.Address != "" && !sighted(sights, name) {
			f.findFront(t.process, t.at, now)
			unsighted = true
		}
	}
	if unsighted {
		slices.SortFunc(f.found.fronts, byName)
	}
}

func byName(a, b *wire.Process) int { return strings.Compare(a.Name, b.Name) }

// sighted tells whether a process is among sights, which are ordered by name.
func sighted(sights []port.Sight, name string) bool {
	_, found := slices.BinarySearchFunc(sights, name, func(s port.Sight, name string) int {
		return strings.Compare(s.Process.Name, name)
	})
	return found
}

// findFront takes a process among the live fronts if it is one. Seen is when it
// was last known to live.
func (f *Follower) findFront(p *wire.Process, seen, now time.Time) {
	word, said := f.said(p.Name, now)
	if said && later(word.process, p) {
		p = word.process
	}
	if met, ok := f.words[p.Name]; ok && met.incarnation >= p.Incarnation && !(said && word.at.After(met.at)) &&
		(met.ready != p.Ready || met.leaving != p.Leaving) {
		p = proto.Clone(p).(*wire.Process)
		p.Ready, p.Leaving = met.ready, met.leaving
	}
	if !p.Front || p.Leaving || f.fate(p.Name, now) != lives {
		return
	}
	if _, pinged := f.asked[p.Name]; p.Name != f.name && !said && !pinged &&
		now.Sub(f.contact[p.Name]) >= sightFresh && now.Sub(seen) >= sightFresh {
		return
	}
	f.found.fronts = append(f.found.fronts, p)
}
