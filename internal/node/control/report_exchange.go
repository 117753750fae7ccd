package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/wire"
)

// submitTimeout bounds one call that forwards reports to another core.
const submitTimeout = 2 * viewTimeout

// outbox holds what another core has not received yet: the newest report of each
// server and watcher, and the newest plan. At most one call to the core is in
// flight.
type outbox struct {
	reports   reportTable
	unchanged map[string]*wire.Unchanged // the newest of each watcher
	plan      *wire.Plan
	sending   bool
}

func (b *outbox) empty() bool {
	return len(b.reports) == 0 && len(b.unchanged) == 0 && b.plan == nil
}

// outboxFor returns the outbox of a core; a new one holds all that is known.
func (c *Controller) outboxFor(core string) *outbox {
	box, ok := c.outboxes[core]
	if !ok {
		box = &outbox{
			reports:   reportTable{},
			unchanged: map[string]*wire.Unchanged{},
			plan:      c.planner.current,
		}
		for _, byWatcher := range c.reports.latest {
			for _, report := range byWatcher {
				box.reports.put(report)
			}
		}
		c.outboxes[core] = box
	}
	return box
}

func (c *Controller) queuePlan(next *wire.Plan) {
	for _, core := range c.otherCores() {
		c.outboxFor(core.Name).plan = next
	}
}

// Submit takes reports on servers, statements that earlier ones are unchanged, and
// a plan. What came from a watcher is forwarded to the other cores; what another
// core forwarded is not. The response names the watchers whose unchanged reports
// are not stored here. The error is the context's.
func (c *Controller) Submit(ctx context.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	unknown, err := query(ctx, c, func() []string { return c.submit(req) })
	return &wire.SubmitResponse{Unknown: unknown}, err
}

// ListedAt returns the newest instant, in ms of fleet time, at which a watcher saw
// the platform's list, as far as this core knows; 0 before the first.
func (c *Controller) ListedAt() int64 { return c.listedAtMS.Load() }

func (c *Controller) submit(req *wire.SubmitRequest) (unknown []string) {
	now := c.config.FleetNow()
	for _, report := range req.Reports {
		if c.reports.add(report, now) && !req.Relayed {
			c.queueReport(report)
		}
	}
	for _, unchanged := range req.Unchanged {
		if !c.reports.confirmUnchanged(unchanged, now) {
			unknown = append(unknown, unchanged.Watcher)
			continue
		}
		if !req.Relayed {
			c.queueUnchanged(unchanged)
		}
	}
	if listedAt := c.reports.store.ListObservedAt(); !listedAt.IsZero() {
		c.listedAtMS.Store(listedAt.UnixMilli())
	}
	if c.adoptPlan(req.Plan) && !req.Relayed {
		c.queuePlan(req.Plan)
	}
	c.publishReports(false)
	return unknown
}

func (c *Controller) queueReport(report *wire.Report) {
	for _, core := range c.otherCores() {
		c.outboxFor(core.Name).reports.put(report)
	}
}

func (c *Controller) queueUnchanged(unchanged *wire.Unchanged) {
	for _, core := range c.otherCores() {
		c.outboxFor(core.Name).unchanged[unchanged.Watcher] = unchanged
	}
}

// publishDueReports drops old reports and publishes changes of load at their pace,
// any others at once.
func (c *Controller) publishDueReports(now time.Time) {
	loadDue := now.Sub(c.reports.loadsPublishedAt) >= c.config.LoadInterval
	if loadDue {
		c.reports.store.Prune(c.config.FleetNow())
		c.reports.loadsPublishedAt = now
	}
	c.publishReports(loadDue)
}

// publishReports publishes the changes of servers' statuses. Followers are answered
// at the next tick, so that the reports of many watchers cost each one answer.
func (c *Controller) publishReports(load bool) {
	scope := reportScope{load: load, allWatchersReported: c.allWatchersReported()}
	changes := c.reports.takeChanges(scope, c.config.FleetNow())
	for _, change := range changes {
		c.feed.publish(change)
	}
	if len(changes) > 0 {
		c.feed.unanswered = true
	}
}

// allWatchersReported reports whether this core has run long enough that every
// watcher has repeated its reports.
func (c *Controller) allWatchersReported() bool {
	interval := serverstatus.RepeatInterval(len(c.reports.store.Servers()))
	return c.clock.Now().Sub(c.startedAt) >= interval+interval/2
}

// flushOutboxes sends each other core what it has not received.
func (c *Controller) flushOutboxes() {
	for _, core := range c.otherCores() {
		c.flushOutbox(core)
	}
}

func (c *Controller) flushOutbox(core *wire.Process) {
	box := c.outboxFor(core.Name)
	if box.sending || box.empty() {
		return
	}
	sent := box.reports
	req := c.takeSubmission(box)
	box.sending = true
	parent := c.ctx
	go func() {
		ctx, cancel := context.WithTimeout(parent, submitTimeout)
		defer cancel()
		resp, err := c.peers.Client(core.Address).Submit(ctx, connect.NewRequest(req))
		c.post(parent, func() {
			box.sending = false
			if err != nil {
				box.restore(sent, req.Plan)
				return
			}
			c.queueReportsOf(box, resp.Msg.Unknown)
		})
	}()
}

// takeSubmission empties an outbox into a request.
func (c *Controller) takeSubmission(box *outbox) *wire.SubmitRequest {
	req := &wire.SubmitRequest{From: c.config.Self, Plan: box.plan, Relayed: true}
	for _, byWatcher := range box.reports {
		for _, report := range byWatcher {
			req.Reports = append(req.Reports, report)
		}
	}
	for _, watcher := range slices.Sorted(maps.Keys(box.unchanged)) {
		req.Unchanged = append(req.Unchanged, box.unchanged[watcher])
	}
	box.reports = reportTable{}
	clear(box.unchanged)
	box.plan = nil
	return req
}

// restore puts back what a failed call carried, where nothing newer was queued
// since. Statements of unchanged reports are not: watchers repeat them.
func (b *outbox) restore(sent reportTable, plan *wire.Plan) {
	for _, byWatcher := range sent {
		for _, report := range byWatcher {
			b.reports.putIfAbsent(report)
		}
	}
	if b.plan == nil {
		b.plan = plan
	}
}

// queueReportsOf queues all reports of some watchers.
func (c *Controller) queueReportsOf(box *outbox, watchers []string) {
	for _, byWatcher := range c.reports.latest {
		for watcher, report := range byWatcher {
			if slices.Contains(watchers, watcher) {
				box.reports.putIfAbsent(report)
			}
		}
	}
}
