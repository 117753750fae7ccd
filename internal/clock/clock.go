// Package clock provides the time source that the owners of state use, so that
// tests and simulators can replace the machine's clock.
package clock

import "time"

// RFC3339Milli is the layout of instants in logs and on the command line.
const RFC3339Milli = "2006-01-02T15:04:05.000Z07:00"

// Clock reads the time and schedules wake-ups. Now carries a monotonic reading,
// so the difference of two readings does not depend on steps of the wall clock.
type Clock interface {
	// Now returns the current instant.
	Now() time.Time
	// After returns a channel that delivers one instant after the duration.
	After(time.Duration) <-chan time.Time
	// Ticker returns a ticker with the given period, which has to be stopped.
	Ticker(time.Duration) Ticker
}

// Ticker delivers ticks on C until Stop is called.
type Ticker interface {
	C() <-chan time.Time
	Stop()
}

// System returns the machine's clock.
func System() Clock { return systemClock{} }

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
func (systemClock) Ticker(d time.Duration) Ticker          { return systemTicker{time.NewTicker(d)} }

type systemTicker struct{ *time.Ticker }

func (t systemTicker) C() <-chan time.Time { return t.Ticker.C }

// Stepped returns a clock whose wall reading is off by a constant step, like
// that of a machine whose clock is wrong. Differences of its readings are true.
func Stepped(base Clock, step time.Duration) Clock { return steppedClock{base, step} }

type steppedClock struct {
	Clock
	step time.Duration
}

func (c steppedClock) Now() time.Time { return c.Clock.Now().Add(c.step) }

// Monotonic returns a clock whose wall reading is the one at its creation plus
// the monotonic time elapsed since: a later step of the machine's wall clock
// does not show in it.
func Monotonic(base Clock) Clock { return monotonicClock{base, base.Now()} }

type monotonicClock struct {
	Clock
	start time.Time
}

func (c monotonicClock) Now() time.Time { return c.start.Add(c.Clock.Now().Sub(c.start)) }

// NewTimer returns a channel that delivers one instant after the duration, and
// the function that stops the timer.
func NewTimer(d time.Duration) (fired <-chan time.Time, stop func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
