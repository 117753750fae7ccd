package gateway

import (
	"context"
	"time"

	"stepwick/internal/apierror"
)

const (
	// startupGrace is how long a request may wait for a node that has just started to
	// obtain a lease and a configuration, which takes a few tenths of a second.
	startupGrace          = 400 * time.Millisecond
	startupPollInterval   = 10 * time.Millisecond
	noAuthorityRetryAfter = 200 * time.Millisecond
)

// checkAuthority returns nil if this node may serve requests now: it has authority over
// its view (Views.HasAuthority) and a configuration.
func (g *Gateway) checkAuthority() *apierror.Error {
	if !g.views.HasAuthority() {
		return apierror.Errorf(apierror.NoAuthority, "the node has no valid lease; send the request to another node").WithRetryAfter(noAuthorityRetryAfter)
	}
	if g.views.View().State.Sheet == nil {
		return apierror.Errorf(apierror.NoSheet, "").WithRetryAfter(noAuthorityRetryAfter)
	}
	return nil
}

// awaitAuthority checks the node's authority. If the node has had none since its start,
// it waits for up to startupGrace. If the node has lost its authority, it returns the
// error immediately, since regaining it may take long.
func (g *Gateway) awaitAuthority(ctx context.Context) *apierror.Error {
	apiErr := g.checkAuthority()
	if apiErr == nil {
		g.hadAuthority.Store(true)
		return nil
	}
	if g.hadAuthority.Load() {
		return apiErr
	}
	expired := g.clock.After(startupGrace)
	for apiErr != nil {
		poll := g.clock.After(startupPollInterval)
		select {
		case <-poll:
			apiErr = g.checkAuthority()
		case <-expired:
			return apiErr
		case <-ctx.Done():
			return apiErr
		}
	}
	g.hadAuthority.Store(true)
	return nil
}
