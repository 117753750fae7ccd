package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

const (
	// viewTimeout bounds a round of lease views.
	viewTimeout = 400 * time.Millisecond
	// viewWaitMax is the longest time that a core waits for its part of a check to
	// be met before it answers with its current view.
	viewWaitMax = 250 * time.Millisecond
)

// viewWaiter is a request that waits until this core's part of the check of a
// version is met.
type viewWaiter struct {
	ctx     context.Context
	version uint64
	reply   chan *wire.LeaseViewResponse
}

// LeaseView returns this core's view of the leases: of one member's lease if the
// request names a member, otherwise of all leases, for the check of whether a
// version is confirmed. If wait_ms is set, it waits until this core's part of the
// check is met or the time has passed. The error is the context's.
func (c *Controller) LeaseView(ctx context.Context, req *wire.LeaseViewRequest) (*wire.LeaseViewResponse, error) {
	if req.About != "" {
		return callOwner(ctx, c, func() *wire.LeaseViewResponse {
			return c.completeView(c.leases.MemberView(req.About, c.learnedVersion(), c.clock.Now()))
		})
	}
	if req.WaitMs > 0 {
		wait := min(time.Duration(req.WaitMs)*time.Millisecond, viewTimeout)
		if view := c.awaitConfirmedView(ctx, req.Epoch, wait); view != nil {
			return view, nil
		}
	}
	return callOwner(ctx, c, func() *wire.LeaseViewResponse { return c.leaseView(req.Epoch) })
}

// awaitConfirmedView returns the view once this core's part of the check is met, or
// nil if that takes longer than wait.
func (c *Controller) awaitConfirmedView(ctx context.Context, version uint64, wait time.Duration) *wire.LeaseViewResponse {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	waiter := &viewWaiter{ctx: waitCtx, version: version, reply: make(chan *wire.LeaseViewResponse, 1)}
	c.post(waitCtx, func() {
		c.viewWaiters = append(c.viewWaiters, waiter)
		c.answerViewWaiters()
	})
	select {
	case view := <-waiter.reply:
		return view
	case <-waitCtx.Done():
		return nil
	}
}

func (c *Controller) leaseView(version uint64) *wire.LeaseViewResponse {
	return c.completeView(c.leases.View(version, c.learnedVersion(), c.clock.Now()))
}

// completeView adds what the table of leases does not know: the disk incarnations of the
// cores, and that the startup grace is over (Settled) only once this core has caught up
// since its start.
func (c *Controller) completeView(view *wire.LeaseViewResponse) *wire.LeaseViewResponse {
	view.Settled = view.Settled && c.caughtUp
	view.DiskLife, view.Replaced = c.replica.Incarnation(), c.replica.ReplacedIncarnations()
	return view
}

// answerViewWaiters answers the waiters whose version is confirmed at this core, and
// drops those whose context has ended.
func (c *Controller) answerViewWaiters() {
	if len(c.viewWaiters) == 0 {
		return
	}
	now := c.clock.Now()
	remaining := c.viewWaiters[:0]
	confirmed := map[uint64]bool{}
	for _, waiter := range c.viewWaiters {
		if waiter.ctx.Err() != nil {
			continue
		}
		if _, evaluated := confirmed[waiter.version]; !evaluated {
			confirmed[waiter.version] = c.isConfirmedLocally(waiter.version, now)
		}
		if confirmed[waiter.version] {
			waiter.reply <- c.leaseView(waiter.version)
			continue
		}
		remaining = append(remaining, waiter)
	}
	clear(c.viewWaiters[len(remaining):])
	c.viewWaiters = remaining
}

// isConfirmedLocally reports whether this core's part of the check of a version is met.
func (c *Controller) isConfirmedLocally(version uint64, now time.Time) bool {
	return c.learnedVersion() >= version && c.leases.ConfirmsVersion(version, c.state.Roster, now)
}

// collectViews requests one round of lease views from all cores, including this
// one. It omits cores that don't answer in time. If sufficient is not nil, each core
// delays its answer until its part of the check is met, and the round ends as soon
// as a majority has answered and sufficient returns true for their views.
func (c *Controller) collectViews(ctx context.Context, req *wire.LeaseViewRequest, sufficient func([]*wire.LeaseViewResponse) bool) []*wire.LeaseViewResponse {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if sufficient != nil {
		req.WaitMs = uint32(viewWaitMax.Milliseconds())
	}
	others := c.otherCores()
	// There is room for all answers, so that the goroutines of late answers end.
	answers := make(chan *wire.LeaseViewResponse, len(others)+1)
	go func() {
		view, err := c.LeaseView(ctx, req)
		if err != nil {
			view = nil
		}
		answers <- view
	}()
	for _, core := range others {
		go func() { answers <- c.requestView(ctx, core, req) }()
	}
	var views []*wire.LeaseViewResponse
	for range len(others) + 1 {
		view := <-answers
		if view == nil {
			continue
		}
		views = append(views, view)
		if sufficient != nil && len(views) >= lease.Majority(len(others)+1) && sufficient(views) {
			break
		}
	}
	return views
}

// requestView returns another core's view, or nil if the call failed or another
// process answered at the core's address.
func (c *Controller) requestView(ctx context.Context, core *wire.Process, req *wire.LeaseViewRequest) *wire.LeaseViewResponse {
	resp, err := c.peers.Client(core.Address).LeaseView(ctx, connect.NewRequest(req))
	if err != nil || resp.Msg.Core != core.Name {
		return nil
	}
	return resp.Msg
}
