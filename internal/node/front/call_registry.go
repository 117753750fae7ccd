package front

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/stage"
)

const (
	// callCheckInterval is the interval between checks of all running calls.
	callCheckInterval = 200 * time.Millisecond
	callQueueCapacity = 1024
)

// callRegistry owns the set of running calls. It cancels a call when a new sheet
// revokes its API key, all calls when the node has been without authority for the
// grace period, and the remaining calls when a drain's grace period ends.
//
// The goroutine of Serve owns running and pendingDrains. enter, leave, register,
// deregister, checkRunning, untilDrainGraceEnds and drain may be called from any
// goroutine.
type callRegistry struct {
	views           Views
	clock           clock.Clock
	authorityGrace  time.Duration
	started         time.Time
	authoritySeen   atomic.Int64 // last time the node was seen to have authority, nanoseconds since started
	transitions     *stage.Queue[callTransition]
	drainRequests   chan drainRequest
	stopped         chan struct{} // closed when the front has stopped
	running         map[*runningCall]struct{}
	pendingDrains   []drainRequest
	activeRequests  atomic.Int64    // requests between enter and leave, running or waiting for admission
	drainGraceEnded context.Context // ends with a drain's grace period
	endDrainGrace   context.CancelFunc
}

// callTransition is the start or the end of a call. Both pass through the same
// queue so that their order is preserved.
type callTransition struct {
	call    *runningCall
	isStart bool
}

// drainRequest asks the registry to report when no request is active.
type drainRequest struct {
	done      chan struct{}   // closed by the registry when no request is active
	cancelled <-chan struct{} // closed by the sender to cancel the remaining calls
}

// runningCall is the part of a call that the registry shares.
type runningCall struct {
	apiKey string
	tenant string
	// index is the last configuration against which apiKey was checked.
	index  atomic.Pointer[sheet.Index]
	cancel context.CancelFunc
	// rejection is the reason for the cancellation; nil while the call may run.
	rejection atomic.Pointer[apierror.Error]
}

func newCallRegistry(views Views, clock clock.Clock, authorityGrace time.Duration, stopped chan struct{}) *callRegistry {
	drainGraceEnded, endDrainGrace := context.WithCancel(context.Background())
	return &callRegistry{
		views:           views,
		clock:           clock,
		authorityGrace:  authorityGrace,
		started:         clock.Now(),
		transitions:     stage.NewQueue[callTransition](callQueueCapacity),
		drainRequests:   make(chan drainRequest),
		stopped:         stopped,
		running:         map[*runningCall]struct{}{},
		drainGraceEnded: drainGraceEnded,
		endDrainGrace:   endDrainGrace,
	}
}

// enter counts a request as active. It must be called before the check whether the
// node is draining, so that a drain waits for every request that passes this check.
// The caller must call leave after it has deregistered the call.
func (r *callRegistry) enter() { r.activeRequests.Add(1) }

// leave removes a request from the count of active requests.
func (r *callRegistry) leave() { r.activeRequests.Add(-1) }

