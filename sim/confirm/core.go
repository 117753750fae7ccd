package confirm

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Intervals of a core.
const (
	corePingMS = 250
	// rosterMS is the interval of roster changes, which each core's id staggers.
	rosterMS        = 300
	rosterStaggerMS = 100
	pingAfter       = 700 * time.Millisecond
	removeAfter     = 6 * time.Second
)

// coreState is the core's part of a process. Instants are in ms.
type coreState struct {
	leases   *lease.Table
	caughtUp bool
	learned  uint64
	pingAt   int64
	rosterAt int64
	orders   []*order
	// rosterCheck is the round that checks the last roster change, or nil.
	rosterCheck *viewRound
}

// order is an operator's order that waits to be in force.
type order struct {
	version   uint64
	timeoutAt int64
	views     *viewRound // nil between rounds
}

// viewRound is one round of lease views.
type viewRound struct {
	endAt int64
	views []*wire.LeaseViewResponse
}

// actCore runs what a core does at a tick.
func (w *world) actCore(proc *process) {
	core := proc.core
	w.learn(proc)
	if w.random.IntN(10) == 0 {
		w.synced[proc.node.id] = core.learned
	}
	if w.now >= core.pingAt {
		core.pingAt = w.now + corePingMS
		w.pingIdleMembers(proc)
	}
	if w.now >= core.rosterAt {
		core.rosterAt = w.now + rosterMS + int64(proc.node.id)*rosterStaggerMS
		w.maintainRoster(proc)
	}
	if w.random.Float64() < w.config.OrderChance {
		w.submitOrder(proc.node)
	}
	w.completeRosterChange(proc)
	w.acknowledgeOrders(proc)
}

// learn lets a core catch up from a majority, finish an open slot, or learn from
// another core.
func (w *world) learn(proc *process) {
	core, node := proc.core, proc.node
	reached := w.quorum(node)
	if reached != nil && (!core.caughtUp || w.accepted[node.id] > core.learned && w.random.Float64() < w.config.FinishChance) {
		core.learned = uint64(len(w.log) - 1)
		core.caughtUp = true
	}
	for _, other := range w.nodes[:w.config.Cores] {
		if w.running(other) && w.connected(node, other) && w.random.Float64() < w.config.LearnChance {
			core.learned = max(core.learned, other.process.core.learned)
		}
	}
}

// submitOrder proposes an operator's order at a core.
func (w *world) submitOrder(node *nodeState) {
	version, chosen := w.propose(node, statemachine.Noop{})
	if !chosen {
		return
	}
	w.outcome.Orders++
	submitted := &order{version: version, timeoutAt: w.now + orderTicks*tickMS}
	node.process.core.orders = append(node.process.core.orders, submitted)
}

// pingIdleMembers pings the members without recent contact.
func (w *world) pingIdleMembers(proc *process) {
	leases := proc.core.leases
	leases.Prune(w.clock(proc.node))
	for _, target := range leases.PingTargets(w.log[proc.core.learned].Roster, pingAfter, w.clock(proc.node)) {
		for _, node := range w.nodes {
			if node.name == target.Name && node != proc.node {
				w.pingFromCore(proc, node, target)
			}
		}
	}
}

func (w *world) pingFromCore(proc *process, to *nodeState, target lease.MemberID) {
	leases := proc.core.leases
	serve := func(callee *process) func() {
		incarnation := callee.incarnation
		return func() { leases.RecordPingResponse(to.name, incarnation, w.clock(proc.node)) }
	}
	refused := func() { leases.RecordRefusal(target, w.clock(proc.node)) }
	w.call(proc, to, serve, refused)
}

// maintainRoster proposes to add members that renew, or to remove those that refuse.
func (w *world) maintainRoster(proc *process) {
	core := proc.core
	now := w.clock(proc.node)
	state := w.log[core.learned]
	if !core.caughtUp || !state.RosterCommitted() {
		return
	}
	if members := core.leases.UnlistedMembers(state.Roster, now); len(members) > 0 {
		w.propose(proc.node, statemachine.AddMembers{Members: members, ProposedBy: proc.node.name})
		return
	}
	if names := core.leases.RefusingMembers(state.Roster, removeAfter, now); len(names) > 0 {
		w.propose(proc.node, statemachine.RemoveMembers{Names: names, ProposedBy: proc.node.name})
	}
}

