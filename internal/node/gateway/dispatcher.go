package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/balance"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/stage"
)

const (
	askBound  = 1024 // requests that wait to be looked at
	moveBound = 1024 // attempts whose progress waits to be taken in
	waitBound = 4096 // requests that wait for room
)

// dispatcher owns the balancing table and the requests that wait for a server.
type dispatcher struct {
	table  *balance.Table
	views  Views
	clock  clock.Clock
	log    events.Log
	client *upstream.Client
	asks   *stage.Queue[*ticket]
	moves  *stage.Queue[move]
	over   chan struct{} // closed when the owner has ended for good
	seen   *follower.View
	// sharers are the fronts that share what is bounded over the fleet.
	sharers []string
	// unreachable are the servers that others call silent.
	unreachable []string
	waiting     []*ticket // the most urgent first, then the oldest
	count       uint64

	off       balance.Off
	suspects  *suspects
	suspected map[string]balance.Silence // servers that were found silent, and how long
}

// ticket is a request that asks for a server; given gets its answer, once.
type ticket struct {
	request balance.Request
	order   uint64
	first   bool // not asked for before, so that it counts as a client's request
	given   chan assignment
	attempt *balance.Attempt
	left    bool // given up before it was looked at
}

// assignment is a server for one attempt, or the fault that there is none.
type assignment struct {
	server  upstream.Server
	attempt *balance.Attempt
	apiErr  *apierror.Error
}

// move is the progress of an attempt, or the end of a ticket whose request did
// not wait for its server.
type move struct {
	attempt *balance.Attempt
	began   bool
	outcome balance.Outcome
	leaves  *ticket
	silent  string // a server whose machine stopped to acknowledge
}

func newDispatcher(table *balance.Table, views Views, clock clock.Clock, log events.Log, client *upstream.Client, suspects *suspects, off balance.Off) *dispatcher {
	return &dispatcher{suspects: suspects, off: off, suspected: map[string]balance.Silence{}, table: table, views: views, clock: clock, log: log, client: client,
		asks: stage.NewQueue[*ticket](askBound), moves: stage.NewQueue[move](moveBound), over: make(chan struct{})}
}

// assign waits until a request has a server or is refused one.
func (d *dispatcher) assign(ctx context.Context, request balance.Request, first bool) assignment {
	t := &ticket{request: request, first: first, given: make(chan assignment, 1)}
	if !d.asks.TryPut(t) {
		return assignment{apiErr: apierror.Errorf(apierror.QueueFull, "%d requests wait to be routed", askBound).WithRetryAfter(time.Second)}
	}
	select {
	case got := <-t.given:
		return got
	case <-ctx.Done():
	case <-d.over:
	}
	d.move(move{leaves: t})
	return assignment{apiErr: apierror.Errorf(apierror.DeadlinePassed, "the request was given up while it waited for a server")}
}

// began tells that the answer to an attempt has begun.
func (d *dispatcher) began(attempt *balance.Attempt) { d.move(move{attempt: attempt, began: true}) }

// ended tells how an attempt ended.
func (d *dispatcher) ended(attempt *balance.Attempt, outcome balance.Outcome) {
	d.move(move{attempt: attempt, outcome: outcome})
}

// silent tells that a server's machine stopped to acknowledge.
func (d *dispatcher) silent(server string) { d.move(move{silent: server}) }

func (d *dispatcher) move(m move) {
	select {
	case d.moves.Input() <- m:
	case <-d.over:
	}
}

// Serve owns the table until the context ends.
func (d *dispatcher) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			close(d.over)
		}
	}()
	suspicion := d.clock.Ticker(suspectEvery)
	defer suspicion.Stop()
	for {
		changed := d.views.Changed()
		d.look()
		wake, stop := d.rest()
		select {
		case <-ctx.Done():
			stop()
			return ctx.Err()
		case t := <-d.asks.Items():
			d.takeMoves()
			d.look()
			d.take(t)
		case m := <-d.moves.Items():
			d.apply(m)
			d.takeMoves()
			d.serveWaiting()
		case <-changed:
			d.look()
			d.serveWaiting()
		case <-wake:
			d.serveWaiting()
		case <-suspicion.C():
			d.suspect()
		}
		stop()
	}
}

func (d *dispatcher) String() string { return "dispatcher" }

// rest returns what wakes the owner for the requests that wait; nothing where
// there are none.
func (d *dispatcher) rest() (<-chan time.Time, func() bool) {
	if len(d.waiting) == 0 {
		return nil, func() bool { return true }
	}
	return clock.NewTimer(d.table.Waits(d.clock.Now()))
}

// look takes the newest view in, so that no choice goes by an older one.
func (d *dispatcher) look() {
	view := d.views.View()
	if view == d.seen {
		return
	}
	d.unreachable = d.unreachable[:0]
	for name, status := range view.Servers {
		if !status.Reachable {
			d.unreachable = append(d.unreachable, name)
		}
	}
	serversMoved := d.seen == nil || len(d.seen.Servers) != len(view.Servers)
	if d.seen == nil || !view.SameFronts(d.seen) {
		d.sharers = view.Sharers()
	}
	d.seen = view
	d.table.Update(balance.View{State: view.State, Servers: view.Servers, Fronts: d.sharers, Members: view.Roster, FleetNow: d.views.FleetNow()}, d.clock.Now())
	if serversMoved {
		d.client.Forget(func(server string) bool { return view.Servers[server] != nil })
	}
}

