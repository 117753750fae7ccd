package quotasync

import (
	"time"

	"stepwick/internal/clock"
)

// ticksPerInterval is the number of times per exchange interval that urgent counts are
// sent and pending requests are decided again.
const ticksPerInterval = 10

// urgentTicker divides the exchange interval into ticks. It can be stopped while no ticks
// are needed.
type urgentTicker struct {
	clock    clock.Clock
	interval time.Duration    // minimum time between two sends of urgent counts to an owner
	ticks    <-chan time.Time // nil while stopped
	stop     func()           // stops the underlying ticker; does nothing while stopped
	lastTick time.Time
}

func newUrgentTicker(clock clock.Clock, interval time.Duration) urgentTicker {
	return urgentTicker{
		clock:    clock,
		interval: interval,
		stop:     func() {},
	}
}

// setRunning starts or stops the ticker.
func (t *urgentTicker) setRunning(running bool) {
	switch {
	case running && t.ticks == nil:
		ticker := t.clock.Ticker(t.interval)
		t.ticks = ticker.C()
		t.stop = ticker.Stop
	case !running && t.ticks != nil:
		t.stop()
		t.ticks = nil
		t.stop = func() {}
	}
}

// intervalElapsed reports whether the interval has passed since the last tick.
func (t *urgentTicker) intervalElapsed() bool { return t.clock.Now().Sub(t.lastTick) >= t.interval }
