package follower

import (
	"slices"
	"sync/atomic"
	"time"
)

// fleetTimeGrace is how long after its start a front waits for the clocks of all
// voting cores. With only one clock, or two that differ, the median can't exclude a
// wrong one.
const fleetTimeGrace = 1500 * time.Millisecond

// fleetClock estimates fleet time: this process's clock plus the median offset of
// the cores' clocks from it.
type fleetClock struct {
	offset atomic.Int64 // fleet time minus this process's clock, in nanoseconds
	ready  atomic.Bool  // decisions may be based on fleet time; never cleared

	offsets map[string]time.Duration // newest measured offset by core; accessed only by the owner
}

// recordOffset records the measured offset of a core's clock and updates the
// median. For an even number of cores it uses the lower of the two middle offsets.
func (c *fleetClock) recordOffset(core string, offset time.Duration) {
	c.offsets[core] = offset
	sorted := make([]time.Duration, 0, len(c.offsets))
	for _, measured := range c.offsets {
		sorted = append(sorted, measured)
	}
	slices.Sort(sorted)
	lowerMedian := sorted[(len(sorted)-1)/2]
	c.offset.Store(int64(lowerMedian))
}

// hasOffsets reports whether the clock of each given core has been measured. It
// returns false if no core is given.
func (c *fleetClock) hasOffsets(cores []string) bool {
	for _, core := range cores {
		if _, measured := c.offsets[core]; !measured {
			return false
		}
	}
	return len(cores) > 0
}

// FleetNow returns the current fleet time, which is derived from the cores' clocks.
// It does not follow steps of this machine's clock.
func (f *Follower) FleetNow() time.Time {
	return f.clock.Now().Add(time.Duration(f.fleetTime.offset.Load()))
}

// FleetTimeReady reports whether decisions may be based on fleet time.
func (f *Follower) FleetTimeReady() bool { return f.fleetTime.ready.Load() }

// updateFleetTimeReady marks fleet time as ready once the clocks of all voting
// cores have been measured or, after fleetTimeGrace, at least one clock.
func (f *Follower) updateFleetTimeReady() {
	if f.fleetTime.ready.Load() || len(f.fleetTime.offsets) == 0 {
		return
	}
	if f.fleetTime.hasOffsets(f.voters()) || f.clock.Now().Sub(f.startedAt) >= fleetTimeGrace {
		f.fleetTime.ready.Store(true)
	}
}
