package gateway

import (
	"context"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/clock"
	"stepwick/internal/decision/balance"
	"stepwick/internal/node/follower"
	"stepwick/internal/stage"
)

// maxAttemptUpdates limits the updates that wait for the dispatcher; more block
// their senders.
const maxAttemptUpdates = 1024

// dispatcher owns the balancing table and the queue of requests that wait for
// capacity. Requests reach it by submissions, the progress of attempts by updates.
type dispatcher struct {
	table    *balance.Table
	views    Views
	clock    clock.Clock
	client   *upstream.Client
	health   *serverHealth
	disabled balance.Disabled

	submissions *stage.Queue[*assignmentRequest]
	updates     *stage.Queue[attemptUpdate]
	stopped     chan struct{} // closed when the owner has stopped for good

	view    *follower.View // the newest that the table has
	sharers []string       // the fronts that share what is limited over the fleet
	queue   requestQueue
	passiveHealth
}

// updateKind is what an attemptUpdate reports.
type updateKind int

const (
	attemptFinished updateKind = iota
	attemptResponseStarted
	// requestAbandoned: the request's handler does not wait for its server any more.
	requestAbandoned
	// connectionUnacknowledged: the server's machine stopped to acknowledge what was
	// sent on a connection.
	connectionUnacknowledged
)

// attemptUpdate is a message to the dispatcher. Which fields are set depends on
// kind.
type attemptUpdate struct {
	kind    updateKind
	attempt *balance.Attempt   // of attemptFinished and attemptResponseStarted
	outcome balance.Outcome    // of attemptFinished
	request *assignmentRequest // of requestAbandoned
	server  string             // of connectionUnacknowledged
}

func newDispatcher(
	table *balance.Table,
	views Views,
	clock clock.Clock,
	client *upstream.Client,
	health *serverHealth,
	disabled balance.Disabled,
) *dispatcher {
	return &dispatcher{
		table:         table,
		views:         views,
		clock:         clock,
		client:        client,
		health:        health,
		disabled:      disabled,
		submissions:   stage.NewQueue[*assignmentRequest](maxSubmissions),
		updates:       stage.NewQueue[attemptUpdate](maxAttemptUpdates),
		stopped:       make(chan struct{}),
		passiveHealth: passiveHealth{stalled: map[string]balance.StallLevel{}},
	}
}

// responseStarted reports that the first bytes of the response to an attempt have
// arrived.
func (d *dispatcher) responseStarted(attempt *balance.Attempt) {
	d.send(attemptUpdate{kind: attemptResponseStarted, attempt: attempt})
}

// finished reports how an attempt ended.
func (d *dispatcher) finished(attempt *balance.Attempt, outcome balance.Outcome) {
	d.send(attemptUpdate{kind: attemptFinished, attempt: attempt, outcome: outcome})
}

// unacknowledged reports that a server's machine stopped to acknowledge.
func (d *dispatcher) unacknowledged(server string) {
	d.send(attemptUpdate{kind: connectionUnacknowledged, server: server})
}

func (d *dispatcher) send(update attemptUpdate) {
	select {
	case d.updates.Input() <- update:
	case <-d.stopped:
	}
}

// Serve owns the table until the context ends.
func (d *dispatcher) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			close(d.stopped)
		}
	}()
	suspicion := d.clock.Ticker(stallCheckInterval)
	defer suspicion.Stop()
	for {
		changed := d.views.Changed()
		d.applyView()
		retryQueue, stop := d.queueTimer()
		select {
		case <-ctx.Done():
			stop()
			return ctx.Err()
		case submitted := <-d.submissions.Items():
			d.applyUpdates()
			d.applyView()
			d.assignOrQueue(submitted)
		case update := <-d.updates.Items():
			d.apply(update)
			d.applyUpdates()
			d.assignQueued()
		case <-changed:
			d.applyView()
			d.assignQueued()
		case <-retryQueue:
			d.assignQueued()
		case <-suspicion.C():
			d.checkStalled()
		}
		stop()
	}
}

// String returns the owner's name in log events.
func (d *dispatcher) String() string { return "dispatcher" }

// queueTimer returns a timer for the next attempt to assign queued requests, nil
// where there are none, and the function that stops it.
func (d *dispatcher) queueTimer() (<-chan time.Time, func() bool) {
	if d.queue.empty() {
		return nil, func() bool { return true }
	}
	return clock.NewTimer(d.table.NextCapacityCheck(d.clock.Now()))
}

// applyView applies the newest view to the table. It precedes each choice of a
// server, so that none goes by an older one.
func (d *dispatcher) applyView() {
	view := d.views.View()
	if view == d.view {
		return
	}
	d.recordUnreachable(view)
	serversChanged := d.view == nil || len(d.view.Servers) != len(view.Servers)
	if d.view == nil || !view.HasSameFronts(d.view) {
		d.sharers = view.LimitSharers()
	}
	d.view = view
	d.table.Update(balance.View{
		State:    view.State,
		Servers:  view.Servers,
		Fronts:   d.sharers,
		Members:  view.Roster,
		FleetNow: d.views.FleetNow(),
	}, d.clock.Now())
	if serversChanged {
		d.client.CloseIdle(func(server string) bool { return view.Servers[server] != nil })
	}
}

// applyUpdates applies the updates that have already arrived, so that a choice
// depends on them.
func (d *dispatcher) applyUpdates() {
	for left := d.updates.Len(); left > 0; left-- {
		d.apply(<-d.updates.Items())
	}
}

func (d *dispatcher) apply(update attemptUpdate) {
	now := d.clock.Now()
	switch update.kind {
	case requestAbandoned:
		d.abandon(update.request, now)
	case connectionUnacknowledged:
		d.serverUnacknowledged(update.server, now)
	case attemptResponseStarted:
		d.table.ResponseStarted(update.attempt, now)
	case attemptFinished:
		d.table.FinishAttempt(update.attempt, update.outcome, now)
		switch update.outcome {
		case balance.OutcomeUnresponsive:
			d.serverUnacknowledged(update.attempt.Server(), now)
		case balance.OutcomeRefused, balance.OutcomeReplaced:
			d.closeIdleConnections(update.attempt.Server())
		}
	}
}

// closeIdleConnections closes the idle connections to a server: they may be dead,
// and a fresh one shows whether the server is back before a request is sent.
func (d *dispatcher) closeIdleConnections(server string) {
	d.client.CloseIdle(func(name string) bool { return name != server })
}
