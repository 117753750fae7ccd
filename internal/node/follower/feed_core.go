package follower

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/wire"
)

// nearCoreGrace is how long after its start a process waits for the feed of a core
// of its own region before it follows another.
const nearCoreGrace = 150 * time.Millisecond

// chooseFeedCore returns the core whose feed is polled next. The front stays with
// the core that it follows. Otherwise cores of the own region go first, as the feed
// is the largest part of the control traffic, and the one whose feed has just
// failed goes last.
func (f *Follower) chooseFeedCore(now time.Time) (*wire.Process, bool) {
	if f.feed.position.core != "" {
		if core, known := f.peers.Process(f.feed.position.core); known {
			return core, true
		}
	}
	hasFailed := func(core *wire.Process) bool { return core.Name == f.feed.failedCore }
	others := slices.DeleteFunc(slices.Clone(f.peers.Cores()), hasFailed)
	near := f.nearCores(others, now)
	if core, ok := f.preferredCore(near, now); ok {
		return core, true
	}
	if len(near) > 0 && now.Sub(f.startedAt) < nearCoreGrace {
		return nil, false
	}
	if core, ok := f.preferredCore(others, now); ok {
		return core, true
	}
	return f.preferredCore(f.peers.Cores(), now)
}

// nearCores returns the cores of the own region, without those whose last renewal
// is stale. In a large fleet it returns only those of the own zone where there are
// some, as the front renews through these too.
func (f *Follower) nearCores(cores []*wire.Process, now time.Time) []*wire.Process {
	self := f.config.Self()
	inRegion := slices.DeleteFunc(slices.Clone(cores), func(core *wire.Process) bool {
		renewedAt := f.holder.RenewedAt(core.Name)
		isStale := !renewedAt.IsZero() && now.Sub(renewedAt) > f.config.CoreStaleAfter
		return core.Region != self.Region || isStale
	})
	if !f.isLarge() {
		return inRegion
	}
	inZone := slices.DeleteFunc(slices.Clone(inRegion), func(core *wire.Process) bool { return core.Zone != self.Zone })
	if len(inZone) > 0 {
		return inZone
	}
	return inRegion
}

// preferredCore returns the one of some cores that renewed last. While none has, it
// returns one that has answered or, once the first configuration is overdue, any.
func (f *Follower) preferredCore(cores []*wire.Process, now time.Time) (*wire.Process, bool) {
	if len(cores) == 0 {
		return nil, false
	}
	if core := f.lastRenewed(cores); core != nil {
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

// lastRenewed returns the core of some that granted a renewal last, or nil.
func (f *Follower) lastRenewed(cores []*wire.Process) *wire.Process {
	var last *wire.Process
	for _, core := range cores {
		renewedAt := f.holder.RenewedAt(core.Name)
		if renewedAt.IsZero() {
			continue
		}
		if last == nil || renewedAt.After(f.holder.RenewedAt(last.Name)) {
			last = core
		}
	}
	return last
}

// spreadIndex returns an index below count that depends on this front's name, so
// that fronts spread over the cores, and that moves on with each renewal interval.
func (f *Follower) spreadIndex(now time.Time, count int) int {
	interval := uint64(now.UnixNano() / int64(f.config.RenewInterval))
	return int((xxhash.Sum64String(f.name) + interval) % uint64(count))
}
