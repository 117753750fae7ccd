package front

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/stage"
)

const (
	routerQueueCapacity = 1024
	minRouterWait       = time.Millisecond
)

// router owns the routing table, the queued requests and the assignments of
// requests to servers. Only the goroutine of Serve uses the fields other than
// requests, releases, stopped and nextID.
type router struct {
	table    *route.Table
	views    Views
	clock    clock.Clock
	log      events.Log
	requests *stage.Queue[*assignment]
	releases *stage.Queue[release]
	stopped  chan struct{} // closed when the front has stopped
	nextID   atomic.Uint64
	view     *follower.View                      // last view that was applied to the table
	sheet    *sheet.Sheet                        // last sheet that was passed to applySheet
	queued   map[string]*assignment              // by ID of the route.Request
	assigned map[string]map[*assignment]struct{} // by server
	reporter routingReporter
	// applySheet applies the run-time settings of a new sheet to the table.
	applySheet func(*sheet.Sheet, *route.Table)
}

// assignment is a request for a server: queued, or assigned to a slot of a server.
// Only the router's goroutine uses the fields server and released.
type assignment struct {
	request  route.Request
	choice   chan route.Choice // buffered, so that the router never blocks
	server   string            // "" until a server is chosen
	released bool
	// serverLost ends when the server is removed or reported as unreachable, or when
	// the assignment is released.
	serverLost     context.Context
	markServerLost context.CancelFunc
}

// release is a message that ends an assignment.
type release struct {
	assignment *assignment
	outcome    route.Outcome
}

func newRouter(table *route.Table, views Views, clock clock.Clock, log events.Log, stopped chan struct{}) *router {
	return &router{
		table:    table,
		views:    views,
		clock:    clock,
		log:      log,
		stopped:  stopped,
		requests: stage.NewQueue[*assignment](routerQueueCapacity),
		releases: stage.NewQueue[release](routerQueueCapacity),
		queued:   map[string]*assignment{},
		assigned: map[string]map[*assignment]struct{}{},
	}
}

// submit requests a server. The router sends its choice on the channel of the
// returned assignment. Every assignment must be released exactly once, even if the
// choice is a rejection. If the router's queue is full, submit returns QueueFull.
func (r *router) submit(request route.Request) (*assignment, *apierror.Error) {
	request.ID = strconv.FormatUint(r.nextID.Add(1), 36)
	pending := &assignment{request: request, choice: make(chan route.Choice, 1)}
	pending.serverLost, pending.markServerLost = context.WithCancel(context.Background())
	if !r.requests.TryPut(pending) {
		return nil, apierror.Errorf(apierror.QueueFull, "the queue of the router is full: %d requests are waiting to be routed", routerQueueCapacity).WithRetryAfter(time.Second)
	}
	return pending, nil
}

// release ends an assignment and reports the outcome of its request.
func (r *router) release(released *assignment, outcome route.Outcome) {
	select {
	case r.releases.Input() <- release{assignment: released, outcome: outcome}:
	case <-r.stopped:
	}
}

// Serve runs the goroutine that owns the table until the context ends.
func (r *router) Serve(ctx context.Context) error {
	wake, stop := clock.NewTimer(time.Hour)
	defer func() { stop() }()
	for {
		// The channel is read before the view, so that no change is missed.
		changed := r.views.Changed()
		r.recoverPanic(nil, r.refreshView)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case pending := <-r.requests.Items():
			r.serveRequest(pending)
		case ended := <-r.releases.Items():
			r.recoverPanic(nil, func() { r.finish(ended) })
		case <-changed:
		case <-wake:
		}
		r.recoverPanic(nil, r.dispatchQueued)
		r.recoverPanic(nil, func() { r.reporter.report(r.table, r.view.Plan, r.clock.Now(), r.log) })
		stop()
		wake, stop = clock.NewTimer(r.nextWait())
	}
}

// String returns the name of this owner in log events.
func (r *router) String() string { return "router" }

