package control

import (
	"context"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/lease"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// Renew renews the lease of a member that has confirmed what this core learned. Until the
// core has caught up since its start it answers a fault, which is no answer to
// whether the member is confirmed. So it does to a member that restarted, while
// this core has accepted a value that it has not learned: it may be chosen, and
// the member's former life may have ruled by it. A renewal with relay set is
// answered with what the other cores say to it.
func (c *Controller) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewResponse, error) {
	if lease.RenewedMember(req) == "" {
		return nil, apierror.Errorf(apierror.MissingField, "name")
	}
	type answer struct {
		resp   *wire.RenewResponse
		asked  int // other cores that are to answer as well
		apiErr *apierror.Error
	}
	accepted := uint64(0)
	if req.Unconfirmed {
		read, err := c.agreement.Read(ctx, &wire.ReadRequest{Formation: c.agreement.Formation()})
		if err != nil {
			return nil, err
		}
		accepted = read.Highest
	}
	came, answers := c.clock.Now(), make(chan relayedAnswer, relayAnswers)
	got, err := ask(ctx, c, func() answer {
		if apiErr := c.closedFault(); apiErr != nil {
			return answer{apiErr: apiErr}
		}
		if accepted > c.learned() {
			return answer{apiErr: apierror.Errorf(apierror.NoMajority, "the ballot of epoch %d is open", accepted)}
		}
		resp := c.renew(req)
		if resp.Who {
			return answer{resp: resp}
		}
		c.answerViewers()
		if !req.Relay || req.Unconfirmed {
			return answer{resp: resp}
		}
		return answer{resp: resp, asked: c.relay(req, answers)}
	})
	if err != nil {
		return nil, err
	}
	if got.apiErr != nil {
		return nil, got.apiErr
	}
	if got.asked > 0 {
		got.resp.Others = c.awaitRelayed(ctx, got.asked, answers)
		now := c.clock.Now()
		got.resp.TimeUs, got.resp.HeldUs = now.UnixMicro(), uint64(max(now.Sub(came), 0).Microseconds())
	}
	return got.resp, nil
}

// relayAnswers is more than the other cores that there may be.
const relayAnswers = 64

// renew renews one lease at the owner and feeds what is new about the member.
func (c *Controller) renew(req *wire.RenewRequest) *wire.RenewResponse {
	now := c.clock.Now()
	resp := c.ledger.Renew(req, c.learned(), now)
	if resp.Who {
		return resp
	}
	name := lease.RenewedMember(req)
	if !resp.Granted {
		c.log.Emit(events.LeaseRefused, "member", name, "code", apierror.Code(resp.Refusal), "epoch", req.Epoch, "learned", resp.Learned)
	}
	c.look(name, now)
	return resp
}

// Release ends the lease of a member that stops of itself.
func (c *Controller) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	_, err := ask(ctx, c, func() bool {
		c.ledger.Release(req.Name, req.Incarnation, c.clock.Now())
		c.look(req.Name, c.clock.Now())
		c.answerViewers()
		c.log.Emit(events.LeaseReleased, "member", req.Name, "by", "itself")
		return true
	})
	return &wire.ReleaseResponse{}, err
}
