package front

import (
	"time"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/decision/route"
	"stepwick/internal/events"
)

func (c *call) attempt(choice route.Choice) *backend.Attempt {
	c.server = choice.Server
	return &backend.Attempt{ID: c.id, Server: choice.Server, Address: choice.Address, Deadline: c.request.Deadline,
		Now: c.front.clock.Now, Allow: c.maySend, FirstEvent: choice.FirstEventTimeout}
}

func (c *call) retried(server string) {
	c.request.Tried = append(c.request.Tried, server)
	c.front.log.Emit(events.RequestRetried, "request", c.id, "service", c.service, "server", server)
	c.front.metrics.retries.WithLabelValues(c.service).Inc()
}

// lost names what the watchers saw as the cause why an attempt ended.
func lost(failure *backend.Failure) *backend.Failure {
	kind := backend.Dark
	if failure.Unsent() {
		kind = backend.Unsent
	}
	return &backend.Failure{Kind: kind, Detail: "the server is gone or dark, its watchers say"}
}

// giveUp frees the seat of an attempt, and tells the table what came of it.
func (c *call) giveUp(s *seat, failure *backend.Failure, began time.Time, first time.Duration) {
	outcome := outcomeOf(failure)
	outcome.Service, outcome.FirstToken, outcome.Took = c.request.Service, first, c.front.clock.Now().Sub(began)
	c.front.router.giveUp(s, outcome)
}

// outcomeOf tells the routing table how a request ended at its server. What
// the caller or the front gave up says nothing of the server; an answer that
// breaks off or isn't this request's weighs as much as none.
func outcomeOf(failure *backend.Failure) route.Outcome {
	if failure == nil {
		return route.Outcome{Result: route.Answered}
	}
	switch failure.Kind {
	case backend.Refused:
		return route.Outcome{Result: route.Refused}
	case backend.Busy:
		return route.Outcome{Result: route.Busy}
	case backend.Unsent, backend.Dark, backend.Broken, backend.Short, backend.Crossed, backend.Amiss:
		return route.Outcome{Result: route.TimedOut}
	}
	return route.Outcome{Result: route.Inconclusive}
}

func attemptOf(server string, failure *backend.Failure, took time.Duration) *Attempt {
	a := &Attempt{Server: server, Ended: "whole", TookMS: inMS(took)}
	if failure != nil {
		a.Ended, a.Detail = string(failure.Kind), failure.Detail
	}
	return a
}
