package core

import (
	"connectrpc.com/connect"

	"stepwick/internal/core/duty"
	"stepwick/internal/core/merge"
	"stepwick/internal/core/plan"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/wire"
)

// reports holds what watchers said, and which of it rode the feed. What a
// server's folded status rests on is fed when the status changed in a way that
// matters; mere load is fed at a slower pace.
type reports struct {
	merged *merge.Reports
	latest map[string]map[string]*wire.Report // server -> watcher
	unfed  map[string]map[string]*wire.Report
	folded map[string]*wire.ServerStatus // as of the last feeding
	loadAt kernel.Time
}

func newReports(config merge.Config) *reports {
	return &reports{merged: merge.New(config), latest: map[string]map[string]*wire.Report{},
		unfed: map[string]map[string]*wire.Report{}, folded: map[string]*wire.ServerStatus{}}
}

func put(table map[string]map[string]*wire.Report, report *wire.Report) {
	row, ok := table[report.Server]
	if !ok {
		row = map[string]*wire.Report{}
		table[report.Server] = row
	}
	row[report.Watcher] = report
}

func (r *reports) merge(report *wire.Report, now kernel.Time) bool {
	if !r.merged.Merge(report, now) {
		return false
	}
	put(r.latest, report)
	put(r.unfed, report)
	return true
}

// fed returns all reports that count, for a snapshot.
func (r *reports) fed() []*wire.Report { return r.merged.Reports() }

// due takes the reports that ride the feed now. Load tells that mere changes
// of load ride along.
func (r *reports) due(load bool) []*wire.Report {
	servers := r.merged.Servers()
	var out []*wire.Report
	for server, row := range r.unfed {
		status, last := servers[server], r.folded[server]
		if status == last || (!load && !matters(last, status)) {
			continue
		}
		for _, report := range row {
			out = append(out, report)
		}
		delete(r.unfed, server)
		r.folded[server] = status
	}
	for server := range r.folded {
		if _, known := servers[server]; !known {
			delete(r.folded, server)
			delete(r.latest, server)
			delete(r.unfed, server)
		}
	}
	return out
}

// matters tells whether a status differs in more than load.
func matters(old, status *wire.ServerStatus) bool {
	if old == nil || status == nil {
		return old != status
	}
	return old.State != status.State || old.Reachable != status.Reachable || old.Incarnation != status.Incarnation ||
		old.Address != status.Address || old.Slots != status.Slots || old.LeaveAtMs != status.LeaveAtMs ||
		old.Region != status.Region || old.Zone != status.Zone || old.Kind != status.Kind ||
		len(old.Services) != len(status.Services) || (old.Answered == 0) != (status.Answered == 0)
}

// outbox keeps what another core has not taken yet: the newest report of each
// watcher and server, and the newest plan.
type outbox struct {
	reports map[string]map[string]*wire.Report
	plan    *wire.Plan
	busy    bool
}

func (c *Core) outbox(core string) *outbox {
	box, ok := c.outboxes[core]
	if !ok {
		box = &outbox{reports: map[string]map[string]*wire.Report{}, plan: c.plan}
		for _, row := range c.reports.latest {
			for _, report := range row {
				put(box.reports, report)
			}
		}
		c.outboxes[core] = box
	}
	return box
}

// Submit takes reports and a plan. What came from a watcher goes on to the
// other cores; what another core relayed goes no further.
func (c *Core) Submit(ctx kernel.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	_, err := ask(ctx, c, func() bool {
		c.submit(req)
		return true
	})
	return &wire.SubmitResponse{}, err
}

func (c *Core) submit(req *wire.SubmitRequest) {
	now := c.config.FleetNow()
	for _, report := range req.Reports {
		if !c.reports.merge(report, now) || req.Relayed {
			continue
		}
		for _, p := range c.others() {
			put(c.outbox(p.Name).reports, report)
		}
	}
	if c.takePlan(req.Plan) && !req.Relayed {
		for _, p := range c.others() {
			c.outbox(p.Name).plan = req.Plan
		}
	}
	c.feedReports(false)
}

// foldReports lets old reports go and feeds mere load at its pace.
func (c *Core) foldReports(now kernel.Time) {
	load := now.Sub(c.reports.loadAt) >= c.config.LoadEvery
	if load {
		c.reports.merged.Expire(c.config.FleetNow())
		c.reports.loadAt = now
	}
	c.feedReports(load)
}

func (c *Core) feedReports(load bool) {
	due := c.reports.due(load)
	for _, report := range due {
		c.feed.publish(&wire.Change{What: &wire.Change_Report{Report: report}})
	}
	if len(due) > 0 {
		c.answerWaiters()
	}
}

// takePlan takes up and feeds a plan of a higher (term, number).
func (c *Core) takePlan(next *wire.Plan) bool {
	if next == nil {
		return false
	}
	if !plan.Newer(next, c.plan) || next.Term < c.state.Duties[duty.Planner].Term {
		c.log.Emit(events.PlanOlder, "term", next.Term, "number", next.Number)
		return false
	}
	c.plan = next
	c.feed.publish(&wire.Change{What: &wire.Change_Plan{Plan: next}})
	c.answerWaiters()
	return true
}

// flushAll sends each other core what it has not taken, one call at a time.
func (c *Core) flushAll() {
	for _, p := range c.others() {
		c.flush(p)
	}
}

func (c *Core) flush(p *wire.Process) {
	box := c.outbox(p.Name)
	if box.busy || (len(box.reports) == 0 && box.plan == nil) {
		return
	}
	sent := box.reports
	req := &wire.SubmitRequest{From: c.config.Self, Plan: box.plan, Relayed: true}
	for _, row := range sent {
		for _, report := range row {
			req.Reports = append(req.Reports, report)
		}
	}
	box.reports, box.plan, box.busy = map[string]map[string]*wire.Report{}, nil, true
	parent := c.ctx
	go func() {
		ctx, cancel := kernel.WithTimeout(parent, 2*viewTimeout)
		defer cancel()
		_, err := c.peers.Client(p.Address).Submit(ctx, connect.NewRequest(req))
		c.post(parent, func() {
			box.busy = false
			if err == nil {
				return
			}
			for server, row := range sent {
				for watcher, report := range row {
					if _, newer := box.reports[server][watcher]; !newer {
						put(box.reports, report)
					}
				}
			}
			if box.plan == nil {
				box.plan = req.Plan
			}
		})
	}()
}
