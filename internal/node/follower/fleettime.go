package follower

import (
	"slices"
	"sync/atomic"
	"time"
)

// fleetTimeGrace is how long after its start a front waits for every core's
// clock: one clock alone, or two that differ, can't out-vote a wrong one.
const fleetTimeGrace = 1500 * time.Millisecond

// fleetClock estimates fleet time: this process's clock and the median of the
// offsets of the cores' clocks from it.
type fleetClock struct {
	offset atomic.Int64 // fleet time less this process's clock, in nanoseconds
	ready  atomic.Bool  // decisions may be based on fleet time; never unset

	offsets map[string]time.Duration // by core, as last measured; of the owner
}

// record takes a measured offset of a core's clock.
func (c *fleetClock) record(core string, offset time.Duration) {
	c.offsets[core] = offset
	sorted := make([]time.Duration, 0, len(c.offsets))
	for _, known := range c.offsets {
		sorted = append(sorted, known)
	}
	slices.Sort(sorted)
	lowerMedian := sorted[(len(sorted)-1)/2]
	c.offset.Store(int64(lowerMedian))
}

// knowsAll reports whether the clock of each core was measured; not for no cores.
func (c *fleetClock) knowsAll(cores []string) bool {
	for _, core := range cores {
		if _, known := c.offsets[core]; !known {
			return false
		}
	}
	return len(cores) > 0
}

// FleetNow returns the time agreed from the cores' clocks. It does not follow
// steps of this machine's clock.
func (f *Follower) FleetNow() time.Time {
	return f.clock.Now().Add(time.Duration(f.fleetTime.offset.Load()))
}

// FleetTimeReady reports whether decisions may be based on fleet time.
func (f *Follower) FleetTimeReady() bool { return f.fleetTime.ready.Load() }

// checkFleetTime marks fleet time as ready once every voting core's clock is
// known, or after a while with those that are.
func (f *Follower) checkFleetTime() {
	if f.fleetTime.ready.Load() || len(f.fleetTime.offsets) == 0 {
		return
	}
	if f.fleetTime.knowsAll(f.voters()) || f.clock.Now().Sub(f.startedAt) >= fleetTimeGrace {
		f.fleetTime.ready.Store(true)
	}
}
