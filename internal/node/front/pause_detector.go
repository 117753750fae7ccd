package front

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"
)

const (
	pauseCheckInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks from which the process counts
	// as paused.
	pauseThreshold = 250 * time.Millisecond
	// pauseCatchUp is how long after a pause requests may still be read that
	// arrived during it.
	pauseCatchUp = time.Second
)

// pauseDetector detects that the whole process was paused, as by a suspended
// virtual machine or SIGSTOP. A request that is read after a pause may have
// waited on its connection since the pause began, so its deadline counts from
// then.
//
// Only Serve writes the atomic fields; any goroutine may call earliestArrival.
type pauseDetector struct {
	clock     clock.Clock
	started   time.Time
	lastTick  atomic.Int64 // nanoseconds since started
	lastPause atomic.Pointer[pause]
}

// pause is a detected pause of the process.
type pause struct {
	start time.Time
	until time.Time // end of the time in which requests from the pause are read
}

func newPauseDetector(clock clock.Clock) *pauseDetector {
	return &pauseDetector{clock: clock, started: clock.Now()}
}

// earliestArrival returns the earliest time at which a request that is read now
// may have reached this machine.
func (p *pauseDetector) earliestArrival() time.Time {
	now := p.clock.Now()
	last := p.lastTickTime()
	if now.Sub(last) > pauseThreshold {
		return p.pauseStart(last)
	}
	if latest := p.lastPause.Load(); latest != nil && now.Before(latest.until) {
		return latest.start
	}
	return now
}

// pauseStart returns the start of a pause that followed the tick at last. A pause
// shortly after another continues it, since requests that arrived during the
// first may still be unread.
func (p *pauseDetector) pauseStart(last time.Time) time.Time {
	if latest := p.lastPause.Load(); latest != nil && last.Before(latest.until) {
		return latest.start
	}
	return last
}

// Serve ticks until the context ends.
func (p *pauseDetector) Serve(ctx context.Context) error {
	ticker := p.clock.Ticker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		p.tick()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

// String returns the owner's name in log events.
func (p *pauseDetector) String() string { return "pulse" }

// tick records the current time, and a pause if the last tick is too long ago.
func (p *pauseDetector) tick() {
	now := p.clock.Now()
	last := p.lastTickTime()
	if now.Sub(last) > pauseThreshold {
		p.lastPause.Store(&pause{start: p.pauseStart(last), until: now.Add(pauseCatchUp)})
	}
	p.lastTick.Store(int64(now.Sub(p.started)))
}

func (p *pauseDetector) lastTickTime() time.Time {
	return p.started.Add(time.Duration(p.lastTick.Load()))
}
