package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/decision/balance"
)

const (
	// The stall timeout is the time without data from a server after which another one
	// is requested: stallFactor times the greater of the route's latency objective and
	// its maximum gap between events, but at least minStallTimeout.
	stallFactor     = 2
	minStallTimeout = 700 * time.Millisecond
	// unarmedTimerDelay is the delay with which the timer is created; it is then reset to
	// the stall timeout.
	unarmedTimerDelay = time.Hour
)

// States of a stallWatch.
const (
	stallWatching   int32 = iota
	stallSearching        // a replacement is being requested
	stallProgressed       // as stallSearching, and the server has sent data since
	stallReplaced         // a replacement is assigned and the attempt is cancelled
	stallStopped
)

// stallWatch cancels an attempt whose server sends no data for the stall timeout, once
// another server is assigned to the request. If none can be assigned, the attempt
// continues, and the next timeout tries again.
//
// The request's handler records progress and stops the watch; the timer's goroutine
// requests the replacement. They share only state and replacement.
type stallWatch struct {
	ctx           context.Context
	request       request // copy made at the start of the watch, owned by the timer's goroutine
	timeout       time.Duration
	cancelAttempt func()
	timer         *time.Timer
	state         atomic.Int32
	// replacement receives the assignment that replaces the attempt. It is buffered, so
	// that the timer's goroutine never blocks.
	replacement chan assignment
}

// watchStall starts to watch an attempt for stalls. possibleExecutions is the number of
// servers that may have executed the request, including that of this attempt.
// cancelAttempt cancels the attempt. watchStall returns nil, whose methods do nothing, if
// no other server may be tried.
func (q *request) watchStall(ctx context.Context, possibleExecutions int, cancelAttempt func()) *stallWatch {
	disabled := q.gateway.config.Balance.Disabled[balance.StallRetries]
	if disabled || !q.route.Idempotent() || possibleExecutions >= q.maxAttempts() {
		return nil
	}
	w := &stallWatch{
		ctx:           ctx,
		request:       *q,
		timeout:       q.stallTimeout(),
		cancelAttempt: cancelAttempt,
		replacement:   make(chan assignment, 1),
	}
	w.request.selection.Retry = true
	w.timer = time.AfterFunc(unarmedTimerDelay, w.findReplacement)
	w.timer.Reset(w.timeout)
	return w
}

func (q *request) stallTimeout() time.Duration {
	longestPauseMS := max(q.route.ObjectiveMS, q.route.EventGapMS)
	return max(stallFactor*time.Duration(longestPauseMS)*time.Millisecond, minStallTimeout)
}

// recordProgress records that the server has sent data. It restarts the timeout or, while
// a replacement is being requested, keeps the attempt from being cancelled.
func (w *stallWatch) recordProgress() {
	if w == nil || w.state.CompareAndSwap(stallSearching, stallProgressed) {
		return
	}
	if w.state.Load() == stallWatching {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the watch. If the attempt was cancelled, it returns the assignment that
// replaces it.
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

// findReplacement runs when the stall timeout expires.
func (w *stallWatch) findReplacement() {
	if !w.state.CompareAndSwap(stallWatching, stallSearching) {
		return
	}
	w.finishSearch(w.assignReplacement())
}

// finishSearch cancels the attempt in favour of the assigned server. If there is none, or
// the watched server has sent data since, the attempt and the watch continue.
func (w *stallWatch) finishSearch(assigned assignment) {
	if assigned.apiErr == nil {
		if w.state.CompareAndSwap(stallSearching, stallReplaced) {
			w.replacement <- assigned
			w.cancelAttempt()
			return
		}
		w.request.gateway.dispatcher.reportFinished(assigned.attempt, balance.OutcomeCancelled)
	}
	resumed := w.state.CompareAndSwap(stallSearching, stallWatching) || w.state.CompareAndSwap(stallProgressed, stallWatching)
	if resumed && w.ctx.Err() == nil {
		w.timer.Reset(w.timeout)
	}
}

// assignReplacement requests another server, if the request is still admitted.
func (w *stallWatch) assignReplacement() assignment {
	if apiErr := w.request.checkAdmission(); apiErr != nil {
		return assignment{apiErr: apiErr}
	}
	return w.request.gateway.dispatcher.assign(w.ctx, w.request.selection, false)
}

// nextAssignment returns the assignment for the next attempt: the replacement of a stalled
// server if there is one, and otherwise a new assignment by the dispatcher.
func (q *request) nextAssignment(ctx context.Context, isFirstAttempt bool) assignment {
	if q.replacement == nil {
		return q.gateway.dispatcher.assign(ctx, q.selection, isFirstAttempt)
	}
	assigned := *q.replacement
	q.replacement = nil
	return assigned
}

// stopStallWatch stops a watch and keeps the replacement for the next attempt, if there is
// one. It reports whether the attempt was cancelled.
func (q *request) stopStallWatch(watch *stallWatch) (replaced bool) {
	replacement, replaced := watch.stop()
	if replaced {
		q.replacement = &replacement
	}
	return replaced
}

// releaseReplacement finishes the attempt of a replacement that was not used.
func (q *request) releaseReplacement() {
	if q.replacement != nil {
		q.gateway.dispatcher.reportFinished(q.replacement.attempt, balance.OutcomeCancelled)
	}
}
