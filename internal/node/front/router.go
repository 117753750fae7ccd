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

// router owns the routing table, the requests that wait for a server, and the
// assignments of requests to servers. The goroutine in Serve owns all fields but
// requests, releases and nextID.
type router struct {
	table    *route.Table
	views    Views
	clock    clock.Clock
	log      events.Log
	requests *stage.Queue[*assignment]
	releases *stage.Queue[release]
	stopped  chan struct{} // closed when the front has stopped
	nextID   atomic.Uint64
	view     *follower.View // the one that the table has
	sheet    *sheet.Sheet   // the one last given to applySheet
	queued   map[string]*assignment
	assigned map[string]map[*assignment]struct{} // offset server
	reporter routingReporter
	// applySheet applies the run-time settings of a new sheet to the table.
	applySheet func(*sheet.Sheet, *route.Table)
}

// assignment is one request's slot at a server, or its entry among the queued
// requests. Server and released belong to the router's goroutine.
type assignment struct {
	request  route.Request
	choice   chan route.Choice // holds one, so that the router never waits
	server   string            // "" until one is chosen
	released bool
	// serverLost ends when the server is removed or unreachable, and when the
	// assignment is released.
	serverLost     context.Context
	markServerLost context.CancelFunc
}

// release is the end of an assignment.
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

// request submits a request for a server. The choice is sent on the assignment's
// channel; every assignment must be released once, whatever was chosen. A full
// queue is rejected as QueueFull.
func (r *router) request(request route.Request) (*assignment, *apierror.Error) {
	request.ID = strconv.FormatUint(r.nextID.Add(1), 36)
	requested := &assignment{request: request, choice: make(chan route.Choice, 1)}
	requested.serverLost, requested.markServerLost = context.WithCancel(context.Background())
	if !r.requests.TryPut(requested) {
		return nil, apierror.Errorf(apierror.QueueFull, "%d requests wait to be routed", routerQueueCapacity).WithRetryAfter(time.Second)
	}
	return requested, nil
}

// release ends an assignment and reports the outcome of its request.
func (r *router) release(released *assignment, outcome route.Outcome) {
	select {
	case r.releases.Input() <- release{assignment: released, outcome: outcome}:
	case <-r.stopped:
	}
}

// Serve owns the table until the context ends.
func (r *router) Serve(ctx context.Context) error {
	wake, stop := clock.NewTimer(time.Hour)
	defer func() { stop() }()
	for {
		// The channel is taken before the view is read, so that no change is missed.
		changed := r.views.Changed()
		r.recoverPanic(nil, r.refreshView)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case requested := <-r.requests.Items():
			r.serveRequest(requested)
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

// String returns the owner's name in log events.
func (r *router) String() string { return "router" }

// serveRequest chooses a server for a request, by the newest view and with the
// slots of all requests that have ended.
func (r *router) serveRequest(requested *assignment) {
	r.recoverPanic(nil, r.finishAll)
	r.recoverPanic(requested, func() {
		r.refreshView()
		r.choose(requested)
	})
}

// recoverPanic runs a decision and logs its panic. The request that it was made
// for, if any, is rejected then, so that its caller does not wait.
func (r *router) recoverPanic(requested *assignment, decide func()) {
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		r.log.Emit(events.RoutePanicked, "panic", panicked)
		if requested != nil {
			r.deliver(requested, route.Choice{Err: apierror.Errorf(apierror.NoServer, "a fault of the program; see the log").WithRetryAfter(time.Second)})
		}
	}()
	decide()
}

// nextWait returns how long the router may sleep.
func (r *router) nextWait() time.Duration {
	now := r.clock.Now()
	if at, ok := r.table.NextWake(now); ok {
		return max(at.Sub(now), minRouterWait)
	}
	return routingReportInterval
}

// refreshView applies the newest view to the table, so that no decision uses an
// older one, and cancels the attempts at servers that it reports as lost.
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

// choose delivers a server or a rejection to a request, or queues the request.
func (r *router) choose(requested *assignment) {
	if requested.released {
		return
	}
	now := r.clock.Now()
	choice := r.table.Choose(requested.request, now)
	if choice.Queued {
		if choice.Err = r.table.Enqueue(requested.request, now); choice.Err == nil {
			r.queued[requested.request.ID] = requested
			return
		}
	}
	r.deliver(requested, choice)
}

// deliver takes a slot of the chosen server, if any, and sends the choice.
func (r *router) deliver(requested *assignment, choice route.Choice) {
	if choice.Err == nil {
		requested.server = choice.Server
		r.table.Started(choice.Server)
		if r.assigned[requested.server] == nil {
			r.assigned[requested.server] = map[*assignment]struct{}{}
		}
		r.assigned[requested.server][requested] = struct{}{}
	}
	requested.choice <- choice
}

// finish removes a queued request, or frees its slot and reports its outcome to
// the table.
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

// finishAll finishes the assignments that are released by now.
func (r *router) finishAll() {
	for remaining := r.releases.Len(); remaining > 0; remaining-- {
		r.finish(<-r.releases.Items())
	}
}

// dispatchQueued delivers choices to the queued requests that the table has
// decided on.
func (r *router) dispatchQueued() {
	for {
		ready, ok := r.table.Next(r.clock.Now())
		if !ok {
			return
		}
		requested := r.queued[ready.Request.ID]
		if requested == nil {
			continue
		}
		delete(r.queued, ready.Request.ID)
		ready.Choice.EstimatedWait = 0
		r.deliver(requested, ready.Choice)
	}
}
