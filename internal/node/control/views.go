package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// viewer waits for this core's part of the rule at a version.
type viewer struct {
	ctx     context.Context
	version uint64
	reply   chan *wire.LeaseViewResponse
}

// LeaseView answers a core's question whether a version is in force. With a
// wait it answers once this core's part is met, or as it stands when the wait
// is over.
func (c *Controller) LeaseView(ctx context.Context, req *wire.LeaseViewRequest) (*wire.LeaseViewResponse, error) {
	if req.About != "" {
		return ask(ctx, c, func() *wire.LeaseViewResponse {
			return c.vouched(c.ledger.MemberView(req.About, c.learned(), c.clock.Now()))
		})
	}
	if req.WaitMs > 0 {
		waiting, cancel := context.WithTimeout(ctx, min(time.Duration(req.WaitMs)*time.Millisecond, viewTimeout))
		defer cancel()
		v := &viewer{ctx: waiting, version: req.Epoch, reply: make(chan *wire.LeaseViewResponse, 1)}
		c.post(waiting, func() {
			c.viewers = append(c.viewers, v)
			c.answerViewers()
		})
		select {
		case view := <-v.reply:
			return view, nil
		case <-waiting.Done():
		}
	}
	return ask(ctx, c, func() *wire.LeaseViewResponse { return c.view(req.Epoch) })
}

func (c *Controller) view(version uint64) *wire.LeaseViewResponse {
	return c.vouched(c.ledger.View(version, c.learned(), c.clock.Now()))
}

// vouched leaves a view unsettled until the core has caught up since its start.
func (c *Controller) vouched(view *wire.LeaseViewResponse) *wire.LeaseViewResponse {
	view.Settled = view.Settled && c.opened
	return view
}

// answerViewers answers those whose version this core's part of the rule holds
// for, and forgets those that no longer wait.
func (c *Controller) answerViewers() {
	if len(c.viewers) == 0 {
		return
	}
	now, kept, whole := c.clock.Now(), c.viewers[:0], map[uint64]bool{}
	for _, v := range c.viewers {
		if v.ctx.Err() != nil {
			continue
		}
		if _, known := whole[v.version]; !known {
			whole[v.version] = c.learned() >= v.version && c.ledger.ConfirmedAt(v.version, c.state.Roster, now)
		}
		if whole[v.version] {
			v.reply <- c.view(v.version)
			continue
		}
		kept = append(kept, v)
	}
	clear(c.viewers[len(kept):])
	c.viewers = kept
}

// views asks all cores, this one included, for one round of lease views. Cores
// that don't answer in time are left out. With enough given, the cores wait for
// their part of the rule, and the round ends as soon as what came is enough.
func (c *Controller) views(ctx context.Context, req *wire.LeaseViewRequest, enough func([]*wire.LeaseViewResponse) bool) []*wire.LeaseViewResponse {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if enough != nil {
		req.WaitMs = uint32(viewWait.Milliseconds())
	}
	others := c.others()
	found := make(chan *wire.LeaseViewResponse, len(others)+1)
	go func() {
		view, err := c.LeaseView(ctx, req)
		if err != nil {
			view = nil
		}
		found <- view
	}()
	for _, p := range others {
		go func() {
			resp, err := c.peers.Client(p.Address).LeaseView(ctx, connect.NewRequest(req))
			if err != nil || resp.Msg.Core != p.Name {
				found <- nil
				return
			}
			found <- resp.Msg
		}()
	}
	var views []*wire.LeaseViewResponse
	for range len(others) + 1 {
		view := <-found
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