// untilDrainGraceEnds returns a context that ends with ctx or when a drain's grace
// period ends, whichever is first.
func (r *callRegistry) untilDrainGraceEnds(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.drainGraceEnded, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// register adds a call and returns its context, which the registry cancels together
// with the call. The caller must deregister the call.
func (r *callRegistry) register(ctx context.Context, call *runningCall) context.Context {
	ctx, call.cancel = context.WithCancel(ctx)
	r.sendTransition(callTransition{call: call, isStart: true})
	return ctx
}

func (r *callRegistry) deregister(call *runningCall) {
	call.cancel()
	r.sendTransition(callTransition{call: call, isStart: false})
}

func (r *callRegistry) sendTransition(transition callTransition) {
	select {
	case r.transitions.Input() <- transition:
	case <-r.stopped:
	}
}

// checkRunning returns nil if a call may continue, otherwise the reason.
func (r *callRegistry) checkRunning(call *runningCall) *apierror.Error {
	if apiErr := call.rejection.Load(); apiErr != nil {
		return apiErr
	}
	return r.checkPermission(call)
}

// checkPermission checks the node's authority, within the grace period, and then
// the call's API key against the latest configuration.
func (r *callRegistry) checkPermission(call *runningCall) *apierror.Error {
	if !r.views.HasAuthority() {
		if r.clock.Now().Sub(r.started)-time.Duration(r.authoritySeen.Load()) < r.authorityGrace {
			return nil
		}
		return apierror.Errorf(apierror.NoAuthority, "the node has been without authority for longer than the grace period of %s", r.authorityGrace).WithRetryAfter(time.Second)
	}
	r.recordAuthority()
	index := r.views.View().Index
	if index == call.index.Load() {
		return nil
	}
	if tenant, _, ok := tenantOf(index, call.apiKey); !ok || tenant != call.tenant {
		return apierror.Errorf(apierror.KeyRevoked, "the sheet in force no longer assigns the API key to tenant %s", call.tenant)
	}
	call.index.Store(index)
	return nil
}

func (r *callRegistry) recordAuthority() {
	r.authoritySeen.Store(int64(r.clock.Now().Sub(r.started)))
}

// Serve runs the goroutine that owns the running calls until the context ends.
func (r *callRegistry) Serve(ctx context.Context) error {
	ticker := r.clock.Ticker(callCheckInterval)
	defer ticker.Stop()
	for {
		changed := r.views.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case transition := <-r.transitions.Items():
			r.applyTransition(transition)
		case request := <-r.drainRequests:
			r.pendingDrains = append(r.pendingDrains, request)
		case <-changed:
			r.checkAllCalls()
		case <-ticker.C():
			r.checkAllCalls()
		}
		r.completeDrains()
	}
}

// String returns the name of this owner in log events.
func (r *callRegistry) String() string { return "call registry" }

func (r *callRegistry) applyTransition(transition callTransition) {
	if !transition.isStart {
		delete(r.running, transition.call)
		return
	}
	r.running[transition.call] = struct{}{}
	// The sheet may have changed since the call was admitted.
	r.checkCall(transition.call)
}

func (r *callRegistry) checkAllCalls() {
	if r.views.HasAuthority() {
		r.recordAuthority()
	}
	for call := range r.running {
		r.checkCall(call)
	}
}

func (r *callRegistry) checkCall(call *runningCall) {
	if apiErr := r.checkPermission(call); apiErr != nil {
		r.cancelCall(call, apiErr)
	}
}

// cancelCall cancels a call unless it is cancelled already. The first reason is
// kept.
func (r *callRegistry) cancelCall(call *runningCall, apiErr *apierror.Error) {
	if call.rejection.CompareAndSwap(nil, apiErr) {
		call.cancel()
	}
}

// completeDrains completes the pending drains if no request is active. Otherwise it
// cancels all running calls if the grace period of a drain has ended.
func (r *callRegistry) completeDrains() {
	pending := r.pendingDrains[:0]
	for _, request := range r.pendingDrains {
		if r.activeRequests.Load() == 0 {
			close(request.done)
			continue
		}
		select {
		case <-request.cancelled:
			r.cancelAllCalls()
		default:
		}
		pending = append(pending, request)
	}
	r.pendingDrains = pending
}

func (r *callRegistry) cancelAllCalls() {
	for call := range r.running {
		r.cancelCall(call, errDrainGraceEnded())
	}
}

// errDrainGraceEnded is the answer to a request that is still active when a drain's
// grace period ends.
func errDrainGraceEnded() *apierror.Error {
	return apierror.Errorf(apierror.FrontDraining, "the node is shutting down and the grace period of its drain has ended").WithRetryAfter(time.Second)
}

// drain waits until no request is active. If the context ends first, it cancels the
// running calls and the requests that wait for admission, gives them time to end
// and returns the context's error.
func (r *callRegistry) drain(ctx context.Context) error {
	cancelled := make(chan struct{})
	request := drainRequest{done: make(chan struct{}), cancelled: cancelled}
	select {
	case r.drainRequests <- request:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-request.done:
		return nil
	case <-ctx.Done():
	}
	r.endDrainGrace()
	close(cancelled)
	<-r.clock.After(2 * callCheckInterval)
	return ctx.Err()
}
