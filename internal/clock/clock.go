// Package clock provides the time source of the stateful packages, so that tests and
// simulators can replace the system clock.
package clock

import "time"

// RFC3339Milli is the time layout in logs and on the command line: RFC 3339 with
// milliseconds.
const RFC3339Milli = "2006-01-02T15:04:05.000Z07:00"

// Clock reads the time and schedules wake-ups. The result of Now includes a monotonic
// reading, so the difference between two results is not affected by steps of the wall
// clock.
type Clock interface {
	// Now returns the current instant.
	Now() time.Time
	// After returns a channel that delivers the time once, after the duration.
	After(time.Duration) <-chan time.Time
	// Ticker returns a ticker with the given period. The caller must stop it.
	Ticker(time.Duration) Ticker
}

// Ticker delivers ticks on C until Stop is called.
type Ticker interface {
	C() <-chan time.Time
	Stop()
}

// System returns the system clock.
func System() Clock { return systemClock{} }

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
func (systemClock) Ticker(d time.Duration) Ticker          { return systemTicker{time.NewTicker(d)} }

type systemTicker struct{ *time.Ticker }

func (t systemTicker) C() <-chan time.Time { return t.Ticker.C }

// Stepped returns a clock whose wall-clock reading is off by a constant step, like that
// of a machine whose clock is set wrong. Differences between its readings are correct.
func Stepped(base Clock, step time.Duration) Clock { return steppedClock{base, step} }

type steppedClock struct {
	Clock
	step time.Duration
}

func (c steppedClock) Now() time.Time { return c.Clock.Now().Add(c.step) }

// Monotonic returns a clock whose wall-clock reading is that of base at the call plus
// the monotonic time elapsed since then. Later steps of the system's wall clock do not
// affect it.
func Monotonic(base Clock) Clock { return monotonicClock{base, base.Now()} }

type monotonicClock struct {
	Clock
	start time.Time
}

func (c monotonicClock) Now() time.Time { return c.start.Add(c.Clock.Now().Sub(c.start)) }

// NewTimer starts a timer of the system clock. It returns the channel that delivers the
// time once, after the duration, and the function that stops the timer.
func NewTimer(d time.Duration) (fired <-chan time.Time, stop func() bool) {
	timer := time.NewTimer(d)
	return timer.C, timer.Stop
}
