package front

import (
	"context"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/route"
	"stepwick/internal/events"
)

// acquireServer requests a server for the call's next attempt and waits for it
// until the context ends. On success the caller must release the assignment. On
// an error none was acquired, and nothing has been sent.
func (c *call) acquireServer(ctx context.Context) (*assignment, route.Choice, *apierror.Error) {
	requestedAt := c.front.clock.Now()
	requested, apiErr := c.front.router.request(c.request)
	if apiErr != nil {
		return nil, route.Choice{}, apiErr
	}
	var choice route.Choice
	select {
	case choice = <-requested.choice:
	case <-ctx.Done():
		choice.Err = c.contextError(ctx, "the deadline passed while the request was queued")
	}
	c.record(Entry{Routing: routingRecord(choice, c.front.clock.Now().Sub(requestedAt))})
	if choice.Err != nil && choice.Err.Code == apierror.BudgetSpent {
		c.front.log.Emit(events.RetryBudgetExhausted, "request", c.id, "service", c.service, "tried", len(c.request.TriedServers))
	}
	if choice.Err == nil {
		// Authority or the API key may have been lost while the request waited.
		choice.Err = c.checkSend()
	}
	if choice.Err != nil {
		c.front.router.release(requested, route.Outcome{Result: route.Inconclusive})
		return nil, choice, choice.Err
	}
	return requested, choice, nil
}

// checkSend returns nil if the request may be sent to a server now. Unlike a
// running call it has no grace period after the loss of authority.
func (c *call) checkSend() *apierror.Error {
	if !c.front.views.HasAuthority() {
		return apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(defaultRetryAfter)
	}
	return c.front.calls.checkRunning(&c.runningCall)
}

// contextError returns why the call's context has ended: the registry cancelled
// the call, the deadline passed (with the given detail), or the caller closed the
// connection.
func (c *call) contextError(ctx context.Context, deadlineDetail string) *apierror.Error {
	switch {
	case c.rejection.Load() != nil:
		return c.rejection.Load()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return apierror.Errorf(apierror.DeadlinePassed, "%s", deadlineDetail).WithRetryAfter(shortRetryAfter)
	}
	return apierror.Errorf(apierror.CallerGone, "the caller closed the connection")
}