// serveRequest chooses a server for a request after it has applied all pending
// releases and the latest view.
func (r *router) serveRequest(pending *assignment) {
	r.recoverPanic(nil, r.finishReleased)
	r.recoverPanic(pending, func() {
		r.refreshView()
		r.choose(pending)
	})
}

// recoverPanic calls decide and recovers from and logs a panic. In that case it
// rejects the pending request, if any, so that its caller does not wait for a choice.
func (r *router) recoverPanic(pending *assignment, decide func()) {
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		r.log.Emit(events.RoutePanicked, "panic", panicked)
		if pending != nil {
			r.deliver(pending, route.Choice{Err: apierror.Errorf(apierror.NoServer, "internal error while the request was routed; see the log event route_broke").WithRetryAfter(time.Second)})
		}
	}()
	decide()
}

// nextWait returns the time until the router must wake up.
func (r *router) nextWait() time.Duration {
	now := r.clock.Now()
	if at, ok := r.table.NextWake(now); ok {
		return max(at.Sub(now), minRouterWait)
	}
	return routingReportInterval
}

// refreshView applies the latest view to the table if it has changed. Attempts at
// servers that the view reports as removed or unreachable are cancelled.
func (r *router) refreshView() {
	view := r.views.View()
	if view == r.view {
		return
	}
	r.view = view
	if view.State.Sheet != r.sheet {
		r.sheet = view.State.Sheet
		r.applySheet(r.sheet, r.table)
	}
	r.table.Update(route.View{
		State:   view.State,
		Plan:    view.Plan,
		Servers: view.Servers,
		Fronts:  view.LimitSharers(),
	})
	for server, assignments := range r.assigned {
		if !r.table.Unavailable(server) {
			continue
		}
		for assigned := range assignments {
			assigned.markServerLost()
		}
	}
}

// choose assigns a server to a request, rejects the request or queues it.
func (r *router) choose(pending *assignment) {
	if pending.released {
		return
	}
	now := r.clock.Now()
	choice := r.table.Choose(pending.request, now)
	if choice.Queued {
		if choice.Err = r.table.Enqueue(pending.request, now); choice.Err == nil {
			r.queued[pending.request.ID] = pending
			return
		}
	}
	r.deliver(pending, choice)
}

// deliver occupies a slot of the chosen server, if any, and sends the choice to the
// goroutine that waits for it.
func (r *router) deliver(pending *assignment, choice route.Choice) {
	if choice.Err == nil {
		pending.server = choice.Server
		r.table.Started(choice.Server)
		if r.assigned[pending.server] == nil {
			r.assigned[pending.server] = map[*assignment]struct{}{}
		}
		r.assigned[pending.server][pending] = struct{}{}
	}
	pending.choice <- choice
}

// finish ends an assignment. It removes a queued request from the queue, or frees
// the slot at the server and reports the outcome to the table.
func (r *router) finish(ended release) {
	finished := ended.assignment
	finished.released = true
	finished.markServerLost()
	if _, isQueued := r.queued[finished.request.ID]; isQueued {
		delete(r.queued, finished.request.ID)
		r.table.Cancel(finished.request.ID)
		return
	}
	if finished.server == "" {
		return
	}
	delete(r.assigned[finished.server], finished)
	if len(r.assigned[finished.server]) == 0 {
		delete(r.assigned, finished.server)
	}
	r.table.Finished(finished.server, ended.outcome, r.clock.Now())
}

// finishReleased ends all assignments whose release is queued.
func (r *router) finishReleased() {
	for remaining := r.releases.Len(); remaining > 0; remaining-- {
		r.finish(<-r.releases.Items())
	}
}

// dispatchQueued delivers the choices for queued requests on which the table can
// decide now.
func (r *router) dispatchQueued() {
	for {
		ready, ok := r.table.Next(r.clock.Now())
		if !ok {
			return
		}
		pending := r.queued[ready.Request.ID]
		if pending == nil {
			continue
		}
		delete(r.queued, ready.Request.ID)
		ready.Choice.EstimatedWait = 0
		r.deliver(pending, ready.Choice)
	}
}
