package kernel

import "time"

// Alarm calls a function once after a span unless it is stopped or set anew.
type Alarm struct{ timer *time.Timer }

// NewAlarm returns an alarm that calls f, on a goroutine of its own, after d.
func NewAlarm(d Duration, f func()) Alarm { return Alarm{time.AfterFunc(d, f)} }

// Reset sets the alarm anew.
func (a Alarm) Reset(d Duration) { a.timer.Reset(d) }

// Stop stops the alarm. It tells whether the alarm had not gone off before.
func (a Alarm) Stop() bool { return a.timer.Stop() }
