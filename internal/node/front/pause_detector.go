package front

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"
)

const (
	pauseCheckInterval = 50 * time.Millisecond
	// pauseThreshold is the interval between two ticks above which the process is
	// considered to have been paused.
	pauseThreshold = 250 * time.Millisecond
	// pauseCatchUp is the time after a pause during which requests that arrived
	// during the pause may still be read.
	pauseCatchUp = time.Second
)

// pauseDetector detects that the whole process was paused, for example by SIGSTOP
// or because its virtual machine was suspended. A request that is read after a
// pause may have waited in a socket's buffer since the start of the pause, so its
// deadline counts from then.
//
// Only Serve writes the atomic fields. earliestArrival may be called from any
// goroutine.
type pauseDetector struct {
	clock     clock.Clock
	started   time.Time
	lastTick  atomic.Int64 // nanoseconds since started
	lastPause atomic.Pointer[pause]
}

// pause is a detected pause of the process.
type pause struct {
	start      time.Time
	catchUpEnd time.Time // requests read before this time may have arrived during the pause
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
	if latest := p.lastPause.Load(); latest != nil && now.Before(latest.catchUpEnd) {
		return latest.start
	}
	return now
}

// pauseStart returns the start of the pause that followed the tick at last. A pause
// that begins within pauseCatchUp of the previous one is treated as its
// continuation, since requests that arrived during the previous one may still be
// unread.
func (p *pauseDetector) pauseStart(last time.Time) time.Time {
	if latest := p.lastPause.Load(); latest != nil && last.Before(latest.catchUpEnd) {
		return latest.start
	}
	return last
}

// Serve ticks every pauseCheckInterval until the context ends.
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

// String returns the name of this owner in log events.
func (p *pauseDetector) String() string { return "pause detector" }

// tick records the current time, and a pause if the last tick was more than
// pauseThreshold ago.
func (p *pauseDetector) tick() {
	now := p.clock.Now()
	last := p.lastTickTime()
	if now.Sub(last) > pauseThreshold {
		p.lastPause.Store(&pause{start: p.pauseStart(last), catchUpEnd: now.Add(pauseCatchUp)})
	}
	p.lastTick.Store(int64(now.Sub(p.started)))
}

func (p *pauseDetector) lastTickTime() time.Time {
	return p.started.Add(time.Duration(p.lastTick.Load()))
}
