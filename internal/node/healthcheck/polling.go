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

// pollCost is the least time between two polls of a front, so that the bytes
// which it spends on them stay bounded when it polls many servers. Drains are
// found by the list, and servers that fail by the requests that they are sent.
const pollCost = 50 * time.Millisecond

// polling is the state of the polls of servers' status.
type polling struct {
	polls    map[string]*poll // of the servers that this front polls
	queue    []string         // servers whose poll is due
	inFlight int
	nextAt   time.Time // when polls are due next
}

// poll is the state of the polls of one server.
type poll struct {
	isQueued   bool             // or in flight
	unanswered int              // successive polls without an answer
	outcome    port.PollOutcome // of the last poll
}

// reset forgets the polls that are queued or in flight.
func (p *polling) reset() {
	p.inFlight = 0
	p.queue = nil
	for _, poll := range p.polls {
		poll.isQueued = false
	}
}

// pollInterval returns the time until polls are due next.
func (c *Checker) pollInterval() time.Duration {
	return max(c.config.PollInterval, time.Duration(len(c.polling.polls))*pollCost)
}

// queueDuePolls queues a poll of each server that is assigned to this front.
func (c *Checker) queueDuePolls(view View) {
	for _, name := range slices.Sorted(maps.Keys(view.Servers)) {
		c.queueDuePoll(name, view)
	}
	for name := range c.polling.polls {
		if view.Servers[name] == nil {
			delete(c.polling.polls, name)
			delete(c.observations, observationKey{name, serverstatus.SourceServer})
			delete(c.observations, observationKey{name, serverstatus.SourceList})
		}
	}
}

func (c *Checker) queueDuePoll(name string, view View) {
	status := view.Servers[name]
	listed := c.observations[observationKey{name, serverstatus.SourceList}]
	if listed != nil && listed.status().GetState() == wire.ServerState_SERVER_STATE_GONE {
		return
	}
	if !c.isAssigned(view.Fronts, name, location{status.Region, status.Zone}, c.config.ServerPollers) {
		delete(c.observations, observationKey{name, serverstatus.SourceServer})
		return
	}
	state := c.polling.polls[name]
	if state == nil {
		state = &poll{}
		c.polling.polls[name] = state
		c.log.Emit(events.HealthCheckStarted, "server", name)
	}
	if !state.isQueued {
		state.isQueued = true
		c.polling.queue = append(c.polling.queue, name)
	}
}

// startPolls starts queued polls, as many at once as are allowed.
func (c *Checker) startPolls(ctx context.Context, view View) {
	for len(c.polling.queue) > 0 && c.polling.inFlight < c.config.MaxPolls {
		name := c.polling.queue[0]
		c.polling.queue = c.polling.queue[1:]
		if status := view.Servers[name]; status != nil {
			c.startPoll(ctx, name, status.Address)
		} else if state := c.polling.polls[name]; state != nil {
			state.isQueued = false
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
			if state := c.polling.polls[name]; state != nil {
				state.isQueued = false
				c.completePoll(state, name, status, outcome, err, sentAt)
			}
		}
	})
}

// completePoll records the result of a poll that began at a fleet time.
func (c *Checker) completePoll(state *poll, name string, status *wire.ServerStatus, outcome port.PollOutcome, err error, at time.Time) {
	switch outcome {
	case port.PollAnswered:
		state.unanswered = 0
		c.record(serverstatus.SourceServer, status, at)
	case port.PollRefused:
		state.unanswered = 0
		c.record(serverstatus.SourceServer, &wire.ServerStatus{Name: name, State: wire.ServerState_SERVER_STATE_GONE}, at)
	default:
		state.unanswered++
		if state.unanswered < c.config.UnresponsiveAfter {
			return
		}
		c.record(serverstatus.SourceServer, &wire.ServerStatus{Name: name}, at)
	}
	if event, isLogged := outcomeEvents[outcome]; isLogged && state.outcome != outcome {
		c.log.Emit(event, "server", name, "why", errorText(err))
	}
	state.outcome = outcome
}

// outcomeEvents are the events of polls that failed.
var outcomeEvents = map[port.PollOutcome]events.Event{
	port.PollUnanswered: events.ServerUnresponsive,
	port.PollMalformed:  events.ServerBadStatus,
}

// errorText returns the text of an error, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
