package confirm

import (
	"time"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// runProcess runs the work of a process in one tick.
func (w *world) runProcess(proc *process) {
	if w.now >= proc.nextRenewAt {
		proc.nextRenewAt = w.now + renewIntervalTicks*tickMS
		w.renewAll(proc)
	}
	if w.now >= proc.nextPingAt {
		proc.nextPingAt = w.now + pingIntervalTicks*tickMS
		w.pingAll(proc)
	}
	if proc.core != nil {
		w.runCore(proc)
	}
}

// renewAll requests a renewal of a front's lease from every core.
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
		openSlot := w.acceptedVersions[to.id] > core.learnedVersion && w.config.Mutation != IgnoreOpenSlot
		if !core.caughtUp || (req.Unconfirmed && openSlot) {
			return nil
		}
		resp := core.leases.Renew(req, core.learnedVersion, w.clock(to))
		return func() { w.recordRenewal(proc, to, sentAt, req, resp) }
	}
	w.call(proc, to, serve, nil)
}

func (w *world) recordRenewal(proc *process, core *nodeState, sentAt time.Time, req *wire.RenewRequest, resp *wire.RenewResponse) {
	if w.config.Mutation == LeaseFromArrival {
		sentAt = w.clock(proc.node)
	}
	if resp.Learned > proc.state.Version || !proc.hasState {
		w.fetchState(proc, core)
	}
	if resp.Granted {
		proc.holder.RecordGrant(core.name, sentAt, req.Epoch, resp.Learned)
	} else if req.Unconfirmed {
		proc.holder.RecordDenial(core.name, resp.Learned)
	}
}

// fetchState requests the state of a node. At most one request is in flight until it
// times out.
func (w *world) fetchState(proc *process, from *nodeState) {
	if w.now < proc.fetchTimeoutAt {
		return
	}
	proc.fetchTimeoutAt = w.now + fetchTimeoutMS
	serve := func(callee *process) func() {
		state := callee.state
		if callee.core != nil {
			state = w.log[callee.core.learnedVersion]
		}
		return func() {
			proc.fetchTimeoutAt = 0
			w.adoptState(proc, state)
		}
	}
	w.call(proc, from, serve, nil)
}

// adoptState replaces a front's state with a newer one and renews its leases at once.
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

// pingAll pings the other members on a front's roster.
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
				w.fetchState(proc, to)
			}
		}
	}
	onRefused := func() { proc.holder.RecordRefusal(to.name) }
	w.call(proc, to, serve, onRefused)
}
