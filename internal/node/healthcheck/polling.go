package healthcheck

import (
	"context"
	"maps"
	"slices"
	"time"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// pollIntervalPerServer is the poll interval per polled server. It bounds the average
// rate of a front's polls, and so their traffic, when the front polls many servers.
// Longer intervals are acceptable because drains are detected from the list, and
// failed servers by the requests sent to them.
const pollIntervalPerServer = 50 * time.Millisecond

// polling is the state of the polls of the servers' status endpoints.
type polling struct {
	states      map[string]*pollState // by name of the servers that this front polls
	queue       []string              // names of the servers whose poll is due
	inFlight    int
	nextRoundAt time.Time // local time at which the next polls are due
}

// pollState is the state of the polls of a single server.
type pollState struct {
	isPending   bool             // queued or in flight
	unanswered  int              // consecutive polls without an answer
	lastOutcome port.PollOutcome // outcome of the last recorded poll
}

// reset discards the polls that are queued or in flight.
func (p *polling) reset() {
	p.inFlight = 0
	p.queue = nil
	for _, state := range p.states {
		state.isPending = false
	}
}

// pollInterval returns the time between two polls of a server.
func (c *Checker) pollInterval() time.Duration {
	return max(c.config.PollInterval, time.Duration(len(c.polling.states))*pollIntervalPerServer)
}

// queueDuePolls queues a poll of each server that is assigned to this front, and
// removes the state of servers that are no longer in the view.
func (c *Checker) queueDuePolls(view View) {
	for _, name := range slices.Sorted(maps.Keys(view.Servers)) {
		c.queueDuePoll(name, view)
	}
	for name := range c.polling.states {
		if view.Servers[name] == nil {
			delete(c.polling.states, name)
			delete(c.observations, observationKey{name, serverstatus.SourceServer})
			delete(c.observations, observationKey{name, serverstatus.SourceList})
		}
	}
}

// queueDuePoll queues a poll of a server unless one is pending. Servers that this front
// reports as gone from the list, or that are assigned to other fronts, are not polled.
func (c *Checker) queueDuePoll(name string, view View) {
	status := view.Servers[name]
	listed := c.observations[observationKey{name, serverstatus.SourceList}]
	if listed != nil && listed.status().GetState() == wire.ServerState_SERVER_STATE_GONE {
		return
	}
	if !c.isAssigned(view.Fronts, name, location{status.Region, status.Zone}, c.config.PollersPerServer) {
		delete(c.observations, observationKey{name, serverstatus.SourceServer})
		return
	}
	state := c.polling.states[name]
	if state == nil {
		state = &pollState{}
		c.polling.states[name] = state
		c.log.Emit(events.HealthCheckStarted, "server", name)
	}
	if !state.isPending {
		state.isPending = true
		c.polling.queue = append(c.polling.queue, name)
	}
}

// startPolls starts queued polls, up to MaxConcurrentPolls in flight.
func (c *Checker) startPolls(ctx context.Context, view View) {
	for len(c.polling.queue) > 0 && c.polling.inFlight < c.config.MaxConcurrentPolls {
		name := c.polling.queue[0]
		c.polling.queue = c.polling.queue[1:]
		if status := view.Servers[name]; status != nil {
			c.startPoll(ctx, name, status.Address)
		} else if state := c.polling.states[name]; state != nil {
			state.isPending = false
		}
	}
}

func (c *Checker) startPoll(ctx context.Context, name, address string) {
	c.polling.inFlight++
	sentAt := c.config.FleetNow()
	c.runAsync(ctx, func() func() {
		status, outcome, err := c.source.Status(ctx, name, address)
		return func() {
			c.polling.inFlight--
			if state := c.polling.states[name]; state != nil {
				state.isPending = false
				c.completePoll(state, name, status, outcome, err, sentAt)
			}
		}
	})
}

// completePoll records the result of a poll that was started at the fleet time
// requestedAt. Consecutive failures of the same kind are logged once.
func (c *Checker) completePoll(state *pollState, name string, status *wire.ServerStatus, outcome port.PollOutcome, err error, requestedAt time.Time) {
	switch outcome {
	case port.PollAnswered:
		state.unanswered = 0
		c.record(serverstatus.SourceServer, status, requestedAt)
	case port.PollRefused:
		state.unanswered = 0
		c.record(serverstatus.SourceServer, &wire.ServerStatus{Name: name, State: wire.ServerState_SERVER_STATE_GONE}, requestedAt)
	default:
		state.unanswered++
		if state.unanswered < c.config.FailureThreshold {
			return
		}
		c.record(serverstatus.SourceServer, &wire.ServerStatus{Name: name}, requestedAt)
	}
	if event, isLogged := outcomeEvents[outcome]; isLogged && state.lastOutcome != outcome {
		c.log.Emit(event, "server", name, "why", errorText(err))
	}
	state.lastOutcome = outcome
}

// outcomeEvents holds the events that are logged for failed polls.
var outcomeEvents = map[port.PollOutcome]events.Event{
	port.PollUnanswered: events.ServerUnresponsive,
	port.PollMalformed:  events.ServerBadStatus,
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
