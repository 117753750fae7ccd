package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/decision/balance"
)

const (
	// A server may send nothing for stallFactor times the greater of the route's
	// latency objective and its longest pause between events, and minStallTimeout
	// at least, before another is looked for.
	stallFactor     = 2
	minStallTimeout = 700 * time.Millisecond
	// farFuture is when a timer fires that is not armed yet.
	farFuture = time.Hour
)

// States of a stallWatch.
const (
	stallWatching   int32 = iota
	stallReplacing        // another server is looked for
	stallProgressed       // as stallReplacing, and the server has sent something meanwhile
	stallReplaced         // another server is assigned, and the attempt is ended
	stallStopped
)

// stallWatch ends an attempt whose server is silent for the stall time-out, once
// another server is assigned to the request. Without one the silent server keeps the
// request, and the next time-out looks for one again.
//
// The request's handler reports progress and stops the watch; the timer's goroutine
// looks for the other server. They share only the state and the replacement.
type stallWatch struct {
	ctx     context.Context
	request request // as it was at the start of the watch; of the timer's goroutine
	timeout time.Duration
	abandon func() // ends the attempt
	timer   *time.Timer
	state   atomic.Int32
	// replacement has room for the one assignment that replaces the attempt.
	replacement chan assignment
}

// watchStall watches an attempt of a request that was sent to a number of servers,
// which abandon ends. It returns nil, whose methods do nothing, where no other server
// may be tried.
func (q *request) watchStall(ctx context.Context, sent int, abandon func()) *stallWatch {
	disabled := q.gateway.config.Balance.Disabled[balance.StallRetries]
	if disabled || !q.route.Idempotent() || sent >= q.maxAttempts() {
		return nil
	}
	w := &stallWatch{
		ctx:         ctx,
		request:     *q,
		timeout:     q.stallTimeout(),
		abandon:     abandon,
		replacement: make(chan assignment, 1),
	}
	w.request.selection.Retry = true
	w.timer = time.AfterFunc(farFuture, w.replace)
	w.timer.Reset(w.timeout)
	return w
}

func (q *request) stallTimeout() time.Duration {
	longestPauseMS := max(q.route.ObjectiveMS, q.route.EventGapMS)
	return max(stallFactor*time.Duration(longestPauseMS)*time.Millisecond, minStallTimeout)
}

// progress reports that the server has sent something.
func (w *stallWatch) progress() {
	if w == nil || w.state.CompareAndSwap(stallReplacing, stallProgressed) {
		return
	}
	if w.state.Load() == stallWatching {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the watch, and returns the assignment that replaces the attempt, if it
// has been ended.
func (w *stallWatch) stop() (replacement assignment, replaced bool) {
	if w == nil {
		return assignment{}, false
	}
	w.timer.Stop()
	if w.state.Swap(stallStopped) != stallReplaced {
		return assignment{}, false
	}
	return <-w.replacement, true
}

// replace looks for another server.
func (w *stallWatch) replace() {
	if !w.state.CompareAndSwap(stallWatching, stallReplacing) {
		return
	}
	w.finishSearch(w.assignOther())
}

// finishSearch ends the attempt for another server or, where there is none or the
// server has sent something meanwhile, goes on with it.
func (w *stallWatch) finishSearch(assigned assignment) {
	if assigned.apiErr == nil {
		if w.state.CompareAndSwap(stallReplacing, stallReplaced) {
			w.replacement <- assigned
			w.abandon()
			return
		}
		w.request.gateway.dispatcher.finished(assigned.attempt, balance.OutcomeCancelled)
	}
	resumed := w.state.CompareAndSwap(stallReplacing, stallWatching) || w.state.CompareAndSwap(stallProgressed, stallWatching)
	if resumed && w.ctx.Err() == nil {
		w.timer.Reset(w.timeout)
	}
}

// assignOther returns another server's assignment, if the request may be sent to it
// now.
func (w *stallWatch) assignOther() assignment {
	if apiErr := w.request.checkAdmission(); apiErr != nil {
		return assignment{apiErr: apiErr}
	}
	return w.request.gateway.dispatcher.assign(w.ctx, w.request.selection, false)
}

// nextAssignment returns the server of the next attempt: the one that replaces a
// silent server, or else the dispatcher's choice.
func (q *request) nextAssignment(ctx context.Context, first bool) assignment {
	if q.replacement == nil {
		return q.gateway.dispatcher.assign(ctx, q.selection, first)
	}
	assigned := *q.replacement
	q.replacement = nil
	return assigned
}

// stopWatch ends a watch and keeps the server that replaces the attempt, if there is
// one. It reports whether the attempt was ended.
func (q *request) stopWatch(watch *stallWatch) (replaced bool) {
	replacement, replaced := watch.stop()
	if replaced {
		q.replacement = &replacement
	}
	return replaced
}

// releaseReplacement gives up a replacement that was not needed.
func (q *request) releaseReplacement() {
	if q.replacement != nil {
		q.gateway.dispatcher.finished(q.replacement.attempt, balance.OutcomeCancelled)
	}
}
