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

// maxAttemptUpdates is the capacity of the dispatcher's update queue. Senders block while
// it is full.
const maxAttemptUpdates = 1024

// dispatcher owns the balancing table and the queue of requests that wait for capacity.
// Handlers submit requests through submissions and report the progress of attempts
// through updates.
type dispatcher struct {
	table    *balance.Table
	views    Views
	clock    clock.Clock
	client   *upstream.Client
	health   *serverHealth
	disabled balance.Disabled

	submissions *stage.Queue[*assignmentRequest]
	updates     *stage.Queue[attemptUpdate]
	stopped     chan struct{} // closed when Serve has returned because its context ended

	view   *follower.View // the view last applied to the table
	fronts []string       // nodes of the view that share fleet-wide limits
	queue  requestQueue
	passiveHealth
}

// updateKind is what an attemptUpdate reports.
type updateKind int

const (
	attemptFinished updateKind = iota
	attemptResponseStarted
	// requestAbandoned means that the request's handler no longer waits for a server.
	requestAbandoned
	// connectionUnacknowledged means that the server's machine stopped acknowledging the
	// data sent on a connection.
	connectionUnacknowledged
)

// attemptUpdate is a message to the dispatcher. Which of its fields are set depends on
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

// reportResponseStarted reports that the first bytes of an attempt's response have
// arrived.
func (d *dispatcher) reportResponseStarted(attempt *balance.Attempt) {
	d.sendUpdate(attemptUpdate{kind: attemptResponseStarted, attempt: attempt})
}

// reportFinished reports the outcome of an attempt.
func (d *dispatcher) reportFinished(attempt *balance.Attempt, outcome balance.Outcome) {
	d.sendUpdate(attemptUpdate{kind: attemptFinished, attempt: attempt, outcome: outcome})
}

// reportUnacknowledged reports that a server's machine stopped acknowledging data.
func (d *dispatcher) reportUnacknowledged(server string) {
	d.sendUpdate(attemptUpdate{kind: connectionUnacknowledged, server: server})
}

func (d *dispatcher) sendUpdate(update attemptUpdate) {
	select {
	case d.updates.Input() <- update:
	case <-d.stopped:
	}
}

// Serve assigns servers to requests until the context ends. Its goroutine owns the table
// and the queue.
func (d *dispatcher) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			close(d.stopped)
		}
	}()
	stallCheck := d.clock.Ticker(stallCheckInterval)
	defer stallCheck.Stop()
	for {
		changed := d.views.Changed()
		d.applyView()
		retryQueue, stop := d.queueTimer()
		select {
		case <-ctx.Done():
			stop()
			return ctx.Err()
		case submitted := <-d.submissions.Items():
			d.applyPendingUpdates()
			d.applyView()
			d.assignOrQueue(submitted)
		case update := <-d.updates.Items():
			d.applyUpdate(update)
			d.applyPendingUpdates()
			d.assignQueued()
		case <-changed:
			d.applyView()
			d.assignQueued()
		case <-retryQueue:
			d.assignQueued()
		case <-stallCheck.C():
			d.checkStalled()
		}
		stop()
	}
}

// String returns the name used in log events.
func (d *dispatcher) String() string { return "dispatcher" }

// queueTimer returns the channel of a timer for the next attempt to assign queued
// requests, nil if there are none, and the function that stops the timer.
func (d *dispatcher) queueTimer() (<-chan time.Time, func() bool) {
	if d.queue.empty() {
		return nil, func() bool { return true }
	}
	return clock.NewTimer(d.table.NextCapacityCheck(d.clock.Now()))
}

// applyView applies the newest view to the table. It is called before each selection of a
// server, so that none is based on an outdated view.
func (d *dispatcher) applyView() {
	view := d.views.View()
	if view == d.view {
		return
	}
	d.recordUnreachable(view)
	serversChanged := d.view == nil || len(d.view.Servers) != len(view.Servers)
	if d.view == nil || !view.HasSameFronts(d.view) {
		d.fronts = view.LimitSharers()
	}
	d.view = view
	d.table.Update(balance.View{
		State:    view.State,
		Servers:  view.Servers,
		Fronts:   d.fronts,
		Members:  view.Roster,
		FleetNow: d.views.FleetNow(),
	}, d.clock.Now())
	if serversChanged {
		d.client.CloseIdle(func(server string) bool { return view.Servers[server] != nil })
	}
}

// applyPendingUpdates applies the updates that have already arrived, so that the next
// selection of a server takes them into account.
func (d *dispatcher) applyPendingUpdates() {
	for remaining := d.updates.Len(); remaining > 0; remaining-- {
		d.applyUpdate(<-d.updates.Items())
	}
}

func (d *dispatcher) applyUpdate(update attemptUpdate) {
	now := d.clock.Now()
	switch update.kind {
	case requestAbandoned:
		d.abandon(update.request, now)
	case connectionUnacknowledged:
		d.handleUnacknowledgedServer(update.server, now)
	case attemptResponseStarted:
		d.table.ResponseStarted(update.attempt, now)
	case attemptFinished:
		d.table.FinishAttempt(update.attempt, update.outcome, now)
		switch update.outcome {
		case balance.OutcomeUnresponsive:
			d.handleUnacknowledgedServer(update.attempt.Server(), now)
		case balance.OutcomeRefused, balance.OutcomeReplaced:
			d.closeIdleConnections(update.attempt.Server())
		}
	}
}

// closeIdleConnections closes the idle connections to a server. They may be dead, and
// opening a new one shows whether the server is reachable before a request is sent.
func (d *dispatcher) closeIdleConnections(server string) {
	d.client.CloseIdle(func(name string) bool { return name != server })
}
