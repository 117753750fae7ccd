package front

import (
	"sync/atomic"

	"stepwick/internal/kernel"
)

const (
	pulseEvery = 50 * kernel.Millisecond
	pulseLate  = 250 * kernel.Millisecond
	pulseAfter = kernel.Second
)

// pulse notices that the process stood still. A request that is read after
// that may have waited on its connection all the while.
type pulse struct {
	clock   kernel.Clock
	started kernel.Time
	last    atomic.Int64 // since started
	still   atomic.Pointer[stillness]
}

// stillness is a span in which the process stood still, and how long after it
// requests may still be read that came meanwhile.
type stillness struct{ from, until kernel.Time }

func newPulse(clock kernel.Clock) *pulse { return &pulse{clock: clock, started: clock.Now()} }

// arrived returns the earliest moment at which a request that is read now may
// have reached this machine.
func (p *pulse) arrived() kernel.Time {
	now := p.clock.Now()
	if last := p.started.Add(kernel.Duration(p.last.Load())); now.Sub(last) > pulseLate {
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
func (p *pulse) from(last kernel.Time) kernel.Time {
	if still := p.still.Load(); still != nil && last.Before(still.until) {
		return still.from
	}
	return last
}

// Serve beats until the context ends.
func (p *pulse) Serve(ctx kernel.Context) error {
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
	if last := p.started.Add(kernel.Duration(p.last.Load())); now.Sub(last) > pulseLate {
		p.still.Store(&stillness{from: p.from(last), until: now.Add(pulseAfter)})
	}
	p.last.Store(int64(now.Sub(p.started)))
}
