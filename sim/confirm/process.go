package confirm

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

func (w *world) actNode(p *process) {
	if w.now >= p.renewAt {
		p.renewAt = w.now + renewTicks*tickMS
		w.renewAll(p)
	}
	if w.now >= p.pingAt {
		p.pingAt = w.now + pingTicks*tickMS
		w.pingAll(p)
	}
	if p.core != nil {
		w.actCore(p)
	}
}

func (w *world) renewAll(p *process) {
	for _, n := range w.nodes[:w.config.Cores] {
		w.renew(p, n)
	}
}

func (w *world) record(p *process) *wire.Process {
	return &wire.Process{Name: p.node.name, Incarnation: p.incarnation, Front: true, Core: p.core != nil}
}

func (w *world) renew(p *process, n *node) {
	sent := w.clock(p.node)
	req := &wire.RenewRequest{Self: w.record(p), Epoch: p.state.Version, Unconfirmed: p.holder.Unconfirmed()}
	w.call(p, n, func(q *process) func() {
		c := q.core
		open := w.accepted[n.id] > c.learned && w.config.Mutation != IgnoresOpenSlot
		if !c.caughtUp || (req.Unconfirmed && open) {
			return nil
		}
		resp := c.leases.Renew(req, c.learned, w.clock(n))
		return func() { w.recordRenewal(p, n, sent, req, resp) }
	}, nil)
}

func (w *world) recordRenewal(p *process, n *node, sent time.Time, req *wire.RenewRequest, resp *wire.RenewResponse) {
	if w.config.Mutation == LeaseFromArrival {
		sent = w.clock(p.node)
	}
	if resp.Learned > p.state.Version || !p.hasState {
		w.fetch(p, n)
	}
	if resp.Granted {
		p.holder.RecordGrant(n.name, sent, req.Epoch, resp.Learned)
	} else if req.Unconfirmed {
		p.holder.RecordDenial(n.name, resp.Learned)
	}
}

func (w *world) fetch(p *process, n *node) {
	if w.now < p.fetchTimeoutAt {
		return
	}
	p.fetchTimeoutAt = w.now + 500
	w.call(p, n, func(q *process) func() {
		state := q.state
		if q.core != nil {
			state = w.log[q.core.learned]
		}
		return func() {
			p.fetchTimeoutAt = 0
			w.adoptState(p, state)
		}
	}, nil)
}

func (w *world) adoptState(p *process, state sheet.State) {
	if state.Version <= p.state.Version {
		return
	}
	p.state, p.hasState = state, true
	p.holder.SetRoster(state.Roster, state.PriorRoster)
	p.holder.AdvanceTo(state.Version)
	if w.config.Mutation == ConfirmedByPeer && p.holder.Unconfirmed() {
		for _, voter := range w.voters {
			p.holder.RecordGrant(voter, time.Time{}, state.Version, 0)
		}
	}
	w.renewAll(p)
}

func (w *world) pingAll(p *process) {
	for _, n := range w.nodes {
		if _, member := p.state.Roster[n.name]; !member || n == p.node {
			continue
		}
		sent := w.clock(p.node)
		w.call(p, n, func(q *process) func() {
			version, unconfirmed, incarnation := q.state.Version, q.holder.Unconfirmed(), q.incarnation
			return func() {
				p.holder.RecordPingResponse(n.name, incarnation, sent, version, unconfirmed)
				if version > p.state.Version && !unconfirmed {
					w.fetch(p, n)
				}
			}
		}, func() {
			now := w.clock(p.node)
			if w.config.Mutation == AnyRefusalCounts || w.config.Mutation == TimeoutIsRefusal {
				p.holder.RecordPingResponse(n.name, 0, now, 0, true)
			}
			p.holder.RecordRefusal(n.name, now)
		})
	}
}

func (w *world) actCore(p *process) {
	c, n := p.core, p.node
	reached := w.quorum(n)
	if reached != nil && (!c.caughtUp || w.accepted[n.id] > c.learned && w.random.Float64() < w.config.FinishChance) {
		c.learned = uint64(len(w.log) - 1)
		c.caughtUp = true
	}
	for _, other := range w.nodes[:w.config.Cores] {
		if w.running(other) && w.connected(n, other) && w.random.Float64() < w.config.LearnChance {
			c.learned = max(c.learned, other.process.core.learned)
		}
	}
	if w.random.IntN(10) == 0 {
		w.synced[n.id] = c.learned
	}
	if w.now >= c.pingAt {
		c.pingAt = w.now + 250
		w.pingIdleMembers(p)
	}
	if w.now >= c.rosterAt {
		c.rosterAt = w.now + 300 + int64(n.id)*100
		w.maintainRoster(p)
	}
	if w.random.Float64() < w.config.OrderChance {
		w.submitOrder(n)
	}
	w.completeRosterChange(p)
	w.acknowledgeOrders(p)
}

