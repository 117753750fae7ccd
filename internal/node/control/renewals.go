package control

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/lease"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// renewalResult is what the owner made of a renewal.
type renewalResult struct {
	resp *wire.RenewResponse
	// relayedTo is how many other cores the renewal was queued for.
	relayedTo int
	// rejected is why the core could not decide; resp is nil then.
	rejected *apierror.Error
}

// Renew renews the lease of a member that has confirmed the version this core
// learned. Until the core has caught up since its start it returns an error, which
// doesn't answer whether the member is confirmed. So it does to a member that
// restarted, while this core has accepted a value that it has not learned: that
// may be chosen, and the member's former incarnation may have served by it. A
// renewal with relay set is answered with the answers of the other cores. The
// error is an *apierror.Error, or the context's.
func (c *Controller) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewResponse, error) {
	if lease.RenewalMemberName(req) == "" {
		return nil, apierror.Errorf(apierror.MissingField, "name")
	}
	accepted, err := c.highestAccepted(ctx, req)
	if err != nil {
		return nil, err
	}
	receivedAt := c.clock.Now()
	answers := make(chan relayedAnswer, relayAnswersCapacity)
	result, err := query(ctx, c, func() renewalResult { return c.renewAndRelay(req, accepted, answers) })
	if err != nil {
		return nil, err
	}
	if result.rejected != nil {
		return nil, result.rejected
	}
	if result.relayedTo > 0 {
		result.resp.Others = c.awaitRelayedAnswers(ctx, result.relayedTo, answers)
		now := c.clock.Now()
		result.resp.TimeUs = now.UnixMicro()
		result.resp.HeldUs = nonNegativeMicroseconds(now.Sub(receivedAt))
	}
	return result.resp, nil
}

// highestAccepted returns the highest version at which this core has accepted a
// value. It matters to a member that restarted alone; zero for any other.
func (c *Controller) highestAccepted(ctx context.Context, req *wire.RenewRequest) (uint64, error) {
	if !req.Unconfirmed {
		return 0, nil
	}
	read, err := c.replica.Read(ctx, &wire.ReadRequest{Formation: c.replica.Formation()})
	if err != nil {
		return 0, err
	}
	return read.Highest, nil
}

func (c *Controller) renewAndRelay(req *wire.RenewRequest, accepted uint64, answers chan<- relayedAnswer) renewalResult {
	if apiErr := c.notReady(); apiErr != nil {
		return renewalResult{rejected: apiErr}
	}
	if accepted > c.learned() {
		return renewalResult{rejected: apierror.Errorf(apierror.NoMajority, "the ballot of epoch %d is open", accepted)}
	}
	resp := c.renew(req)
	if resp.Who {
		return renewalResult{resp: resp}
	}
	c.answerViewWaiters()
	if !req.Relay || req.Unconfirmed {
		return renewalResult{resp: resp}
	}
	return renewalResult{resp: resp, relayedTo: c.queueRelays(req, answers)}
}

// renew renews one lease and publishes the member's status if that changed.
func (c *Controller) renew(req *wire.RenewRequest) *wire.RenewResponse {
	now := c.clock.Now()
	resp := c.leases.Renew(req, c.learned(), now)
	if resp.Who {
		return resp
	}
	name := lease.RenewalMemberName(req)
	if !resp.Granted {
		c.log.Emit(events.LeaseRejected, "member", name, "code", apierror.Code(resp.Refusal), "epoch", req.Epoch, "learned", resp.Learned)
	}
	c.publishMemberStatus(name, now)
	return resp
}

// Release ends the lease of a member that shuts down. The error is the context's.
func (c *Controller) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	_, err := query(ctx, c, func() bool {
		c.leases.Release(req.Name, req.Incarnation, c.clock.Now())
		c.publishMemberStatus(req.Name, c.clock.Now())
		c.answerViewWaiters()
		c.log.Emit(events.LeaseReleased, "member", req.Name, "by", "itself")
		return true
	})
	return &wire.ReleaseResponse{}, err
}

func nonNegativeMicroseconds(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }
