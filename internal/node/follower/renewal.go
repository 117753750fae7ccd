package follower

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

const (
	// initialRenewInterval is the time between renewals of a front that no majority
	// has confirmed since its start. It has no authority until then.
	initialRenewInterval = 50 * time.Millisecond
	// initialRenewPeriod is how long after its start a front renews at
	// initialRenewInterval.
	initialRenewPeriod = 5 * time.Second
)

// renewals is the state of the lease renewals at all cores.
type renewals struct {
	cores map[string]*coreRenewal
	// directUntil is the end of the period in which renewals go directly to every
	// core instead of through a relay.
	directUntil time.Time
}

// coreRenewal is the state of the lease renewals at one core.
type coreRenewal struct {
	inFlight   bool
	renewAgain bool // renew again when the call in flight ends
	failing    bool // the last call failed
	answered   bool // the core has answered a renewal, directly or through a relay
	// acknowledgedSelf is this process's record as the core last acknowledged it;
	// nil if the core may not have it.
	acknowledgedSelf *wire.Process
}

// ensureCore returns the state of the renewals at a core for modification, and
// creates it if there is none.
func (r *renewals) ensureCore(name string) *coreRenewal {
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

// clearRenewAgain clears the renewAgain flag of a core and returns its former
// value.
func (r *renewals) clearRenewAgain(name string) bool {
	core := r.ensureCore(name)
	again := core.renewAgain
	core.renewAgain = false
	return again
}

// recordResult records whether the core of a completed call answers, and whether it
// has this process's record.
func (r *renewals) recordResult(call *renewalCall) {
	core := r.ensureCore(call.core.Name)
	core.inFlight = false
	switch {
	case call.err != nil:
		core.failing = true
		core.acknowledgedSelf = nil
	case call.resp.Who:
		core.acknowledgedSelf = nil
		core.renewAgain = true
	default:
		core.failing = false
		core.acknowledgedSelf = call.self
	}
}

// renewalCall is a call to a core that renews the lease.
type renewalCall struct {
	core       *wire.Process
	self       *wire.Process // this process's record when the call began
	req        *wire.RenewRequest
	resp       *wire.RenewResponse // nil if the call failed
	err        error
	sentAt     time.Time
	returnedAt time.Time
	timeout    time.Duration
}

// roundTrip returns the duration of the call.
func (c *renewalCall) roundTrip() time.Duration { return c.returnedAt.Sub(c.sentAt) }

// voters returns the names of the voting cores, over which a majority is counted,
// as the first core with such a list reports them. It returns nil if none does.
func (f *Follower) voters() []string {
	for _, core := range f.peers.Cores() {
		if len(core.Voters) > 0 {
			return core.Voters
		}
	}
	return nil
}

// renewUnconfirmed renews the lease of a front that no majority has confirmed since
// its start. It returns false once renewals at initialRenewInterval should end.
func (f *Follower) renewUnconfirmed() bool {
	if !f.holder.Unconfirmed() || f.clock.Now().Sub(f.startedAt) >= initialRenewPeriod {
		return false
	}
	f.renewAll()
	return true
}

// renew renews the lease at one core. If a call to it is in flight, the next one
// begins when that call ends.
func (f *Follower) renew(core *wire.Process) {
	call, started := f.beginRenewal(core, 2*f.config.RenewInterval, false)
	if !started {
		return
	}
	f.sendRenewal(call, func() {
		if call.err == nil && !call.resp.Who {
			f.recordRenewal(core, call, call.sentAt.Add(call.roundTrip()/2), call.resp)
		}
		if f.renewals.clearRenewAgain(core.Name) {
			f.renew(core)
		}
	})
}

// beginRenewal prepares a call. It returns false if a call to the core is in flight
// or the front is leaving.
func (f *Follower) beginRenewal(core *wire.Process, timeout time.Duration, relayed bool) (*renewalCall, bool) {
	if f.leaving {
		return nil, false
	}
	coreState := f.renewals.ensureCore(core.Name)
	if coreState.inFlight {
		coreState.renewAgain = true
		return nil, false
	}
	coreState.inFlight = true
	self := f.config.Self()
	req := &wire.RenewRequest{
		Epoch:       f.configuration.state.Version,
		Unconfirmed: f.holder.Unconfirmed(),
		Relay:       relayed,
	}
	if lease.SameProcessRecord(coreState.acknowledgedSelf, self) {
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

// sendRenewal makes the call in a separate goroutine. The owner then records the
// result and runs onResult.
func (f *Follower) sendRenewal(call *renewalCall, onResult func()) {
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
			f.renewals.recordResult(call)
			onResult()
		})
	}()
}

// recordRenewal records a core's answer to a call. answeredAt is when the core
// answered, by this process's clock.
func (f *Follower) recordRenewal(core *wire.Process, call *renewalCall, answeredAt time.Time, resp *wire.RenewResponse) {
	f.fleetTime.recordOffset(core.Name, time.UnixMicro(resp.TimeUs).Sub(answeredAt))
	f.renewals.ensureCore(core.Name).answered = true
	if f.shouldFetch(call, resp) {
		f.fetch(core.Address)
	}
	wasUnconfirmed := f.holder.Unconfirmed()
	f.holder.RecordIncarnations(core.Name, resp.DiskLife, resp.Replaced)
	if resp.Granted {
		// The lease is timed from when the request was sent, so that the duration
		// of the call can only shorten it.
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

// shouldFetch reports whether a core's answer shows that the front's configuration
// is outdated. A front without a configuration waits for the feed first; see
// initialFeedGrace.
func (f *Follower) shouldFetch(call *renewalCall, resp *wire.RenewResponse) bool {
	if f.configuration.received {
		return resp.Learned > f.configuration.state.Version
	}
	return call.returnedAt.Sub(f.startedAt) >= initialFeedGrace
}
