package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// In a large fleet a front renews its lease at one core near it, which has the
// other cores renew it too: each of them gets the renewals of many fronts in one
// message. A lease still counts from when the front's own request left, so that
// what a relay takes is lost to the front, never won.
const (
	// relayEvery is how long renewals are gathered for the other cores.
	relayEvery = 100 * time.Millisecond
	// relayWait is how long a relayed renewal waits for the others' answers.
	relayWait = 350 * time.Millisecond
	// relayBound is how many renewals wait for one core, and how many a batch
	// may hold.
	relayBound = 4096
)

// relayed is a renewal that waits for another core.
type relayed struct {
	renewal *wire.RenewRequest
	again   bool // sent a second time, with the member's record
	answers chan<- relayedAnswer
}

// relayedAnswer is what another core said; resp is nil where it said nothing.
type relayedAnswer struct {
	resp *wire.RenewResponse
	// ahead is by how much the core's clock is ahead of this one's.
	ahead time.Duration
}

// relay queues a renewal for the other cores and returns how many are to answer.
func (c *Controller) relay(renewal *wire.RenewRequest, answers chan<- relayedAnswer) (asked int) {
	passed := &wire.RenewRequest{Self: renewal.Self, Epoch: renewal.Epoch, Name: renewal.Name, Incarnation: renewal.Incarnation}
	for _, p := range c.others() {
		if len(c.relays[p.Name]) >= relayBound {
			continue
		}
		c.relays[p.Name] = append(c.relays[p.Name], relayed{renewal: passed, answers: answers})
		asked++
	}
	return asked
}

// flushRelays sends each other core the renewals that wait for it. Batches may be
// under way at once, as the way between regions may take longer than relayEvery;
// relayWait bounds how many.
func (c *Controller) flushRelays(now time.Time) {
	if now.Sub(c.lastRelay) < relayEvery {
		return
	}
	c.lastRelay = now
	for _, p := range c.others() {
		c.flushRelay(p)
	}
	c.dropRelays()
}

// dropRelays gives up what waits for cores that are not known any more: it must
// not reach one that comes back when its members may have left.
func (c *Controller) dropRelays() {
	for _, batch := range c.relays {
		for _, one := range batch {
			one.answers <- relayedAnswer{}
		}
	}
	clear(c.relays)
}

func (c *Controller) flushRelay(p *wire.Process) {
	batch := c.relays[p.Name]
	if len(batch) == 0 {
		return
	}
	c.relays[p.Name] = nil
	req := &wire.RenewBatchRequest{}
	for _, one := range batch {
		req.Renewals = append(req.Renewals, one.renewal)
	}
	parent, sent := c.ctx, c.clock.Now()
	go func() {
		ctx, cancel := context.WithTimeout(parent, relayWait)
		defer cancel()
		resp, err := c.peers.Client(p.Address).RenewBatch(ctx, connect.NewRequest(req))
		back := c.clock.Now()
		c.post(parent, func() {
			if err != nil || len(resp.Msg.Answers) != len(batch) {
				for _, one := range batch {
					one.answers <- relayedAnswer{}
				}
				return
			}
			c.takeRelayed(p, batch, resp.Msg.Answers, sent.Add(back.Sub(sent)/2))
		})
	}()
}

// takeRelayed hands on what a core answered, as of the middle of the call. A
// member of which it holds no record is told to it at once.
func (c *Controller) takeRelayed(p *wire.Process, batch []relayed, answers []*wire.RenewResponse, middle time.Time) {
	told := false
	for i, one := range batch {
		answer := answers[i]
		if !answer.Who {
			one.answers <- relayedAnswer{resp: answer, ahead: time.UnixMicro(answer.TimeUs).Sub(middle)}
			continue
		}
		record := c.ledger.ProcessRecord(one.renewal.Name, one.renewal.Incarnation)
		if one.again || record == nil {
			one.answers <- relayedAnswer{}
			continue
		}
		whole := &wire.RenewRequest{Self: record, Epoch: one.renewal.Epoch}
		c.relays[p.Name] = append(c.relays[p.Name], relayed{renewal: whole, again: true, answers: one.answers})
		told = true
	}
	if told {
		c.flushRelay(p)
	}
}

// awaitRelayed waits for the answers of the other cores to a relayed renewal, and
// returns those that came with their clocks as of now.
func (c *Controller) awaitRelayed(ctx context.Context, asked int, answers <-chan relayedAnswer) []*wire.RenewResponse {
	over, stop := clock.NewTimer(relayWait)
	defer stop()
	var came []relayedAnswer
	for range asked {
		select {
		case answer := <-answers:
			if answer.resp != nil {
				came = append(came, answer)
			}
			continue
		case <-over:
		case <-ctx.Done():
		}
		break
	}
	now := c.clock.Now()
	var others []*wire.RenewResponse
	for _, answer := range came {
		answer.resp.TimeUs = now.Add(answer.ahead).UnixMicro()
		others = append(others, answer.resp)
	}
	return others
}

// RenewBatch renews the leases of members that renewed at another core.
func (c *Controller) RenewBatch(ctx context.Context, req *wire.RenewBatchRequest) (*wire.RenewBatchResponse, error) {
	if len(req.Renewals) > relayBound {
		return nil, apierror.Errorf(apierror.BadField, "a batch of %d renewals, at most %d", len(req.Renewals), relayBound)
	}
	for _, renewal := range req.Renewals {
		if renewal.Unconfirmed || lease.RenewedMember(renewal) == "" {
			return nil, apierror.Errorf(apierror.BadField, "a batch holds renewals of members that are confirmed, by name")
		}
	}
	type outcome struct {
		resp   *wire.RenewBatchResponse
		apiErr *apierror.Error
	}
	got, err := ask(ctx, c, func() outcome {
		if apiErr := c.closedFault(); apiErr != nil {
			return outcome{apiErr: apiErr}
		}
		resp := &wire.RenewBatchResponse{}
		for _, renewal := range req.Renewals {
			resp.Answers = append(resp.Answers, c.renew(renewal))
		}
		c.answerViewers()
		return outcome{resp: resp}
	})
	if err != nil {
		return nil, err
	}
	if got.apiErr != nil {
		return nil, got.apiErr
	}
	return got.resp, nil
}
