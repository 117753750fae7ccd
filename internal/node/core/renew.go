package core

import (
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/wire"
)

// Renew renews the lease of a member that has confirmed what this core learned. Until the
// core has caught up since its start it answers a fault, which is no answer to
// whether the member is confirmed. So it does to a member that restarted, while
// this core has accepted a value that it has not learned: it may be chosen, and
// the member's former life may have ruled by it.
func (c *Core) Renew(ctx kernel.Context, req *wire.RenewRequest) (*wire.RenewResponse, error) {
	name := req.Name
	if req.Self != nil {
		name = req.Self.Name
	}
	if name == "" {
		return nil, kernel.Refuse(kernel.MissingField, "name")
	}
	type answer struct {
		resp  *wire.RenewResponse
		fault *kernel.Fault
	}
	accepted := uint64(0)
	if req.Unconfirmed {
		read, err := c.agreement.Read(ctx, &wire.ReadRequest{Formation: c.agreement.Formation()})
		if err != nil {
			return nil, err
		}
		accepted = read.Highest
	}
	got, err := ask(ctx, c, func() answer {
		if fault := c.closedFault(); fault != nil {
			return answer{fault: fault}
		}
		if accepted > c.learned() {
			return answer{fault: kernel.Refuse(kernel.NoMajority, "the ballot of epoch %d is open", accepted)}
		}
		resp := c.ledger.Renew(req, c.learned(), c.clock.Now())
		if resp.Who {
			return answer{resp: resp}
		}
		if !resp.Granted {
			c.log.Emit(events.LeaseRefused, "member", name, "code", kernel.Code(resp.Refusal), "epoch", req.Epoch, "learned", resp.Learned)
		}
		c.look(name, c.clock.Now())
		c.answerViewers()
		return answer{resp: resp}
	})
	if err != nil {
		return nil, err
	}
	if got.fault != nil {
		return nil, got.fault
	}
	return got.resp, nil
}

// Release ends the lease of a member that stops of itself.
func (c *Core) Release(ctx kernel.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	_, err := ask(ctx, c, func() bool {
		c.ledger.Release(req.Name, req.Incarnation, c.clock.Now())
		c.look(req.Name, c.clock.Now())
		c.answerViewers()
		c.log.Emit(events.LeaseReleased, "member", req.Name, "by", "itself")
		return true
	})
	return &wire.ReleaseResponse{}, err
}
