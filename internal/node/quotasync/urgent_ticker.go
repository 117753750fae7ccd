package quotasync

import (
	"time"

	"stepwick/internal/clock"
)

// ticksPerInterval is how often within an exchange interval urgent counts are sent
// and pending requests decided again.
const ticksPerInterval = 10

// urgentTicker divides the exchange interval into ticks. It runs only while needed.
type urgentTicker struct {
	clock    clock.Clock
	interval time.Duration    // least time between two sends of urgent counts to an owner
	ticks    <-chan time.Time // nil unless running
	release  func()           // of the ticker that runs, or ran last
	lastTick time.Time
}

func newUrgentTicker(clock clock.Clock, interval time.Duration) urgentTicker {
	return urgentTicker{
		clock:    clock,
		interval: interval,
		release:  func() {},
	}
}

// setRunning starts or stops the ticker.
func (t *urgentTicker) setRunning(running bool) {
	switch {
	case running && t.ticks == nil:
		ticker := t.clock.Ticker(t.interval)
		t.ticks = ticker.C()
		t.release = ticker.Stop
	case !running && t.ticks != nil:
		t.release()
		t.ticks = nil
		t.release = func() {}
	}
}

// elapsed reports whether the last tick is over.
func (t *urgentTicker) elapsed() bool { return t.clock.Now().Sub(t.lastTick) >= t.interval }
