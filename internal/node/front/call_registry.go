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
	// callCheckInterval is the time between two checks of all running calls.
	callCheckInterval = 200 * time.Millisecond
	callQueueCapacity = 1024
)

// callRegistry owns the set of running calls. It cancels a call whose API key a
// new version of the configuration revokes, all calls once the node has been
// without authority for the grace period, and those left at the end of a drain.
//
// The goroutine in Serve owns running and pendingDrains. checkRunning, enter, leave
// and untilGraceEnds may be called from any goroutine.
type callRegistry struct {
	views          Views
	clock          clock.Clock
	authorityGrace time.Duration
	started        time.Time
	authoritySeen  atomic.Int64 // when the node was last seen with authority, nanoseconds since started
	transitions    *stage.Queue[callTransition]
	drainRequests  chan drainRequest
	stopped        chan struct{} // closed when the front has stopped
	running        map[*runningCall]struct{}
	pendingDrains  []drainRequest
	entered        atomic.Int64    // requests between enter and leave, running or waiting to be admitted
	graceEnded     context.Context // ends when a drain's grace has ended
	endGrace       context.CancelFunc
}

// callTransition is the start or the end of a call. Both go through one queue,
// which keeps their order.
type callTransition struct {
	call   *runningCall
	starts bool
}

// drainRequest waits for the end of all requests.
type drainRequest struct {
	done      chan struct{}   // closed by the registry when no request is left
	cancelled <-chan struct{} // closed by the requester to cancel the remaining calls
}

// runningCall is the registry's part of a call.
type runningCall struct {
	apiKey string
	tenant string
	// index is the last configuration in which apiKey was checked.
	index  atomic.Pointer[sheet.Index]
	cancel context.CancelFunc
	// rejection is why the call was cancelled; nil while it may run.
	rejection atomic.Pointer[apierror.Error]
}

func newCallRegistry(views Views, clock clock.Clock, authorityGrace time.Duration, stopped chan struct{}) *callRegistry {
	graceEnded, endGrace := context.WithCancel(context.Background())
	return &callRegistry{
		views:          views,
		clock:          clock,
		authorityGrace: authorityGrace,
		started:        clock.Now(),
		transitions:    stage.NewQueue[callTransition](callQueueCapacity),
		drainRequests:  make(chan drainRequest),
		stopped:        stopped,
		running:        map[*runningCall]struct{}{},
		graceEnded:     graceEnded,
		endGrace:       endGrace,
	}
}

// enter counts a request, before it is checked whether the node drains, so that a
// drain waits for it. The caller must call leave after the request's call has been
// deregistered.
func (r *callRegistry) enter() { r.entered.Add(1) }

// leave ends the count of a request.
func (r *callRegistry) leave() { r.entered.Add(-1) }

// untilGraceEnds returns a context that ends with the given one and at the end of a
// drain's grace.
func (r *callRegistry) untilGraceEnds(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.graceEnded, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// register adds a call and returns its context, which ends when the call is
// cancelled. The caller must deregister the call.
func (r *callRegistry) register(ctx context.Context, call *runningCall) context.Context {
	ctx, call.cancel = context.WithCancel(ctx)
	r.send(callTransition{call: call, starts: true})
	return ctx
}

func (r *callRegistry) deregister(call *runningCall) {
	call.cancel()
	r.send(callTransition{call: call, starts: false})
}

func (r *callRegistry) send(transition callTransition) {
	select {
	case r.transitions.Input() <- transition:
	case <-r.stopped:
	}
}

// checkRunning returns nil if a call may continue now, or why not.
func (r *callRegistry) checkRunning(call *runningCall) *apierror.Error {
	if apiErr := call.rejection.Load(); apiErr != nil {
		return apiErr
	}
	return r.checkPermission(call)
}

// checkPermission checks the node's authority, then the call's API key against
// the newest configuration.
func (r *callRegistry) checkPermission(call *runningCall) *apierror.Error {
	if !r.views.HasAuthority() {
		if r.clock.Now().Sub(r.started)-time.Duration(r.authoritySeen.Load()) < r.authorityGrace {
			return nil
		}
		return apierror.Errorf(apierror.NotRuling, "the node lost touch while the call ran").WithRetryAfter(time.Second)
	}
	r.recordAuthority()
	index := r.views.View().Index
	if index == call.index.Load() {
		return nil
	}
	if tenant, _, known := tenantOf(index, call.apiKey); !known || tenant != call.tenant {
		return apierror.Errorf(apierror.KeyRevoked, "the sheet in force no longer has the key")
	}
	call.index.Store(index)
	return nil
}

func (r *callRegistry) recordAuthority() {
	r.authoritySeen.Store(int64(r.clock.Now().Sub(r.started)))
}

// Serve owns the running calls until the context ends.
func (r *callRegistry) Serve(ctx context.Context) error {
	ticker := r.clock.Ticker(callCheckInterval)
	defer ticker.Stop()
	for {
		changed := r.views.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case transition := <-r.transitions.Items():
			r.apply(transition)
		case request := <-r.drainRequests:
			r.pendingDrains = append(r.pendingDrains, request)
		case <-changed:
			r.checkAll()
		case <-ticker.C():
			r.checkAll()
		}
		r.completeDrains()
	}
}

// String returns the owner's name in log events.
func (r *callRegistry) String() string { return "keeper" }

func (r *callRegistry) apply(transition callTransition) {
	if !transition.starts {
		delete(r.running, transition.call)
		return
	}
	r.running[transition.call] = struct{}{}
	// The configuration may have changed since the call was admitted.
	r.check(transition.call)
}

func (r *callRegistry) checkAll() {
	if r.views.HasAuthority() {
		r.recordAuthority()
	}
	for call := range r.running {
		r.check(call)
	}
}

func (r *callRegistry) check(call *runningCall) {
	if apiErr := r.checkPermission(call); apiErr != nil {
		r.cancelCall(call, apiErr)
	}
}

// cancelCall cancels a call once; a later reason does not replace the first.
func (r *callRegistry) cancelCall(call *runningCall, apiErr *apierror.Error) {
	if call.rejection.CompareAndSwap(nil, apiErr) {
		call.cancel()
	}
}

// completeDrains completes the drain requests when no request is left, and cancels the remaining calls of those that were cancelled.
func (r *callRegistry) completeDrains() {
	pending := r.pendingDrains[:0]
	for _, request := range r.pendingDrains {
		if r.entered.Load() == 0 {
			close(request.done)
			continue
		}
		select {
		case <-request.cancelled:
			r.cancelAll()
		default:
		}
		pending = append(pending, request)
	}
	r.pendingDrains = pending
}

func (r *callRegistry) cancelAll() {
	for call := range r.running {
		r.cancelCall(call, errGraceEnded())
	}
}

// errGraceEnded is the answer to a request that is left at the end of a drain.
func errGraceEnded() *apierror.Error {
	return apierror.Errorf(apierror.FrontLeaving, "the node is being taken away").WithRetryAfter(time.Second)
}

// drain waits until no request is left. When the context ends first, it cancels the
// remaining calls and those that wait to be admitted, gives them time to end, and
// returns the context's error.
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
	r.endGrace()
	close(cancelled)
	<-r.clock.After(2 * callCheckInterval)
	return ctx.Err()
}