// submitOrder has a core carry out an operator's order.
func (w *world) submitOrder(n *node) {
	version, ok := w.propose(n, sheet.Noop{})
	if !ok {
		return
	}
	w.outcome.Orders++
	n.process.core.orders = append(n.process.core.orders, &order{version: version, timeoutAt: w.now + orderTicks*tickMS})
}

func (w *world) pingIdleMembers(p *process) {
	table := p.core.leases
	table.Expire(w.clock(p.node))
	for _, target := range table.PingTargets(w.log[p.core.learned].Roster, 700*time.Millisecond, w.clock(p.node)) {
		for _, n := range w.nodes {
			if n.name != target.Name || n == p.node {
				continue
			}
			w.call(p, n, func(q *process) func() {
				incarnation := q.incarnation
				return func() { table.RecordPingResponse(n.name, incarnation, w.clock(p.node)) }
			}, func() { table.RecordRefusal(target, w.clock(p.node)) })
		}
	}
}

func (w *world) maintainRoster(p *process) {
	c, now := p.core, w.clock(p.node)
	state := w.log[c.learned]
	if !c.caughtUp || !state.Settled() {
		return
	}
	if members := c.leases.UnlistedMembers(state.Roster, now); len(members) > 0 {
		w.propose(p.node, sheet.AddMembers{Members: members, By: p.node.name})
		return
	}
	if names := c.leases.RefusingMembers(state.Roster, 6*time.Second, now); len(names) > 0 {
		w.propose(p.node, sheet.RemoveMembers{Names: names, By: p.node.name})
	}
}

func (w *world) leaseView(p *process, version uint64) *wire.LeaseViewResponse {
	view := p.core.leases.View(version, p.core.learned, w.clock(p.node))
	view.Settled = view.Settled && p.core.caughtUp
	return view
}

func (w *world) requestViews(p *process, version uint64) *viewRound {
	r := &viewRound{endAt: w.now + roundTicks*tickMS, views: []*wire.LeaseViewResponse{w.leaseView(p, version)}}
	for _, n := range w.nodes[:w.config.Cores] {
		if n == p.node {
			continue
		}
		w.call(p, n, func(q *process) func() {
			view := w.leaseView(q, version)
			return func() { r.views = append(r.views, view) }
		}, nil)
	}
	return r
}

func (w *world) confirmationCheck(p *process, version uint64, r *viewRound) lease.ConfirmationCheck {
	state := w.log[p.core.learned]
	q := lease.ConfirmationCheck{Version: version, Voters: w.config.Cores, Views: r.views, Roster: state.Roster, PriorRoster: state.PriorRoster}
	switch w.config.Mutation {
	case NoRosterMajority:
		q.Roster, q.PriorRoster = nil, nil
	case NoPriorRoster:
		q.PriorRoster = nil
	case NoLeaseWait:
		for _, view := range q.Views {
			view.Waiting = nil
		}
	}
	return q
}

func (w *world) completeRosterChange(p *process) {
	c := p.core
	state := w.log[c.learned]
	if state.Settled() || !c.caughtUp {
		c.rosterCheck = nil
		return
	}
	if w.config.Mutation == NoPriorRoster {
		w.propose(p.node, sheet.SettleRoster{RosterVersion: state.RosterVersion})
		return
	}
	if c.rosterCheck == nil {
		c.rosterCheck = w.requestViews(p, state.RosterVersion)
		return
	}
	if w.now < c.rosterCheck.endAt {
		return
	}
	if met, _ := lease.RosterChangeConfirmed(w.confirmationCheck(p, state.RosterVersion, c.rosterCheck)); met {
		if _, ok := w.propose(p.node, sheet.SettleRoster{RosterVersion: state.RosterVersion}); ok {
			w.outcome.RosterChanges++
		}
	}
	c.rosterCheck = nil
}

func (w *world) acknowledgeOrders(p *process) {
	c := p.core
	open := c.orders[:0]
	for _, o := range c.orders {
		switch {
		case w.now > o.timeoutAt:
			continue
		case o.views == nil:
			o.views = w.requestViews(p, o.version)
		case w.now >= o.views.endAt:
			if met, _ := lease.VersionConfirmed(w.confirmationCheck(p, o.version, o.views)); met {
				w.recentAcknowledgements = append(w.recentAcknowledgements, acknowledgement{o.version, w.now})
				w.outcome.Acknowledged++
				continue
			}
			o.views = nil
		}
		open = append(open, o)
	}
	c.orders = open
}
