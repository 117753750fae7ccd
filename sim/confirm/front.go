package confirm

import (
	"time"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// act runs what a process does at a tick.
func (w *world) act(proc *process) {
	if w.now >= proc.renewAt {
		proc.renewAt = w.now + renewTicks*tickMS
		w.renewAll(proc)
	}
	if w.now >= proc.pingAt {
		proc.pingAt = w.now + pingTicks*tickMS
		w.pingAll(proc)
	}
	if proc.core != nil {
		w.actCore(proc)
	}
}

// renewAll renews a front's lease at every core.
func (w *world) renewAll(proc *process) {
	for _, core := range w.nodes[:w.config.Cores] {
		w.renew(proc, core)
	}
}

func (w *world) renew(proc *process, to *nodeState) {
	sentAt := w.clock(proc.node)
	record := &wire.Process{Name: proc.node.name, Incarnation: proc.incarnation, Front: true, Core: proc.core != nil}
	req := &wire.RenewRequest{Self: record, Epoch: proc.state.Version, Unconfirmed: proc.holder.Unconfirmed()}
	serve := func(callee *process) func() {
		core := callee.core
		open := w.accepted[to.id] > core.learned && w.config.Mutation != IgnoresOpenSlot
		if !core.caughtUp || (req.Unconfirmed && open) {
			return nil
		}
		resp := core.leases.Renew(req, core.learned, w.clock(to))
		return func() { w.recordRenewal(proc, to, sentAt, req, resp) }
	}
	w.call(proc, to, serve, nil)
}

func (w *world) recordRenewal(proc *process, core *nodeState, sentAt time.Time, req *wire.RenewRequest, resp *wire.RenewResponse) {
	if w.config.Mutation == LeaseFromArrival {
		sentAt = w.clock(proc.node)
	}
	if resp.Learned > proc.state.Version || !proc.hasState {
		w.fetch(proc, core)
	}
	if resp.Granted {
		proc.holder.RecordGrant(core.name, sentAt, req.Epoch, resp.Learned)
	} else if req.Unconfirmed {
		proc.holder.RecordDenial(core.name, resp.Learned)
	}
}

// fetch requests the state of a node, one request at a time.
func (w *world) fetch(proc *process, from *nodeState) {
	if w.now < proc.fetchTimeoutAt {
		return
	}
	proc.fetchTimeoutAt = w.now + fetchTimeoutMS
	serve := func(callee *process) func() {
		state := callee.state
		if callee.core != nil {
			state = w.log[callee.core.learned]
		}
		return func() {
			proc.fetchTimeoutAt = 0
			w.adoptState(proc, state)
		}
	}
	w.call(proc, from, serve, nil)
}

func (w *world) adoptState(proc *process, state statemachine.State) {
	if state.Version <= proc.state.Version {
		return
	}
	proc.state = state
	proc.hasState = true
	proc.holder.SetRoster(state.Roster, state.PriorRoster)
	proc.holder.AdvanceTo(state.Version)
	if w.config.Mutation == ConfirmedByPeer && proc.holder.Unconfirmed() {
		for _, voter := range w.voters {
			proc.holder.RecordGrant(voter, time.Time{}, state.Version, 0)
		}
	}
	w.renewAll(proc)
}

// pingAll pings the members of a front's roster.
func (w *world) pingAll(proc *process) {
	for _, node := range w.nodes {
		if _, member := proc.state.Roster[node.name]; member && node != proc.node {
			w.ping(proc, node)
		}
	}
}

func (w *world) ping(proc *process, to *nodeState) {
	sentAt := w.clock(proc.node)
	serve := func(callee *process) func() {
		version := callee.state.Version
		unconfirmed := callee.holder.Unconfirmed()
		incarnation := callee.incarnation
		return func() {
			proc.holder.RecordPingResponse(to.name, incarnation, sentAt, version, unconfirmed)
			if version > proc.state.Version && !unconfirmed {
				w.fetch(proc, to)
			}
		}
	}
	refused := func() {
		now := w.clock(proc.node)
		if w.config.Mutation == AnyRefusalCounts || w.config.Mutation == TimeoutIsRefusal {
			proc.holder.RecordPingResponse(to.name, 0, now, 0, true)
		}
		proc.holder.RecordRefusal(to.name, now)
	}
	w.call(proc, to, serve, refused)
}
