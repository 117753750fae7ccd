// Package kernel holds the project's small wrappers for time, context and
// replies, so that few other files touch those packages. Time and Context are
// the standard library's own types.
package kernel

import "time"

type (
	// Time is the standard library's instant.
	Time = time.Time
	// Duration is the standard library's span of time.
	Duration = time.Duration
)

// Spans of time.
const (
	Microsecond = time.Microsecond
	Millisecond = time.Millisecond
	Second      = time.Second
	Minute      = time.Minute
	Hour        = time.Hour
)

// Clock tells time and wakes its callers. Now carries a monotonic reading, so
// differences of two readings are proof against steps of the wall clock.
type Clock interface {
	Now() Time
	After(Duration) <-chan Time
	Ticker(Duration) Ticker
}

// Ticker delivers ticks on C until Stop is called.
type Ticker interface {
	C() <-chan Time
	Stop()
}

type systemClock struct{}

// System returns the machine's clock.
func System() Clock { return systemClock{} }

func (systemClock) Now() Time                    { return time.Now() }
func (systemClock) After(d Duration) <-chan Time { return time.After(d) }
func (systemClock) Ticker(d Duration) Ticker     { return systemTicker{time.NewTicker(d)} }

type systemTicker struct{ *time.Ticker }

func (t systemTicker) C() <-chan Time { return t.Ticker.C }

// Stepped returns a clock whose wall reading is off by the given step, as on a
// machine whose clock is wrong. Differences between its readings are true.
func Stepped(base Clock, step Duration) Clock { return steppedClock{base, step} }

type steppedClock struct {
	Clock
	step Duration
}

func (c steppedClock) Now() Time { return c.Clock.Now().Add(c.step) }

// UnixMilli returns the instant of a number of milliseconds since the unix epoch.
func UnixMilli(ms int64) Time { return time.UnixMilli(ms) }

// UnixMicro returns the instant of a number of microseconds since the unix epoch.
func UnixMicro(us int64) Time { return time.UnixMicro(us) }

// ParseDuration reads a span such as 250ms or 2s.
func ParseDuration(s string) (Duration, error) { return time.ParseDuration(s) }

// Timer returns a channel that delivers once after d, and its stop function.
func Timer(d Duration) (<-chan Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}

// Steady returns a clock whose wall reading keeps to the reading at its start
// plus the true time elapsed, so that a later step of the machine's wall clock
// does not show.
func Steady(base Clock) Clock { return steadyClock{base, base.Now()} }

type steadyClock struct {
	Clock
	start Time
}

func (c steadyClock) Now() Time { return c.start.Add(c.Clock.Now().Sub(c.start)) }
