package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
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
	stallReplaced         // a replacement has responded and the attempt is cancelled
	stallStopped          // a replacement that is still requested is released
	stallAdopting         // the handler waits for the replacement that is still requested
)

// errNoReplacement means that no other server has taken the place of a watched one.
var errNoReplacement = apierror.Errorf(apierror.NoServer, "no other server has responded")

// stallWatch cancels an attempt whose server sends no data for the stall timeout, once
// another server has responded to the request. If none does, the attempt continues, and
// the next timeout tries again.
//
// The request's handler records progress and stops the watch; the timer's goroutine
// requests the replacement. They share state, lastEventID, cancelSearch and replacement.
type stallWatch struct {
	ctx context.Context
	// request is a copy made at the start of the watch. The timer's goroutine owns it until
	// the watch is stopped, and records in it the servers to which it has sent the request.
	request request
	// initialExecutions is possibleExecutions at the start of the watch.
	initialExecutions int
	isResumption      bool // a part of the response was relayed already
	timeout           time.Duration
	cancelAttempt     func()
	timer             *time.Timer
	state             atomic.Int32
	lastEventID       atomic.Pointer[string]             // id of the last event that was relayed
	cancelSearch      atomic.Pointer[context.CancelFunc] // of the search in progress
	// replacement receives the assignment that replaces the attempt. It is buffered, so
	// that the timer's goroutine never blocks.
	replacement chan assignment
}

// openedResponse is the response of a server that replaces a stalled one.
type openedResponse struct {
	response    *upstream.Response
	lastEventID string // id of the event after which the response continues
	cancel      context.CancelFunc
}

// close ends the attempt of an opened response, which may be nil.
func (o *openedResponse) close() {
	if o != nil {
		o.response.Close()
		o.cancel()
	}
}

// watchStall starts to watch an attempt for stalls. possibleExecutions is the number of
// servers that may have executed the request, including that of this attempt. lastEventID
// is the id of the last event that was relayed, isResumption whether any data was.
// cancelAttempt cancels the attempt. watchStall returns nil, whose methods do nothing, if
// no other server may be tried.
func (q *request) watchStall(ctx context.Context, possibleExecutions int, lastEventID string, isResumption bool, cancelAttempt func()) *stallWatch {
	disabled := q.gateway.config.Balance.Disabled[balance.StallRetries]
	if disabled || !q.route.Idempotent() || possibleExecutions >= q.maxAttempts() {
		return nil
	}
	w := &stallWatch{
		ctx:               ctx,
		request:           *q,
		initialExecutions: possibleExecutions,
		isResumption:      isResumption,
		timeout:           q.stallTimeout(),
		cancelAttempt:     cancelAttempt,
		replacement:       make(chan assignment, 1),
	}
	w.request.possibleExecutions = possibleExecutions
	w.request.selection.Retry = true
	w.request.selection.ExcludedServers = slices.Clone(q.selection.ExcludedServers)
	w.lastEventID.Store(&lastEventID)
	w.timer = time.AfterFunc(unarmedTimerDelay, w.findReplacement)
	w.timer.Reset(w.timeout)
	return w
}

func (q *request) stallTimeout() time.Duration {
	longestPauseMS := max(q.route.ObjectiveMS, q.route.EventGapMS)
	return max(stallFactor*time.Duration(longestPauseMS)*time.Millisecond, minStallTimeout)
}

// recordProgress records that the server has sent data. It restarts the timeout or ends
// the search for a replacement.
func (w *stallWatch) recordProgress() {
	switch {
	case w == nil:
	case w.state.CompareAndSwap(stallSearching, stallProgressed):
		w.endSearch()
	case w.state.Load() == stallWatching:
		w.timer.Reset(w.timeout)
	}
}

// recordRelayed records the last event that was relayed.
func (w *stallWatch) recordRelayed(lastEventID string) {
	if w != nil {
		w.lastEventID.Store(&lastEventID)
	}
}

func (w *stallWatch) endSearch() {
	if cancel := w.cancelSearch.Load(); cancel != nil {
		(*cancel)()
	}
}

// stop ends the watch. It returns the assignment that replaces the attempt, or one with an
// error if there is none: the assignment in whose favour the attempt was cancelled or, if
// the attempt has failed by itself, the result of a search in progress. ended reports
// whether no search is in progress any more.
func (w *stallWatch) stop(attemptFailed bool) (replacement assignment, ended bool) {
	w.timer.Stop()
	next := stallStopped
	if attemptFailed {
		next = stallAdopting
	}
	previous := w.state.Swap(next)
	isSearching := previous == stallSearching || previous == stallProgressed
	switch {
	case previous == stallReplaced, isSearching && attemptFailed:
		return <-w.replacement, true
	case isSearching:
		w.endSearch()
		return assignment{apiErr: errNoReplacement}, false
	}
	return assignment{apiErr: errNoReplacement}, true
}

