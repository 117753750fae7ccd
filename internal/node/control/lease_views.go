package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

const (
	// viewTimeout bounds one round of lease views.
	viewTimeout = 400 * time.Millisecond
	// viewWait is how long a core may wait until its part of a check is met before
	// it answers with what it has.
	viewWait = 250 * time.Millisecond
)

// viewWaiter waits until this core's part of the check of a version is met.
type viewWaiter struct {
	ctx     context.Context
	version uint64
	reply   chan *wire.LeaseViewResponse
}

// LeaseView returns this core's view of the leases: of one member, or for the
// check whether a version is confirmed. With a wait it returns once this core's
// part of the check is met, or what there is when the wait is over. The error is
// the context's.
func (c *Controller) LeaseView(ctx context.Context, req *wire.LeaseViewRequest) (*wire.LeaseViewResponse, error) {
	if req.About != "" {
		return query(ctx, c, func() *wire.LeaseViewResponse {
			return c.unsettledUntilCaughtUp(c.leases.MemberView(req.About, c.learned(), c.clock.Now()))
		})
	}
	if req.WaitMs > 0 {
		wait := min(time.Duration(req.WaitMs)*time.Millisecond, viewTimeout)
		if view := c.awaitConfirmedView(ctx, req.Epoch, wait); view != nil {
			return view, nil
		}
	}
	return query(ctx, c, func() *wire.LeaseViewResponse { return c.leaseView(req.Epoch) })
}

// awaitConfirmedView returns the view once this core's part of the check is met,
// nil if it isn't in time.
func (c *Controller) awaitConfirmedView(ctx context.Context, version uint64, wait time.Duration) *wire.LeaseViewResponse {
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	waiter := &viewWaiter{ctx: waiting, version: version, reply: make(chan *wire.LeaseViewResponse, 1)}
	c.post(waiting, func() {
		c.viewWaiters = append(c.viewWaiters, waiter)
		c.answerViewWaiters()
	})
	select {
	case view := <-waiter.reply:
		return view
	case <-waiting.Done():
		return nil
	}
}

func (c *Controller) leaseView(version uint64) *wire.LeaseViewResponse {
	return c.unsettledUntilCaughtUp(c.leases.View(version, c.learned(), c.clock.Now()))
}

// unsettledUntilCaughtUp marks a view as not settled until the core has caught up
// since its start.
func (c *Controller) unsettledUntilCaughtUp(view *wire.LeaseViewResponse) *wire.LeaseViewResponse {
	view.Settled = view.Settled && c.caughtUp
	return view
}

// answerViewWaiters answers those whose version is confirmed here, and drops those
// that no longer wait.
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
		if _, known := confirmed[waiter.version]; !known {
			confirmed[waiter.version] = c.confirmedHere(waiter.version, now)
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

func (c *Controller) confirmedHere(version uint64, now time.Time) bool {
	return c.learned() >= version && c.leases.ConfirmsVersion(version, c.state.Roster, now)
}

// collectViews requests one round of lease views from all cores, this one
// included. Cores that don't answer in time are left out. With enough given, the
// cores wait until their part of the check is met, and the round ends as soon as
// enough accepts what arrived from a majority.
func (c *Controller) collectViews(ctx context.Context, req *wire.LeaseViewRequest, enough func([]*wire.LeaseViewResponse) bool) []*wire.LeaseViewResponse {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if enough != nil {
		req.WaitMs = uint32(viewWait.Milliseconds())
	}
	others := c.otherCores()
	// The capacity lets late answers end their goroutines.
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
		if enough != nil && len(views) >= lease.Majority(len(others)+1) && enough(views) {
			break
		}
	}
	return views
}

// requestView returns another core's view, nil if it did not answer or another
// process has its address.
func (c *Controller) requestView(ctx context.Context, core *wire.Process, req *wire.LeaseViewRequest) *wire.LeaseViewResponse {
	resp, err := c.peers.Client(core.Address).LeaseView(ctx, connect.NewRequest(req))
	if err != nil || resp.Msg.Core != core.Name {
		return nil
	}
	return resp.Msg
}
