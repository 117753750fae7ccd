package confirm

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

func (w *world) act(p *process) {
	if w.now >= p.renewAt {
		p.renewAt = w.now + renewEvery*tickMS
		w.renewAll(p)
	}
	if w.now >= p.pingAt {
		p.pingAt = w.now + pingEvery*tickMS
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

func (w *world) self(p *process) *wire.Process {
	return &wire.Process{Name: p.node.name, Incarnation: p.incarnation, Front: true, Core: p.core != nil}
}

func (w *world) renew(p *process, n *node) {
	sent := w.clock(p.node)
	req := &wire.RenewRequest{Self: w.self(p), Epoch: p.state.Version, Unconfirmed: p.holder.Unconfirmed()}
	w.call(p, n, func(q *process) func() {
		c := q.core
		open := w.accepted[n.id] > c.learned && w.config.Mutation != OpenBallot
		if !c.opened || (req.Unconfirmed && open) {
			return nil
		}
		resp := c.ledger.Renew(req, c.learned, w.clock(n))
		return func() { w.renewed(p, n, sent, req, resp) }
	}, nil)
}

func (w *world) renewed(p *process, n *node, sent time.Time, req *wire.RenewRequest, resp *wire.RenewResponse) {
	if w.config.Mutation == ArrivalTime {
		sent = w.clock(p.node)
	}
	if resp.Learned > p.state.Version || !p.held {
		w.fetch(p, n)
	}
	if resp.Granted {
		p.holder.RecordGrant(n.name, sent, req.Epoch, resp.Learned)
	} else if req.Unconfirmed {
		p.holder.RecordDenial(n.name, resp.Learned)
	}
}

func (w *world) fetch(p *process, n *node) {
	if w.now < p.fetchUntil {
		return
	}
	p.fetchUntil = w.now + 500
	w.call(p, n, func(q *process) func() {
		state := q.state
		if q.core != nil {
			state = w.log[q.core.learned]
		}
		return func() {
			p.fetchUntil = 0
			w.take(p, state)
		}
	}, nil)
}

func (w *world) take(p *process, state sheet.State) {
	if state.Version <= p.state.Version {
		return
	}
	p.state, p.held = state, true
	p.holder.SetRoster(state.Roster, state.PriorRoster)
	p.holder.AdvanceTo(state.Version)
	if w.config.Mutation == Hearsay && p.holder.Unconfirmed() {
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
			if w.config.Mutation == AnyRefusal || w.config.Mutation == SilenceIsDead {
				p.holder.RecordPingResponse(n.name, 0, now, 0, true)
			}
			p.holder.RecordRefusal(n.name, now)
		})
	}
}

func (w *world) actCore(p *process) {
	c, n := p.core, p.node
	reached := w.quorum(n)
	if reached != nil && (!c.opened || w.accepted[n.id] > c.learned && w.random.Float64() < w.config.Finish) {
		c.learned = uint64(len(w.log) - 1)
		c.opened = true
	}
	for _, other := range w.nodes[:w.config.Cores] {
		if w.running(other) && w.linked(n, other) && w.random.Float64() < w.config.Gossip {
			c.learned = max(c.learned, other.process.core.learned)
		}
	}
	if w.random.IntN(10) == 0 {
		w.synced[n.id] = c.learned
	}
	if w.now >= c.pingAt {
		c.pingAt = w.now + 250
		w.pingQuiet(p)
	}
	if w.now >= c.keepAt {
		c.keepAt = w.now + 300 + int64(n.id)*100
		w.keepRoster(p)
	}
	if w.random.Float64() < w.config.Orders {
		w.order(n)
	}
	w.settle(p)
	w.acknowledge(p)
}

// order has a core carry out an operator's order.
func (w *world) order(n *node) {
	version, ok := w.propose(n, sheet.Noop{})
	if !ok {
		return
	}
	w.outcome.Orders++
	n.process.core.orders = append(n.process.core.orders, &order{version: version, until: w.now + orderTicks*tickMS})
}

func (w *world) pingQuiet(p *process) {
	table := p.core.ledger
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

func (w *world) keepRoster(p *process) {
	c, now := p.core, w.clock(p.node)
	state := w.log[c.learned]
	if !c.opened || !state.Settled() {
		return
	}
	if members := c.ledger.UnlistedMembers(state.Roster, now); len(members) > 0 {
		w.propose(p.node, sheet.AddMembers{Members: members, By: p.node.name})
		return
	}
	if names := c.ledger.RefusingMembers(state.Roster, 6*time.Second, now); len(names) > 0 {
		w.propose(p.node, sheet.RemoveMembers{Names: names, By: p.node.name})
	}
}

func (w *world) view(p *process, version uint64) *wire.LeaseViewResponse {
	view := p.core.ledger.View(version, p.core.learned, w.clock(p.node))
	view.Settled = view.Settled && p.core.opened
	return view
}

func (w *world) ask(p *process, version uint64) *round {
	r := &round{end: w.now + roundTicks*tickMS, views: []*wire.LeaseViewResponse{w.view(p, version)}}
	for _, n := range w.nodes[:w.config.Cores] {
		if n == p.node {
			continue
		}
		w.call(p, n, func(q *process) func() {
			view := w.view(q, version)
			return func() { r.views = append(r.views, view) }
		}, nil)
	}
	return r
}

func (w *world) question(p *process, version uint64, r *round) lease.ConfirmationCheck {
	state := w.log[p.core.learned]
	q := lease.ConfirmationCheck{Version: version, Voters: w.config.Cores, Views: r.views, Roster: state.Roster, PriorRoster: state.PriorRoster}
	switch w.config.Mutation {
	case NoRoster:
		q.Roster, q.PriorRoster = nil, nil
	case NoPrior:
		q.PriorRoster = nil
	case NoWaiting:
		for _, view := range q.Views {
			view.Waiting = nil
		}
	}
	return q
}

func (w *world) settle(p *process) {
	c := p.core
	state := w.log[c.learned]
	if state.Settled() || !c.opened {
		c.settle = nil
		return
	}
	if w.config.Mutation == NoPrior {
		w.propose(p.node, sheet.SettleRoster{RosterVersion: state.RosterVersion})
		return
	}
	if c.settle == nil {
		c.settle = w.ask(p, state.RosterVersion)
		return
	}
	if w.now < c.settle.end {
		return
	}
	if met, _ := lease.RosterChangeConfirmed(w.question(p, state.RosterVersion, c.settle)); met {
		if _, ok := w.propose(p.node, sheet.SettleRoster{RosterVersion: state.RosterVersion}); ok {
			w.outcome.Rosters++
		}
	}
	c.settle = nil
}

func (w *world) acknowledge(p *process) {
	c := p.core
	open := c.orders[:0]
	for _, o := range c.orders {
		switch {
		case w.now > o.until:
			continue
		case o.round == nil:
			o.round = w.ask(p, o.version)
		case w.now >= o.round.end:
			if met, _ := lease.VersionConfirmed(w.question(p, o.version, o.round)); met {
				w.acked = append(w.acked, ack{o.version, w.now})
				w.outcome.Acked++
				continue
			}
			o.round = nil
		}
		open = append(open, o)
	}
	c.orders = open
}
