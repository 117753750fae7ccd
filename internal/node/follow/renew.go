package follow

import (
	"connectrpc.com/connect"

	"stepwick/internal/core/lease"
	"stepwick/internal/kernel"
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

func (f *Follower) renewAll() {
	f.holder.SetCores(f.voters())
	for _, core := range f.peers.Cores() {
		f.renew(core)
	}
	f.judge()
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
	if f.left {
		return
	}
	if f.renewing[core.Name] {
		f.again[core.Name] = true
		return
	}
	f.renewing[core.Name] = true
	sent := f.clock.Now()
	own := f.config.Self()
	req := &wire.RenewRequest{Epoch: f.state.Epoch, Unconfirmed: f.holder.Unconfirmed()}
	if lease.SameProcess(f.recorded[core.Name], own) {
		req.Name, req.Incarnation = own.Name, own.Incarnation
	} else {
		req.Self = own
	}
	go func() {
		ctx, cancel := kernel.WithTimeout(f.ctx, 2*f.config.RenewEvery)
		defer cancel()
		resp, err := f.peers.Client(core.Address).Renew(ctx, connect.NewRequest(req))
		back := f.clock.Now()
		f.post(func() {
			f.renewing[core.Name] = false
			switch {
			case err != nil:
				f.failing[core.Name] = true
				delete(f.recorded, core.Name)
			case resp.Msg.Who:
				delete(f.recorded, core.Name)
				f.again[core.Name] = true
			default:
				delete(f.failing, core.Name)
				f.recorded[core.Name] = own
				f.renewed(core, sent, back, req, resp.Msg)
			}
			if f.again[core.Name] {
				f.again[core.Name] = false
				f.renew(core)
			}
		})
	}()
}

func (f *Follower) renewed(core *wire.Process, sent, back kernel.Time, req *wire.RenewRequest, resp *wire.RenewResponse) {
	f.offsets[core.Name] = kernel.UnixMicro(resp.TimeUs).Sub(sent.Add(back.Sub(sent) / 2))
	f.setOffset()
	f.behind[core.Name] = resp.Learned
	if f.held && resp.Learned > f.state.Epoch || !f.held && back.Sub(f.begun) >= startByFeed {
		f.fetch(core.Address)
	}
	wasUnconfirmed := f.holder.Unconfirmed()
	if resp.Granted {
		f.holder.Renewed(core.Name, sent, req.Epoch, resp.Learned)
	} else if req.Unconfirmed {
		f.holder.Asked(core.Name, resp.Learned)
	}
	if wasUnconfirmed && !f.holder.Unconfirmed() {
		for _, p := range f.peers.Cores() {
			f.renew(p)
		}
	}
	f.judge()
}
