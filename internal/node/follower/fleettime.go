package follower

import (
	"sort"
	"time"
)

// FleetNow returns the time agreed from the cores' clocks. It is proof against
// steps of this machine's clock.
func (f *Follower) FleetNow() time.Time {
	return f.clock.Now().Add(time.Duration(f.offset.Load()))
}

func (f *Follower) setOffset() {
	all := make([]time.Duration, 0, len(f.offsets))
	for _, offset := range f.offsets {
		all = append(all, offset)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	f.offset.Store(int64(all[(len(all)-1)/2]))
}

// Timed tells whether fleet time may be decided by.
func (f *Follower) Timed() bool { return f.timed.Load() }

func (f *Follower) settleTime() {
	if f.timed.Load() || len(f.offsets) == 0 {
		return
	}
	known := 0
	voters := f.voters()
	for _, core := range voters {
		if _, ok := f.offsets[core]; ok {
			known++
		}
	}
	if (known > 0 && known == len(voters)) || f.clock.Now().Sub(f.begun) >= clockPatience {
		f.timed.Store(true)
	}
}
