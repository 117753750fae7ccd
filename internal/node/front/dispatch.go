package front

import (
	"context"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/route"
	"stepwick/internal/events"
)

// acquireServer requests a server for the next attempt of the call and waits until
// one is assigned or the context ends. On success the caller must release the
// assignment. On an error no server is assigned and nothing was sent.
func (c *call) acquireServer(ctx context.Context) (*assignment, route.Choice, *apierror.Error) {
	requestedAt := c.front.clock.Now()
	assigned, apiErr := c.front.router.submit(c.request)
	if apiErr != nil {
		return nil, route.Choice{}, apiErr
	}
	var choice route.Choice
	select {
	case choice = <-assigned.choice:
	case <-ctx.Done():
		choice.Err = c.contextError(ctx, "the deadline passed while the request was queued")
	}
	c.record(JournalEntry{Routing: routingRecord(choice, c.front.clock.Now().Sub(requestedAt))})
	if choice.Err != nil && choice.Err.Code == apierror.RetryBudgetExhausted {
		c.front.log.Emit(events.RetryBudgetExhausted, "request", c.id, "service", c.service, "tried", len(c.request.TriedServers))
	}
	if choice.Err == nil {
		// The node may have lost its authority, or the API key may have been revoked,
		// while the request was queued.
		choice.Err = c.checkSend()
	}
	if choice.Err != nil {
		c.front.router.release(assigned, route.Outcome{Result: route.Inconclusive})
		return nil, choice, choice.Err
	}
	return assigned, choice, nil
}

// checkSend returns nil if the request may be sent to a server, otherwise the
// reason. There is no grace period after a loss of authority, unlike for calls that
// are already running at a server.
func (c *call) checkSend() *apierror.Error {
	if !c.front.views.HasAuthority() {
		return apierror.Errorf(apierror.NoAuthority, "the node has no authority to serve requests; retry at another node").WithRetryAfter(defaultRetryAfter)
	}
	return c.front.calls.checkRunning(&c.runningCall)
}

// contextError returns the error for a context that has ended: the reason for which
// the registry cancelled the call, DeadlinePassed with the given detail, or
// CallerGone if the caller closed the connection.
func (c *call) contextError(ctx context.Context, deadlineDetail string) *apierror.Error {
	switch {
	case c.rejection.Load() != nil:
		return c.rejection.Load()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return apierror.Errorf(apierror.DeadlineExceeded, "%s", deadlineDetail).WithRetryAfter(shortRetryAfter)
	}
	return apierror.Errorf(apierror.CallerDisconnected, "the caller closed the connection")
}
