package gateway

import (
	"context"
	"time"

	"stepwick/internal/apierror"
)

const (
	// startupGrace is how long a request may wait at a node that has just started
	// until it has a lease and a configuration, which takes some tenths of a second.
	startupGrace          = 400 * time.Millisecond
	startupPollInterval   = 10 * time.Millisecond
	noAuthorityRetryAfter = 200 * time.Millisecond
)

// checkAuthority returns nil when this node may decide on requests now: it holds a
// valid lease and has a configuration.
func (g *Gateway) checkAuthority() *apierror.Error {
	if !g.views.HasAuthority() {
		return apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(noAuthorityRetryAfter)
	}
	if g.views.View().State.Sheet == nil {
		return apierror.Errorf(apierror.NoSheet, "").WithRetryAfter(noAuthorityRetryAfter)
	}
	return nil
}

// awaitAuthority checks the node's authority. A node that has had none since its
// start waits for it for startupGrace; one that has lost it fails at once, since it
// may take long to regain it.
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
