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
	routerBound   = 1024
	routerTickMin = time.Millisecond
)

// router owns the routing table and the queued requests.
type router struct {
	table   *route.Table
	self    string
	views   Views
	clock   clock.Clock
	log     events.Log
	asks    *stage.Queue[*seat]
	ends    *stage.Queue[ended]
	ended   chan struct{}
	numbers atomic.Uint64
	seen    *follower.View
	queued  map[string]*seat
	seated  map[string]map[*seat]struct{} // by server
	survey  survey
	tune    func(*sheet.Sheet, *route.Table) // takes in what a new sheet sets at run time
	sheet   *sheet.Sheet
}

// seat is one request's place at a server, or among the queued requests.
// Server and choice belong to the router until the choice is delivered.
type seat struct {
	request route.Request
	choice  chan route.Choice
	server  string
	gone    bool
	lost    context.Context // ends when the server is known to be lost
	lose    context.CancelFunc
}

type ended struct {
	seat    *seat
	outcome route.Outcome
}

func newRouter(table *route.Table, self string, views Views, clock clock.Clock, log events.Log, over chan struct{}) *router {
	return &router{table: table, self: self, views: views, clock: clock, log: log, ended: over, asks: stage.NewQueue[*seat](routerBound),
		ends: stage.NewQueue[ended](routerBound), queued: map[string]*seat{}, seated: map[string]map[*seat]struct{}{}}
}

// ask hands a request to the router, unless its queue is full. The choice
// comes on the seat's channel, and each seat that was asked for is to be given
// up once, whatever came.
func (r *router) ask(request route.Request) (*seat, *apierror.Error) {
	request.ID = strconv.FormatUint(r.numbers.Add(1), 36)
	s := &seat{request: request, choice: make(chan route.Choice, 1)}
	s.lost, s.lose = context.WithCancel(context.Background())
	if !r.asks.TryPut(s) {
		return nil, apierror.Errorf(apierror.QueueFull, "%d requests wait to be routed", routerBound).WithRetryAfter(time.Second)
	}
	return s, nil
}

// giveUp frees the seat, with what came of it.
func (r *router) giveUp(s *seat, outcome route.Outcome) {
	select {
	case r.ends.Input() <- ended{s, outcome}:
	case <-r.ended:
	}
}

// Serve owns the table until the context ends.
func (r *router) Serve(ctx context.Context) error {
	wake, stop := clock.NewTimer(time.Hour)
	defer func() { stop() }()
	for {
		changed := r.views.Changed()
		r.guarded(nil, r.look)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-r.asks.Items():
			r.guarded(nil, r.endAll)
			r.guarded(s, func() { r.look(); r.choose(s) })
		case end := <-r.ends.Items():
			r.guarded(nil, func() { r.end(end) })
		case <-changed:
		case <-wake:
		}
		r.guarded(nil, r.advance)
		r.guarded(nil, func() { r.survey.look(r.table, r.seen.Plan, r.clock.Now(), r.log) })
		stop()
		wake, stop = clock.NewTimer(r.rest())
	}
}

func (r *router) String() string { return "router" }

func (r *router) guarded(s *seat, decide func()) {
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		r.log.Emit(events.RoutePanicked, "panic", panicked)
		if s != nil {
			r.deliver(s, route.Choice{Err: apierror.Errorf(apierror.NoServer, "a fault of the program; see the log").WithRetryAfter(time.Second)})
		}
	}()
	decide()
}

func (r *router) rest() time.Duration {
	now := r.clock.Now()
	if at, ok := r.table.NextWake(now); ok {
		return max(at.Sub(now), routerTickMin)
	}
	return surveyEvery
}

// look takes the newest view in, so that no decision goes by an older one.
func (r *router) look() {
	view := r.views.View()
	if view == r.seen {
		return
	}
	r.seen = view
	if view.State.Sheet != r.sheet {
		r.sheet = view.State.Sheet
		r.tune(r.sheet, r.table)
	}
	r.table.Update(route.View{State: view.State, Plan: view.Plan, Servers: view.Servers, Fronts: view.Sharers()})
	for name, seats := range r.seated {
		if r.table.Unavailable(name) {
			for s := range seats {
				s.lose()
			}
		}
	}
}

func (r *router) choose(s *seat) {
	if s.gone {
		return
	}
	now := r.clock.Now()
	choice := r.table.Choose(s.request, now)
	if choice.Queued {
		if choice.Err = r.table.Enqueue(s.request, now); choice.Err == nil {
			r.queued[s.request.ID] = s
			return
		}
	}
	r.deliver(s, choice)
}

func (r *router) deliver(s *seat, choice route.Choice) {
	if choice.Err == nil {
		s.server = choice.Server
		r.table.Started(choice.Server)
		if r.seated[s.server] == nil {
			r.seated[s.server] = map[*seat]struct{}{}
		}
		r.seated[s.server][s] = struct{}{}
	}
	s.choice <- choice
}

func (r *router) end(end ended) {
	s := end.seat
	s.gone = true
	s.lose()
	if _, waits := r.queued[s.request.ID]; waits {
		delete(r.queued, s.request.ID)
		r.table.Cancel(s.request.ID)
		return
	}
	if s.server != "" {
		delete(r.seated[s.server], s)
		if len(r.seated[s.server]) == 0 {
			delete(r.seated, s.server)
		}
		r.table.Finished(s.server, end.outcome, r.clock.Now())
	}
}

// endAll takes in what has ended before a choice is made.
func (r *router) endAll() {
	for waiting := r.ends.Len(); waiting > 0; waiting-- {
		r.end(<-r.ends.Items())
	}
}

func (r *router) advance() {
	for {
		ready, ok := r.table.Next(r.clock.Now())
		if !ok {
			return
		}
		s := r.queued[ready.Request.ID]
		if s == nil {
			continue
		}
		delete(r.queued, ready.Request.ID)
		ready.Choice.EstimatedWait = 0
		r.deliver(s, ready.Choice)
	}
}