const (
	suspectEvery = 100 * time.Millisecond
	// heardOfLate is how recent an answer must be to stand against another node's
	// word that its server is silent.
	heardOfLate = 400 * time.Millisecond
)

// suspect tells of servers that have become silent on what this node sent them,
// of those that answer it again, and of those that others call silent and that
// have just answered this node.
func (d *dispatcher) suspect() {
	if d.off[balance.Suspects] {
		return
	}
	now := d.clock.Now()
	silent := d.table.Silences(now)
	for name, one := range silent {
		d.doubt(upstream.Server{Name: name, Address: one.Address}, one.Silence)
	}
	for name := range d.suspected {
		if _, still := silent[name]; still {
			continue
		}
		delete(d.suspected, name)
		if d.table.HeardSince(name, now.Add(-heardOfLate)) {
			d.suspects.back(upstream.Server{Name: name})
		}
	}
	for _, name := range d.unreachable {
		if _, still := silent[name]; !still && d.table.HeardSince(name, now.Add(-heardOfLate)) {
			d.suspects.note(upstream.Server{Name: name}, true)
		}
	}
}

// doubt acts once on each longer silence of a server: it has the server probed,
// and the fleet told of one that is mute.
func (d *dispatcher) doubt(server upstream.Server, silence balance.Silence) {
	before := d.suspected[server.Name]
	if silence <= before {
		return
	}
	probes := !d.off[balance.SuspectProbes]
	switch {
	case silence == balance.Mute, !probes && silence == balance.Hanging && before < balance.Hanging:
		d.suspects.note(server, false)
	case probes && before == balance.Usual:
		d.suspects.doubt(server)
	}
	d.suspected[server.Name] = silence
}

func (d *dispatcher) take(t *ticket) {
	if t.left {
		return
	}
	now := d.clock.Now()
	if t.first {
		d.table.Count(t.request.Service, now)
	}
	if d.try(t, now) {
		return
	}
	if len(d.waiting) >= waitBound {
		t.given <- assignment{apiErr: apierror.Errorf(apierror.QueueFull, "%d requests wait for room", waitBound).WithRetryAfter(time.Second)}
		return
	}
	d.count++
	t.order = d.count
	at, _ := slices.BinarySearchFunc(d.waiting, t, func(a, b *ticket) int {
		return cmp.Or(cmp.Compare(a.request.Urgency, b.request.Urgency), cmp.Compare(a.order, b.order))
	})
	d.waiting = slices.Insert(d.waiting, at, t)
}

// try gives a ticket its server or its fault; false when it has to wait.
func (d *dispatcher) try(t *ticket, now time.Time) bool {
	choice := d.table.Choose(&t.request, now)
	if choice.Wait {
		return false
	}
	if choice.Fault != nil {
		t.given <- assignment{apiErr: choice.Fault}
		return true
	}
	t.attempt = d.table.Started(choice.Server, &t.request, now)
	t.given <- assignment{server: upstream.Server{Name: choice.Server, Address: choice.Address}, attempt: t.attempt}
	return true
}

func (d *dispatcher) serveWaiting() {
	now := d.clock.Now()
	kept := d.waiting[:0]
	for _, t := range d.waiting {
		if !d.try(t, now) {
			kept = append(kept, t)
		}
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

// takeMoves takes in what has happened before a choice is made.
func (d *dispatcher) takeMoves() {
	for left := d.moves.Len(); left > 0; left-- {
		d.apply(<-d.moves.Items())
	}
}

func (d *dispatcher) apply(m move) {
	now := d.clock.Now()
	switch {
	case m.leaves != nil:
		d.leave(m.leaves, now)
	case m.silent != "":
		d.silenced(m.silent, now)
	case m.began:
		d.table.Began(m.attempt, now)
	default:
		d.table.Finished(m.attempt, m.outcome, now)
		switch {
		case m.outcome.Silent:
			d.silenced(m.attempt.Server(), now)
		case m.outcome.Refused, m.outcome.Replaced:
			d.drop(m.attempt.Server())
		}
	}
}

// silenced rests a server whose machine stopped to acknowledge, and tells so.
func (d *dispatcher) silenced(server string, now time.Time) {
	d.table.Unacknowledged(server, now)
	d.drop(server)
	if status := d.seen.Servers[server]; status != nil && d.suspected[server] < balance.Mute {
		d.suspects.note(upstream.Server{Name: server, Address: status.Address}, false)
	}
}

// drop closes the connections to a server that rest: they may be dead, and the
// next request finds out whether it is back on a fresh one, before it is sent.
func (d *dispatcher) drop(server string) {
	d.client.Forget(func(name string) bool { return name != server })
}

// leave takes a ticket out whose request did not wait for its server. It may not
// have been looked at yet.
func (d *dispatcher) leave(t *ticket, now time.Time) {
	t.left = true
	if at := slices.Index(d.waiting, t); at >= 0 {
		d.waiting = slices.Delete(d.waiting, at, at+1)
		return
	}
	d.table.Finished(t.attempt, balance.Outcome{}, now)
}
