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

// submitTimeout bounds a call that forwards reports to another core.
const submitTimeout = 2 * viewTimeout

// outbox holds what another core has yet to receive: the newest report of each
// server and watcher, and the newest plan. At most one call to a core is in flight.
type outbox struct {
	reports   reportTable
	unchanged map[string]*wire.Unchanged // the newest one, by watcher
	plan      *wire.Plan
	sending   bool
}

func (b *outbox) isEmpty() bool {
	return len(b.reports) == 0 && len(b.unchanged) == 0 && b.plan == nil
}

// outboxFor returns the outbox of a core. A new outbox contains all stored reports
// and the current plan.
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

// Submit accepts reports on servers, statements that earlier reports are unchanged,
// and a plan. It forwards them to the other cores, unless a core has forwarded them
// to this one. The response names the watchers whose unchanged reports are not
// stored here and must be sent again. The error is the context's.
func (c *Controller) Submit(ctx context.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	unknownWatchers, err := callOwner(ctx, c, func() []string { return c.submit(req) })
	return &wire.SubmitResponse{Unknown: unknownWatchers}, err
}

// PlatformListedAtMS returns the latest time known to this core at which a watcher read the
// platform's list of servers, in Unix milliseconds of fleet time; 0 if there is none.
func (c *Controller) PlatformListedAtMS() int64 { return c.platformListedAtMS.Load() }

func (c *Controller) submit(req *wire.SubmitRequest) (unknownWatchers []string) {
	now := c.config.FleetNow()
	for _, report := range req.Reports {
		if c.reports.addReport(report, now) && !req.Relayed {
			c.queueReport(report)
		}
	}
	for _, unchanged := range req.Unchanged {
		if !c.reports.confirmUnchanged(unchanged, now) {
			unknownWatchers = append(unknownWatchers, unchanged.Watcher)
			continue
		}
		if !req.Relayed {
			c.queueUnchanged(unchanged)
		}
	}
	if listedAt := c.reports.store.ListObservedAt(); !listedAt.IsZero() {
		c.platformListedAtMS.Store(listedAt.UnixMilli())
	}
	if c.adoptPlan(req.Plan) && !req.Relayed {
		c.queuePlan(req.Plan)
	}
	c.publishReports(false)
	return unknownWatchers
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

// publishDueReports publishes the changes of servers' statuses. At intervals of
// LoadInterval it also drops obsolete reports and publishes changes of load alone.
func (c *Controller) publishDueReports(now time.Time) {
	loadDue := now.Sub(c.reports.loadsPublishedAt) >= c.config.LoadInterval
	if loadDue {
		c.reports.store.Prune(c.config.FleetNow())
		c.reports.loadsPublishedAt = now
	}
	c.publishReports(loadDue)
}

// publishReports publishes the changes of servers' statuses; those of load alone
// only if includeLoad is set. Followers are answered at the next tick, so that the
// reports of many watchers reach each follower in one response.
func (c *Controller) publishReports(includeLoad bool) {
	scope := reportScope{includeLoad: includeLoad, allWatchersReported: c.allWatchersReported()}
	changes := c.reports.takeChanges(scope, c.config.FleetNow())
	for _, change := range changes {
		c.feed.publish(change)
	}
	if len(changes) > 0 {
		c.feed.hasUndelivered = true
	}
}

// allWatchersReported reports whether this core has been running long enough for
// every watcher to have repeated its reports: one and a half repeat intervals.
func (c *Controller) allWatchersReported() bool {
	interval := serverstatus.RepeatInterval(len(c.reports.store.Servers()))
	return c.clock.Now().Sub(c.startedAt) >= interval+interval/2
}

// flushOutboxes sends each other core the contents of its outbox.
func (c *Controller) flushOutboxes() {
	for _, core := range c.otherCores() {
		c.flushOutbox(core)
	}
}

func (c *Controller) flushOutbox(core *wire.Process) {
	box := c.outboxFor(core.Name)
	if box.sending || box.isEmpty() {
		return
	}
	sent := box.reports
	req := c.drainOutbox(box)
	box.sending = true
	parent := c.ctx
	go func() {
		ctx, cancel := context.WithTimeout(parent, submitTimeout)
		defer cancel()
		resp, err := c.peers.Client(core.Address).Submit(ctx, connect.NewRequest(req))
		c.post(parent, func() {
			box.sending = false
			if err != nil {
				box.requeue(sent, req.Plan)
				return
			}
			c.queueWatcherReports(box, resp.Msg.Unknown)
		})
	}()
}

// drainOutbox empties an outbox and returns a request with its contents.
func (c *Controller) drainOutbox(box *outbox) *wire.SubmitRequest {
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

// requeue queues the reports and the plan of a failed call again, except those for
// which newer ones have been queued since. Statements of unchanged reports are not
// queued again, because watchers repeat them.
func (b *outbox) requeue(sent reportTable, plan *wire.Plan) {
	for _, byWatcher := range sent {
		for _, report := range byWatcher {
			b.reports.putIfAbsent(report)
		}
	}
	if b.plan == nil {
		b.plan = plan
	}
}

// queueWatcherReports queues all stored reports of the named watchers.
func (c *Controller) queueWatcherReports(box *outbox, watchers []string) {
	for _, byWatcher := range c.reports.latest {
		for watcher, report := range byWatcher {
			if slices.Contains(watchers, watcher) {
				box.reports.putIfAbsent(report)
			}
		}
	}
}
