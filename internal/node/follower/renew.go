package follower

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// voters returns the names that a majority is counted over: those of the
// formation, as any core tells them.
func (f *Follower) voters() []string {
	for _, p := range f.peers.Cores() {
		if len(p.Voters) > 0 {
			return p.Voters
		}
	}
	return nil
}

// hasten renews at once at the cores that have not answered since the start; it
// tells whether there is still haste.
func (f *Follower) hasten() bool {
	if !f.holder.Unconfirmed() || f.clock.Now().Sub(f.begun) >= hastenFor {
		return false
	}
	f.renewAll()
	return true
}

// renew keeps one call per core in flight; a wish to renew meanwhile is kept
// and met when the call returns.
func (f *Follower) renew(core *wire.Process) {
	call, begun := f.beginRenewal(core, 2*f.config.RenewEvery, false)
	if !begun {
		return
	}
	f.send(call, func() {
		if call.err == nil && !call.resp.Who {
			f.renewed(core, call, call.sent.Add(call.back.Sub(call.sent)/2), call.resp)
		}
		if f.takeAgain(core) {
			f.renew(core)
		}
	})
}

// renewal is one call to a core that renews the lease.
type renewal struct {
	core       *wire.Process
	own        *wire.Process // this process's record at the time
	req        *wire.RenewRequest
	resp       *wire.RenewResponse // nil where the call failed
	err        error
	sent, back time.Time
	timeout    time.Duration
}

// beginRenewal prepares a call, unless one is under way at the core or the front
// has left.
func (f *Follower) beginRenewal(core *wire.Process, timeout time.Duration, relay bool) (*renewal, bool) {
	if f.left {
		return nil, false
	}
	if f.renewing[core.Name] {
		f.again[core.Name] = true
		return nil, false
	}
	f.renewing[core.Name] = true
	own := f.config.Self()
	req := &wire.RenewRequest{Epoch: f.state.Version, Unconfirmed: f.holder.Unconfirmed(), Relay: relay}
	if lease.SameProcess(f.recorded[core.Name], own) {
		req.Name, req.Incarnation = own.Name, own.Incarnation
	} else {
		req.Self = own
	}
	return &renewal{core: core, own: own, req: req, sent: f.clock.Now(), timeout: timeout}, true
}

// send makes the call off the owner, and on the owner notes how it went before
// then.
func (f *Follower) send(call *renewal, then func()) {
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, call.timeout)
		defer cancel()
		resp, err := f.peers.Client(call.core.Address).Renew(ctx, connect.NewRequest(call.req))
		call.back, call.err = f.clock.Now(), err
		if err == nil {
			call.resp = resp.Msg
		}
		f.post(func() {
			f.note(call)
			then()
		})
	}()
}

// note keeps what a call showed of its core: whether it answers, and whether it
// holds this process's record.
func (f *Follower) note(call *renewal) {
	name := call.core.Name
	f.renewing[name] = false
	switch {
	case call.err != nil:
		f.failing[name] = true
		delete(f.recorded, name)
	case call.resp.Who:
		delete(f.recorded, name)
		f.again[name] = true
	default:
		delete(f.failing, name)
		f.recorded[name] = call.own
	}
}

// takeAgain tells whether the lease is to be renewed at a core once more at once.
func (f *Follower) takeAgain(core *wire.Process) bool {
	again := f.again[core.Name]
	f.again[core.Name] = false
	return again
}

// renewed takes a core's answer to a call, which the core gave at the instant
// answered by this process's clock.
func (f *Follower) renewed(core *wire.Process, call *renewal, answered time.Time, resp *wire.RenewResponse) {
	f.offsets[core.Name] = time.UnixMicro(resp.TimeUs).Sub(answered)
	f.setOffset()
	f.behind[core.Name] = resp.Learned
	if f.held && resp.Learned > f.state.Version || !f.held && call.back.Sub(f.begun) >= startByFeed {
		f.fetch(core.Address)
	}
	wasUnconfirmed := f.holder.Unconfirmed()
	if resp.Granted {
		f.holder.RecordGrant(core.Name, call.sent, call.req.Epoch, resp.Learned)
	} else if call.req.Unconfirmed {
		f.holder.RecordDenial(core.Name, resp.Learned)
	}
	if wasUnconfirmed && !f.holder.Unconfirmed() {
		for _, p := range f.peers.Cores() {
			f.renew(p)
		}
	}
	f.judge()
}
