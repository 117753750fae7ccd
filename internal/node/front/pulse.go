package front

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"
)

const (
	pulseEvery = 50 * time.Millisecond
	pulseLate  = 250 * time.Millisecond
	pulseAfter = time.Second
)

// pulse notices that the process stood still. A request that is read after
// that may have waited on its connection all the while.
type pulse struct {
	clock   clock.Clock
	started time.Time
	last    atomic.Int64 // since started
	still   atomic.Pointer[stillness]
}

// stillness is a span in which the process stood still, and how long after it
// requests may still be read that came meanwhile.
type stillness struct{ from, until time.Time }

func newPulse(clock clock.Clock) *pulse { return &pulse{clock: clock, started: clock.Now()} }

// arrived returns the earliest moment at which a request that is read now may
// have reached this machine.
func (p *pulse) arrived() time.Time {
	now := p.clock.Now()
	if last := p.started.Add(time.Duration(p.last.Load())); now.Sub(last) > pulseLate {
		return p.from(last)
	}
	if still := p.still.Load(); still != nil && now.Before(still.until) {
		return still.from
	}
	return now
}

// from returns the beginning of a stand-still after the beat at last. One that
// follows closely on another, as on a machine that has much to make up for,
// continues it: what came in the first may still be unread.
func (p *pulse) from(last time.Time) time.Time {
	if still := p.still.Load(); still != nil && last.Before(still.until) {
		return still.from
	}
	return last
}

// Serve beats until the context ends.
func (p *pulse) Serve(ctx context.Context) error {
	ticker := p.clock.Ticker(pulseEvery)
	defer ticker.Stop()
	for {
		p.beat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

func (p *pulse) String() string { return "pulse" }

func (p *pulse) beat() {
	now := p.clock.Now()
	if last := p.started.Add(time.Duration(p.last.Load())); now.Sub(last) > pulseLate {
		p.still.Store(&stillness{from: p.from(last), until: now.Add(pulseAfter)})
	}
	p.last.Store(int64(now.Sub(p.started)))
}