func (w *world) leaseView(proc *process, version uint64) *wire.LeaseViewResponse {
	view := proc.core.leases.View(version, proc.core.learned, w.clock(proc.node))
	view.Settled = view.Settled && proc.core.caughtUp
	return view
}

// requestViews starts a round of lease views.
func (w *world) requestViews(proc *process, version uint64) *viewRound {
	round := &viewRound{
		endAt: w.now + viewRoundTicks*tickMS,
		views: []*wire.LeaseViewResponse{w.leaseView(proc, version)},
	}
	serve := func(callee *process) func() {
		view := w.leaseView(callee, version)
		return func() { round.views = append(round.views, view) }
	}
	for _, node := range w.nodes[:w.config.Cores] {
		if node != proc.node {
			w.call(proc, node, serve, nil)
		}
	}
	return round
}

// confirmationCheck returns the check of a version by a round of views, without the
// rule that a mutation leaves out.
func (w *world) confirmationCheck(proc *process, version uint64, round *viewRound) lease.ConfirmationCheck {
	state := w.log[proc.core.learned]
	check := lease.ConfirmationCheck{
		Version:     version,
		Voters:      w.config.Cores,
		Views:       round.views,
		Roster:      state.Roster,
		PriorRoster: state.PriorRoster,
	}
	switch w.config.Mutation {
	case NoRosterMajority:
		check.Roster = nil
		check.PriorRoster = nil
	case NoPriorRoster:
		check.PriorRoster = nil
	case NoLeaseWait:
		for _, view := range check.Views {
			view.Waiting = nil
		}
	}
	return check
}

// completeRosterChange proposes to settle the last roster change once it is
// confirmed.
func (w *world) completeRosterChange(proc *process) {
	core := proc.core
	state := w.log[core.learned]
	if state.RosterCommitted() || !core.caughtUp {
		core.rosterCheck = nil
		return
	}
	command := statemachine.CommitRoster{RosterVersion: state.RosterVersion}
	if w.config.Mutation == NoPriorRoster {
		w.propose(proc.node, command)
		return
	}
	if core.rosterCheck == nil {
		core.rosterCheck = w.requestViews(proc, state.RosterVersion)
		return
	}
	if w.now < core.rosterCheck.endAt {
		return
	}
	check := w.confirmationCheck(proc, state.RosterVersion, core.rosterCheck)
	if confirmed, _ := lease.RosterChangeConfirmed(check); confirmed {
		if _, chosen := w.propose(proc.node, command); chosen {
			w.outcome.RosterChanges++
		}
	}
	core.rosterCheck = nil
}

// acknowledgeOrders acknowledges the orders that are in force and drops those that
// timed out.
func (w *world) acknowledgeOrders(proc *process) {
	core := proc.core
	open := core.orders[:0]
	for _, submitted := range core.orders {
		if w.now <= submitted.timeoutAt && !w.acknowledged(proc, submitted) {
			open = append(open, submitted)
		}
	}
	core.orders = open
}

// acknowledged starts a round of views for an order, or evaluates one that ended; it
// reports whether the order was acknowledged.
func (w *world) acknowledged(proc *process, submitted *order) bool {
	if submitted.views == nil {
		submitted.views = w.requestViews(proc, submitted.version)
		return false
	}
	if w.now < submitted.views.endAt {
		return false
	}
	check := w.confirmationCheck(proc, submitted.version, submitted.views)
	if confirmed, _ := lease.VersionConfirmed(check); confirmed {
		w.checker.recordAcknowledgement(acknowledgement{version: submitted.version, atMS: w.now})
		w.outcome.Acknowledged++
		return true
	}
	submitted.views = nil
	return false
}
