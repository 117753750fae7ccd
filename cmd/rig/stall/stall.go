// Package stall finds the times in which this machine does not run the rig, nor, as far as
// that can tell, the processes of the fleet.
package stall

import (
	"context"
	"time"

	"stepwick/internal/clock"
)

const (
	checkInterval = 20 * time.Millisecond
	// minLength is the delay of the rig's own timer from which the whole machine counts as
	// slowed: its processes did not run either.
	minLength = 150 * time.Millisecond
)

// Stall is a time in which the rig was not run when it was due.
type Stall struct {
	From, To time.Time
}

// Watch calls report for each stall until the context ends.
func Watch(ctx context.Context, clock clock.Clock, report func(Stall)) {
	last := clock.Now()
	for {
		select {
		case <-clock.After(checkInterval):
		case <-ctx.Done():
			return
		}
		now := clock.Now()
		if now.Sub(last) >= checkInterval+minLength {
			report(Stall{From: last, To: now})
		}
		last = now
	}
}
