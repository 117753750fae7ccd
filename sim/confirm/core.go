package confirm

import (
	"slices"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Intervals and time limits of a core.
const (
	corePingIntervalMS = 250
	// rosterIntervalMS is the interval between roster checks. A core's ID times
	// rosterStaggerMS is added, so that the cores do not propose at the same instant.
	rosterIntervalMS    = 300
	rosterStaggerMS     = 100
	pingIdleAfter       = 700 * time.Millisecond
	removeLostAfter     = 6 * time.Second
	removeReleasedAfter = 3 * time.Second
)

// coreState is the state of a core in a process. Instants are in ms.
type coreState struct {
	leases            *lease.Table
	caughtUp          bool
	learnedVersion    uint64
	nextPingAt        int64
	nextRosterCheckAt int64
	pendingOrders     []*pendingOrder
	// rosterViews is the round of views that checks the last roster change, or nil.
	rosterViews *viewRound
}

// pendingOrder is an operator's order that is not acknowledged yet.
type pendingOrder struct {
	version   uint64
	timeoutAt int64
	views     *viewRound // nil between rounds
}

// viewRound is one round of lease views of all cores; it ends at endAt, in ms.
type viewRound struct {
	endAt int64
	views []*wire.LeaseViewResponse
}

// runCore runs the work of a core in one tick.
func (w *world) runCore(proc *process) {
	core := proc.core
	w.updateLearnedVersion(proc)
	if w.random.IntN(10) == 0 {
		w.syncedVersions[proc.node.id] = core.learnedVersion
	}
	if w.now >= core.nextPingAt {
		core.nextPingAt = w.now + corePingIntervalMS
		w.pingIdleMembers(proc)
	}
	if w.now >= core.nextRosterCheckAt {
		core.nextRosterCheckAt = w.now + rosterIntervalMS + int64(proc.node.id)*rosterStaggerMS
		w.maintainRoster(proc)
	}
	if w.random.Float64() < w.config.OrderChance {
		w.submitOrder(proc.node)
	}
	w.completeRosterChange(proc)
	w.acknowledgeOrders(proc)
}

// updateLearnedVersion lets a core catch up from a majority, finish an open slot or
// learn from another core.
func (w *world) updateLearnedVersion(proc *process) {
	core, node := proc.core, proc.node
	reached := w.reachableMajority(node)
	if reached != nil && (!core.caughtUp || w.acceptedVersions[node.id] > core.learnedVersion && w.random.Float64() < w.config.FinishChance) {
		core.learnedVersion = uint64(len(w.log) - 1)
		core.caughtUp = true
	}
	for _, other := range w.nodes[:w.config.Cores] {
		if w.running(other) && w.connected(node, other) && w.random.Float64() < w.config.LearnChance {
			core.learnedVersion = max(core.learnedVersion, other.process.core.learnedVersion)
		}
	}
}

// submitOrder submits an operator's order to a core.
func (w *world) submitOrder(node *nodeState) {
	version, chosen := w.propose(node, statemachine.Noop{})
	if !chosen {
		return
	}
	w.outcome.Orders++
	submitted := &pendingOrder{version: version, timeoutAt: w.now + orderTimeoutTicks*tickMS}
	node.process.core.pendingOrders = append(node.process.core.pendingOrders, submitted)
}

// pingIdleMembers pings the members without contact for pingIdleAfter.
func (w *world) pingIdleMembers(proc *process) {
	leases := proc.core.leases
	leases.Prune(w.clock(proc.node))
	for _, target := range leases.PingTargets(w.log[proc.core.learnedVersion].Roster, pingIdleAfter, w.clock(proc.node)) {
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
	onRefused := func() {
		leases.RecordRefusal(target, w.clock(proc.node))
		if w.config.Mutation == RefusalIsRelease {
			leases.Release(target.Name, target.Incarnation, w.clock(proc.node))
		}
	}
	w.call(proc, to, serve, onRefused)
}

// maintainRoster proposes to add unlisted members that renew leases or, if there are
// none, to remove members that are lost.
func (w *world) maintainRoster(proc *process) {
	core := proc.core
	now := w.clock(proc.node)
	state := w.log[core.learnedVersion]
	if !core.caughtUp || !state.RosterCommitted() {
		return
	}
	if members := core.leases.UnlistedMembers(state.Roster, now); len(members) > 0 {
		w.propose(proc.node, statemachine.AddMembers{Members: members, ProposedBy: proc.node.name, RosterVersion: state.RosterVersion})
		return
	}
	names := core.leases.LostMembers(state.Roster, removeLostAfter, removeReleasedAfter, now)
	names = slices.DeleteFunc(names, func(name string) bool { return name == proc.node.name })
	if len(names) > 0 {
		w.propose(proc.node, statemachine.RemoveMembers{Names: names, ProposedBy: proc.node.name, RosterVersion: state.RosterVersion})
	}
}

// leaseView returns a core's lease view. It counts as settled only once the core has
// caught up.
func (w *world) leaseView(proc *process, version uint64) *wire.LeaseViewResponse {
	view := proc.core.leases.View(version, proc.core.learnedVersion, w.clock(proc.node))
	view.Settled = view.Settled && proc.core.caughtUp
	return view
}

// requestViews starts a round of lease views, which includes the core's own view.
func (w *world) requestViews(proc *process, version uint64) *viewRound {
	round := &viewRound{
		endAt: w.now + viewRoundDurationTicks*tickMS,
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

// confirmationCheck returns the confirmation check of a version for a round of views,
// without the rule that the mutation disables.
func (w *world) confirmationCheck(proc *process, version uint64, round *viewRound) lease.ConfirmationCheck {
	state := w.log[proc.core.learnedVersion]
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
	case NoFenceWait:
		for _, view := range check.Views {
			view.KnowsFenced = true
			view.Unfenced = nil
		}
	case NoFenceGrace:
		for _, view := range check.Views {
			view.KnowsFenced = true
		}
	case NoPriorRoster:
		check.PriorRoster = nil
	case NoLeaseWait:
		for _, view := range check.Views {
			view.Waiting = nil
		}
	}
	return check
}

// completeRosterChange proposes to commit the last roster change once it is
// confirmed.
func (w *world) completeRosterChange(proc *process) {
	core := proc.core
	state := w.log[core.learnedVersion]
	if state.RosterCommitted() || !core.caughtUp {
		core.rosterViews = nil
		return
	}
	command := statemachine.CommitRoster{RosterVersion: state.RosterVersion}
	if w.config.Mutation == NoPriorRoster {
		w.propose(proc.node, command)
		return
	}
	if core.rosterViews == nil {
		core.rosterViews = w.requestViews(proc, state.RosterVersion)
		return
	}
	if w.now < core.rosterViews.endAt {
		return
	}
	check := w.confirmationCheck(proc, state.RosterVersion, core.rosterViews)
	if confirmed, _ := lease.RosterChangeConfirmed(check); confirmed {
		if _, chosen := w.propose(proc.node, command); chosen {
			w.outcome.RosterChanges++
		}
	}
	core.rosterViews = nil
}

// acknowledgeOrders acknowledges the orders whose version is confirmed and drops those
// that timed out.
func (w *world) acknowledgeOrders(proc *process) {
	core := proc.core
	open := core.pendingOrders[:0]
	for _, submitted := range core.pendingOrders {
		if w.now <= submitted.timeoutAt && !w.tryAcknowledge(proc, submitted) {
			open = append(open, submitted)
		}
	}
	core.pendingOrders = open
}

// tryAcknowledge starts a round of views for an order or evaluates one that has ended.
// It reports whether the order was acknowledged.
func (w *world) tryAcknowledge(proc *process, submitted *pendingOrder) bool {
	if submitted.views == nil {
		submitted.views = w.requestViews(proc, submitted.version)
		return false
	}
	if w.now < submitted.views.endAt {
		return false
	}
	check := w.confirmationCheck(proc, submitted.version, submitted.views)
	if confirmed, _ := lease.VersionConfirmed(check); confirmed {
		w.checker.recordAcknowledgement(acknowledgement{version: submitted.version, atMS: w.now, byFence: !w.isRosterMajority(check)})
		w.outcome.Acknowledged++
		return true
	}
	submitted.views = nil
	return false
}

// isRosterMajority reports whether a majority of the newest roster, and of the one before
// while its change is uncommitted, has confirmed the version of a check, whatever the
// check's own rosters are.
func (w *world) isRosterMajority(check lease.ConfirmationCheck) bool {
	state := w.log[len(w.log)-1]
	for _, roster := range []map[string]statemachine.Member{state.Roster, state.PriorRoster} {
		check.Roster = roster
		if !lease.CountConfirmations(check).IsMajority() {
			return false
		}
	}
	return true
}
