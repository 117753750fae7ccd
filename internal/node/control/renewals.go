package control

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/lease"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// renewalResult is the owner's result of a renewal.
type renewalResult struct {
	resp *wire.RenewResponse
	// relayedTo is the number of other cores for which the renewal was queued.
	relayedTo int
	// rejected is why this core could not decide; resp is nil if it is set.
	rejected *apierror.Error
}

// Renew renews the lease of a member that has confirmed the version that this core
// has learned. It returns an error, which neither grants nor refuses the lease, until
// the core has caught up since its start. It does the same for a member that has
// restarted, while this core has accepted a value that it has not learned: the value
// may have been chosen, and the member's former incarnation may have served with it.
// If relay is set, the response includes the answers of the other cores. The error is
// an *apierror.Error or the context's.
func (c *Controller) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewResponse, error) {
	if lease.RenewalMemberName(req) == "" {
		return nil, apierror.Errorf(apierror.MissingField, "name: the member whose lease is to be renewed")
	}
	accepted, err := c.highestAccepted(ctx, req)
	if err != nil {
		return nil, err
	}
	receivedAt := c.clock.Now()
	answers := make(chan relayedAnswer, relayAnswersCapacity)
	result, err := callOwner(ctx, c, func() renewalResult { return c.renewAndRelay(req, accepted, answers) })
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
// value. It returns zero unless the member is unconfirmed, that is, has restarted:
// the result matters only then.
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
	if accepted > c.learnedVersion() {
		return renewalResult{rejected: apierror.Errorf(apierror.NoMajority, "the core has accepted a value at epoch %d but learned only up to epoch %d", accepted, c.learnedVersion())}
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

// renew renews one lease and publishes the member's status if it has changed.
func (c *Controller) renew(req *wire.RenewRequest) *wire.RenewResponse {
	now := c.clock.Now()
	resp := c.leases.Renew(req, c.learnedVersion(), now)
	if resp.Who {
		return resp
	}
	resp.DiskLife, resp.Replaced = c.replica.Incarnation(), c.replica.ReplacedIncarnations()
	name := lease.RenewalMemberName(req)
	if !resp.Granted {
		c.log.Emit(events.LeaseRejected, "member", name, "code", apierror.Code(resp.Refusal), "epoch", req.Epoch, "learned", resp.Learned)
	}
	c.publishMemberStatus(name, now)
	return resp
}

// Release ends the lease of a member that shuts down. The error is the context's.
func (c *Controller) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	_, err := callOwner(ctx, c, func() bool {
		c.leases.Release(req.Name, req.Incarnation, c.clock.Now())
		c.publishMemberStatus(req.Name, c.clock.Now())
		c.answerViewWaiters()
		c.log.Emit(events.LeaseReleased, "member", req.Name, "by", "itself")
		return true
	})
	return &wire.ReleaseResponse{}, err
}

func nonNegativeMicroseconds(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }
