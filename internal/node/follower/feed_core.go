package follower

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/wire"
)

// sameRegionGrace is how long after its start a front waits for a suitable core in
// its own region before it follows the feed of another.
const sameRegionGrace = 150 * time.Millisecond

// chooseFeedCore returns the core whose feed is polled next. The front stays with
// the core that it follows. Otherwise cores in the front's region are preferred,
// because the feed is the largest part of the control traffic, and the core whose
// feed failed most recently comes last.
func (f *Follower) chooseFeedCore(now time.Time) (*wire.Process, bool) {
	if f.feed.position.core != "" {
		if core, known := f.peers.Process(f.feed.position.core); known {
			return core, true
		}
	}
	isLastFailed := func(core *wire.Process) bool { return core.Name == f.feed.lastFailedCore }
	candidates := slices.DeleteFunc(slices.Clone(f.peers.Cores()), isLastFailed)
	nearby := f.nearbyCores(candidates, now)
	if core, ok := f.preferredCore(nearby, now); ok {
		return core, true
	}
	if len(nearby) > 0 && now.Sub(f.startedAt) < sameRegionGrace {
		return nil, false
	}
	if core, ok := f.preferredCore(candidates, now); ok {
		return core, true
	}
	return f.preferredCore(f.peers.Cores(), now)
}

// nearbyCores returns the cores in the front's region, except those whose last
// renewal is stale. In a large fleet it returns only those in the front's zone if
// there are any, because the front renews through such a core, too.
func (f *Follower) nearbyCores(cores []*wire.Process, now time.Time) []*wire.Process {
	self := f.config.Self()
	inRegion := slices.DeleteFunc(slices.Clone(cores), func(core *wire.Process) bool {
		renewedAt := f.holder.RenewedAt(core.Name)
		isStale := !renewedAt.IsZero() && now.Sub(renewedAt) > f.config.CoreStaleAfter
		return core.Region != self.Region || isStale
	})
	if !f.isLargeFleet() {
		return inRegion
	}
	inZone := slices.DeleteFunc(slices.Clone(inRegion), func(core *wire.Process) bool { return core.Zone != self.Zone })
	if len(inZone) > 0 {
		return inZone
	}
	return inRegion
}

// preferredCore returns the given core that granted a renewal most recently. If
// none has granted one, it returns a core that has answered a renewal or, once the
// first configuration is overdue, any of the given cores.
func (f *Follower) preferredCore(cores []*wire.Process, now time.Time) (*wire.Process, bool) {
	if len(cores) == 0 {
		return nil, false
	}
	if core := f.mostRecentlyRenewed(cores); core != nil {
		return core, true
	}
	answered := slices.DeleteFunc(slices.Clone(cores), func(core *wire.Process) bool {
		return !f.renewals.hasAnswered(core.Name)
	})
	switch {
	case len(answered) > 0:
		cores = answered
	case now.Sub(f.startedAt) < initialFeedGrace:
		return nil, false
	}
	return cores[f.spreadIndex(now, len(cores))], true
}

// mostRecentlyRenewed returns the given core that granted the newest renewal, or
// nil if none has granted one.
func (f *Follower) mostRecentlyRenewed(cores []*wire.Process) *wire.Process {
	var newest *wire.Process
	for _, core := range cores {
		renewedAt := f.holder.RenewedAt(core.Name)
		if renewedAt.IsZero() {
			continue
		}
		if newest == nil || renewedAt.After(f.holder.RenewedAt(newest.Name)) {
			newest = core
		}
	}
	return newest
}

// spreadIndex returns an index below count. It depends on the front's name, so that
// the fronts spread over the cores, and advances with each renewal interval.
func (f *Follower) spreadIndex(now time.Time, count int) int {
	interval := uint64(now.UnixNano() / int64(f.config.RenewInterval))
	return int((xxhash.Sum64String(f.name) + interval) % uint64(count))
}
