package follower

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

const (
	// initialRenewInterval is the time between renewals of a process that no majority
	// has confirmed yet: after a start it has no authority until then.
	initialRenewInterval = 50 * time.Millisecond
	// initialRenewPeriod is how long after a start renewals go at that pace.
	initialRenewPeriod = 5 * time.Second
)

// renewals is the state of the renewals at each core.
type renewals struct {
	cores map[string]*coreRenewal
	// directUntil is until when renewals go to every core instead of through a
	// relay.
	directUntil time.Time
}

// coreRenewal is the state of the renewals at one core.
type coreRenewal struct {
	inFlight   bool
	renewAgain bool // to be renewed once more when the call in flight ends
	failing    bool // the last call failed
	answered   bool // the core answered a renewal, directly or through a relay
	// recorded is this process's own record as the core last acknowledged it, nil
	// where the core may not have it.
	recorded *wire.Process
}

// core returns the state of the renewals at a core, for a change.
func (r *renewals) core(name string) *coreRenewal {
	core := r.cores[name]
	if core == nil {
		core = &coreRenewal{}
		r.cores[name] = core
	}
	return core
}

// isFailing reports whether the last call to a core failed.
func (r *renewals) isFailing(name string) bool {
	core := r.cores[name]
	return core != nil && core.failing
}

// hasAnswered reports whether a core has ever answered a renewal.
func (r *renewals) hasAnswered(name string) bool {
	core := r.cores[name]
	return core != nil && core.answered
}

// takeRenewAgain reports whether the lease is to be renewed at a core once more at
// once, and resets that.
func (r *renewals) takeRenewAgain(name string) bool {
	core := r.core(name)
	again := core.renewAgain
	core.renewAgain = false
	return again
}

// complete takes what a call showed of its core: whether it answers, and whether it
// has this process's record.
func (r *renewals) complete(call *renewalCall) {
	core := r.core(call.core.Name)
	core.inFlight = false
	switch {
	case call.err != nil:
		core.failing = true
		core.recorded = nil
	case call.resp.Who:
		core.recorded = nil
		core.renewAgain = true
	default:
		core.failing = false
		core.recorded = call.self
	}
}

// renewalCall is one call to a core that renews the lease.
type renewalCall struct {
	core       *wire.Process
	self       *wire.Process // this process's record at the time
	req        *wire.RenewRequest
	resp       *wire.RenewResponse // nil where the call failed
	err        error
	sentAt     time.Time
	returnedAt time.Time
	timeout    time.Duration
}

// roundTrip returns how long the call took.
func (c *renewalCall) roundTrip() time.Duration { return c.returnedAt.Sub(c.sentAt) }

// voters returns the names of the cores over which a majority is counted, as any
// core reports them.
func (f *Follower) voters() []string {
	for _, core := range f.peers.Cores() {
		if len(core.Voters) > 0 {
			return core.Voters
		}
	}
	return nil
}

// renewUnconfirmed renews the lease of a process that no majority has confirmed
// since its start. It reports whether the process is still to renew at this pace.
func (f *Follower) renewUnconfirmed() bool {
	if !f.holder.Unconfirmed() || f.clock.Now().Sub(f.startedAt) >= initialRenewPeriod {
		return false
	}
	f.renewAll()
	return true
}

// renew renews the lease at one core. While a call to it is in flight, the next one
// waits for its end.
func (f *Follower) renew(core *wire.Process) {
	call, begun := f.beginRenewal(core, 2*f.config.RenewInterval, false)
	if !begun {
		return
	}
	f.sendRenewal(call, func() {
		if call.err == nil && !call.resp.Who {
			f.recordRenewal(core, call, call.sentAt.Add(call.roundTrip()/2), call.resp)
		}
		if f.renewals.takeRenewAgain(core.Name) {
			f.renew(core)
		}
	})
}

// beginRenewal prepares a call. It returns false where one is in flight at the
// core or the front is leaving.
func (f *Follower) beginRenewal(core *wire.Process, timeout time.Duration, relay bool) (*renewalCall, bool) {
	if f.leaving {
		return nil, false
	}
	state := f.renewals.core(core.Name)
	if state.inFlight {
		state.renewAgain = true
		return nil, false
	}
	state.inFlight = true
	self := f.config.Self()
	req := &wire.RenewRequest{
		Epoch:       f.configuration.state.Version,
		Unconfirmed: f.holder.Unconfirmed(),
		Relay:       relay,
	}
	if lease.SameProcessRecord(state.recorded, self) {
		req.Name = self.Name
		req.Incarnation = self.Incarnation
	} else {
		req.Self = self
	}
	return &renewalCall{
		core:    core,
		self:    self,
		req:     req,
		sentAt:  f.clock.Now(),
		timeout: timeout,
	}, true
}

// sendRenewal makes the call off the owner. On the owner it records the result and
// then runs complete.
func (f *Follower) sendRenewal(call *renewalCall, complete func()) {
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, call.timeout)
		defer cancel()
		resp, err := f.peers.Client(call.core.Address).Renew(ctx, connect.NewRequest(call.req))
		call.returnedAt = f.clock.Now()
		call.err = err
		if err == nil {
			call.resp = resp.Msg
		}
		f.post(func() {
			f.renewals.complete(call)
			complete()
		})
	}()
}

// recordRenewal takes a core's answer to a call, which the core gave at the instant
// answeredAt by this process's clock.
func (f *Follower) recordRenewal(core *wire.Process, call *renewalCall, answeredAt time.Time, resp *wire.RenewResponse) {
	f.fleetTime.record(core.Name, time.UnixMicro(resp.TimeUs).Sub(answeredAt))
	f.renewals.core(core.Name).answered = true
	if f.shouldFetch(call, resp) {
		f.fetch(core.Address)
	}
	wasUnconfirmed := f.holder.Unconfirmed()
	if resp.Granted {
		// A lease counts from when the request was sent, so that the time which the
		// call took can only shorten it.
		f.holder.RecordGrant(core.Name, call.sentAt, call.req.Epoch, resp.Learned)
	} else if call.req.Unconfirmed {
		f.holder.RecordDenial(core.Name, resp.Learned)
	}
	if wasUnconfirmed && !f.holder.Unconfirmed() {
		for _, other := range f.peers.Cores() {
			f.renew(other)
		}
	}
	f.updateAuthority()
}

// shouldFetch reports whether a core's answer shows that the front lags behind. A
// front without a configuration waits for the feed first; see initialFeedGrace.
func (f *Follower) shouldFetch(call *renewalCall, resp *wire.RenewResponse) bool {
	if f.configuration.learned {
		return resp.Learned > f.configuration.state.Version
	}
	return call.returnedAt.Sub(f.startedAt) >= initialFeedGrace
}