// findReplacement runs when the stall timeout expires.
func (w *stallWatch) findReplacement() {
	if !w.state.CompareAndSwap(stallWatching, stallSearching) {
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancelSearch.Store(&cancel)
	// The handler may have ended the search before cancel was stored.
	if state := w.state.Load(); state == stallProgressed || state == stallStopped {
		cancel()
	}
	assigned := w.requestReplacement(ctx, cancel)
	if assigned.apiErr != nil {
		cancel()
	}
	w.finishSearch(assigned)
}

// finishSearch cancels the attempt in favour of the server that has responded. If there is
// none, or the watched server has sent data since, the attempt and the watch continue.
func (w *stallWatch) finishSearch(assigned assignment) {
	if assigned.apiErr == nil && w.state.CompareAndSwap(stallSearching, stallReplaced) {
		w.replacement <- assigned
		w.cancelAttempt()
		return
	}
	if w.state.CompareAndSwap(stallSearching, stallWatching) || w.state.CompareAndSwap(stallProgressed, stallWatching) {
		w.request.release(assigned)
		if w.ctx.Err() == nil && w.request.possibleExecutions < w.request.maxAttempts() {
			w.timer.Reset(w.timeout)
		}
		return
	}
	if w.state.Load() == stallAdopting {
		w.replacement <- assigned
		return
	}
	w.request.release(assigned)
}

// requestReplacement requests another server, if the request is still admitted, and sends
// the request to it. cancel cancels ctx, which limits the response.
func (w *stallWatch) requestReplacement(ctx context.Context, cancel context.CancelFunc) assignment {
	if apiErr := w.request.checkAdmission(); apiErr != nil {
		return assignment{apiErr: apiErr}
	}
	assigned := w.request.gateway.dispatcher.assign(ctx, w.request.selection, false)
	if assigned.apiErr != nil {
		return assigned
	}
	lastEventID := *w.lastEventID.Load()
	outcome := balance.OutcomeCancelled
	executions := w.request.possibleExecutions
	response, apiErr := w.open(ctx, assigned.server, lastEventID, &outcome)
	if apiErr != nil {
		w.request.gateway.dispatcher.reportFinished(assigned.attempt, outcome)
		w.recordFailure(ctx, assigned.server, executions)
		return assignment{apiErr: apiErr}
	}
	assigned.opened = &openedResponse{response: response, lastEventID: lastEventID, cancel: cancel}
	return assigned
}

// recordFailure excludes a server that did not take the place of the watched one. If the
// search was ended by the gateway itself, the server remains eligible and does not count as
// one that may have executed the request; executions is the number before it.
func (w *stallWatch) recordFailure(ctx context.Context, server upstream.Server, executions int) {
	if ctx.Err() != nil {
		w.request.possibleExecutions = executions
		return
	}
	w.request.excludeServer(server)
}

// open sends the request to a server and returns the response if it can take the place of
// that of the watched server. Otherwise it sets the attempt's outcome.
func (w *stallWatch) open(ctx context.Context, server upstream.Server, lastEventID string, outcome *balance.Outcome) (*upstream.Response, *apierror.Error) {
	gateway := w.request.gateway
	response, failure := gateway.client.Send(ctx, server, w.request.upstreamRequest(server, lastEventID))
	if failure != nil {
		gateway.metrics.attemptFailed(w.request.service, failure.Kind)
		apiErr, _ := w.request.handleSendFailure(ctx, failure, outcome)
		return nil, apiErr
	}
	metadata := gateway.dialect.ReadResponse(response.Status, response.Header)
	if metadata.NotExecuted || metadata.WrongServer {
		apiErr, _ := w.request.handleRejection(response, metadata, outcome)
		response.Close()
		return nil, apiErr
	}
	succeeded := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	if w.isResumption && !succeeded {
		w.request.possibleExecutions++
		*outcome = balance.OutcomeServerError
		status := response.Status
		response.Close()
		return nil, apierror.Errorf(apierror.StreamAborted, "the server responded with status %d to a request to resume the stream", status)
	}
	return response, nil
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

// stopStallWatch stops a watch, stores the replacement for the next attempt, if there is
// one, and takes over the executions and exclusions that the watch has recorded. It reports whether there is a
// replacement.
func (q *request) stopStallWatch(watch *stallWatch, attemptFailed bool) (replaced bool) {
	if watch == nil {
		return false
	}
	replacement, ended := watch.stop(attemptFailed)
	if ended {
		q.possibleExecutions += watch.request.possibleExecutions - watch.initialExecutions
		q.selection.ExcludedServers = watch.request.selection.ExcludedServers
	}
	if replacement.apiErr != nil {
		return false
	}
	q.replacement = &replacement
	return true
}

// releaseReplacement finishes the attempt of a replacement that was not used.
func (q *request) releaseReplacement() {
	if q.replacement != nil {
		q.release(*q.replacement)
	}
}

// release finishes the attempt of an assignment that is not used, unless there is none.
func (q *request) release(unused assignment) {
	if unused.apiErr != nil {
		return
	}
	unused.opened.close()
	q.gateway.dispatcher.reportFinished(unused.attempt, balance.OutcomeCancelled)
}
