package control

import (
	"context"
	"time"

	"stepwick/internal/wire"
)

// Follow returns the changes after an offset of the feed. If they are no longer
// retained, or the offset belongs to another feed, it returns a snapshot. If there
// is no change it waits for one, at most for wait_ms, and then returns an empty
// response. The error is the context's.
func (c *Controller) Follow(ctx context.Context, req *wire.FollowRequest) (*wire.FollowResponse, error) {
	wait := max(min(time.Duration(req.WaitMs)*time.Millisecond, c.config.FeedWaitMax), tickInterval)
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := make(chan *feedAnswer, 1)
	posted := c.post(ctx, func() {
		if answer := c.answerTo(req); answer != nil {
			reply <- answer
			return
		}
		c.feed.waiters = append(c.feed.waiters, &feedWaiter{ctx: waitCtx, req: req, reply: reply})
	})
	if !posted {
		return nil, ctx.Err()
	}
	select {
	case answer := <-reply:
		if answer.awaitState != nil {
			answer.resp.Snapshot.State = answer.awaitState()
		}
		return answer.resp, nil
	case <-waitCtx.Done():
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return &wire.FollowResponse{Feed: req.Feed, Place: req.Place, Learned: c.replica.Current().Version}, nil
	}
}

// answerTo returns the answer to a request, or nil if there is no change to return.
func (c *Controller) answerTo(req *wire.FollowRequest) *feedAnswer {
	resp, ok := c.feed.read(req)
	if !ok {
		return c.snapshotAnswer(req)
	}
	if len(resp.Changes) == 0 {
		return nil
	}
	resp.Learned = c.state.Version
	return &feedAnswer{resp: resp}
}

// snapshotAnswer returns a snapshot. It includes the state only if the follower's is
// older.
func (c *Controller) snapshotAnswer(req *wire.FollowRequest) *feedAnswer {
	state := c.state
	answer := &feedAnswer{resp: &wire.FollowResponse{
		Feed:    c.feed.id(),
		Place:   c.feed.changes.LastSequence(),
		Learned: state.Version,
		Snapshot: &wire.Snapshot{
			Epoch:   state.Version,
			Plan:    c.planner.current,
			Reports: c.reports.snapshot(),
			Sights:  c.statuses.tracker.Published(),
		},
	}}
	if state.Version > 0 && req.Epoch < state.Version {
		answer.awaitState = c.feed.startEncoding(state)
	}
	return answer
}

// answerFeedWaiters answers the waiting followers that have changes to receive, and
// drops those whose context has ended.
func (c *Controller) answerFeedWaiters() {
	c.feed.hasUndelivered = false
	c.feed.retainWaiters(func(waiter *feedWaiter) bool {
		if waiter.ctx.Err() != nil {
			return false
		}
		answer := c.answerTo(waiter.req)
		if answer == nil {
			return true
		}
		waiter.reply <- answer
		return false
	})
}
