package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// reports holds what watchers said and what the feed told of it. The feed
// tells what a core folded, a server at a time: whole when the status changed
// in a way that matters, and mere load at a slower pace and within a budget, so
// that a front's part of the feed does not grow with the watchers, and with the
// servers only by what happens to them.
type reports struct {
	self        string
	incarnation uint64
	counter     uint64
	merged      *serverstatus.Reports
	latest      map[string]map[string]*wire.Report // server -> watcher
	unfed       map[string]bool                    // servers with news that was not fed
	fed         map[string]*wire.Report            // the newest fold that was fed
	loads       map[string]*wire.Load              // newer load that was fed
	loadAt      time.Time
}

// loadBudget bounds the servers whose mere load is fed at one turn.
const loadBudget = 100

func newReports(self string, incarnation uint64, config serverstatus.Config) *reports {
	return &reports{self: self, incarnation: incarnation, merged: serverstatus.New(config), latest: map[string]map[string]*wire.Report{},
		unfed: map[string]bool{}, fed: map[string]*wire.Report{}, loads: map[string]*wire.Load{}}
}

func put(table map[string]map[string]*wire.Report, report *wire.Report) {
	row, ok := table[report.Server]
	if !ok {
		row = map[string]*wire.Report{}
		table[report.Server] = row
	}
	row[report.Watcher] = report
}

func (r *reports) merge(report *wire.Report, now time.Time) bool {
	if !r.merged.Merge(report, now) {
		return false
	}
	put(r.latest, report)
	r.unfed[report.Server] = true
	return true
}

// refresh takes the word of a watcher that its reports stand; it is false where
// others are held.
func (r *reports) refresh(unchanged *wire.Unchanged, now time.Time) bool {
	servers, known := r.merged.Refresh(unchanged, now)
	for _, server := range servers {
		r.unfed[server] = true
	}
	return known
}

// snapshot returns the folds that were fed, with the newest load.
func (r *reports) snapshot() []*wire.Report {
	all := make([]*wire.Report, 0, len(r.fed))
	for _, server := range slices.Sorted(maps.Keys(r.fed)) {
		report := r.fed[server]
		if load := r.loads[server]; load != nil {
			report = proto.Clone(report).(*wire.Report)
			report.AtMs = load.AtMs
			report.Status.Running, report.Status.Queued = load.Running, load.Queued
			report.Status.Answered, report.Status.KvUsed = load.Answered, float64(load.KvUsed)
		}
		all = append(all, report)
	}
	return all
}

// due takes the changes that ride the feed now. Until a core that has just
// begun has heard of every watcher, it tells only what keeps requests away: its
// fold may lack the one sight that says so.
func (r *reports) due(load, whole bool, now time.Time) []*wire.Change {
	var out []*wire.Change
	servers, budget := r.merged.Servers(), loadBudget
	for server := range r.unfed {
		status, last := servers[server], r.fed[server]
		switch {
		case status == nil:
			r.forget(server)
		case last == nil || matters(last.Status, status):
			if !whole && serverstatus.Severity(status.State) < serverstatus.Severity(wire.ServerState_SERVER_STATE_DRAINING) {
				continue
			}
			out = append(out, &wire.Change{What: &wire.Change_Report{Report: r.fold(status, now)}})
		case load && whole && budget > 0:
			delete(r.unfed, server)
			if next := r.load(last.Status, status, now); next != nil {
				out = append(out, &wire.Change{What: &wire.Change_Load{Load: next}})
				budget--
			}
		}
	}
	return out
}

func (r *reports) forget(server string) {
	delete(r.unfed, server)
	delete(r.fed, server)
	delete(r.loads, server)
	delete(r.latest, server)
}

func (r *reports) fold(status *wire.ServerStatus, now time.Time) *wire.Report {
	r.counter++
	report := &wire.Report{Watcher: serverstatus.Watcher(r.self, serverstatus.Folded), Server: status.Name, Incarnation: r.incarnation,
		Counter: r.counter, Status: status, AtMs: now.UnixMilli()}
	r.fed[status.Name] = report
	delete(r.loads, status.Name)
	delete(r.unfed, status.Name)
	return report
}

// load returns the load to feed, or nil when it is what was fed last.
func (r *reports) load(last, status *wire.ServerStatus, now time.Time) *wire.Load {
	next := &wire.Load{Server: status.Name, Incarnation: status.Incarnation, Running: status.Running, Queued: status.Queued,
		Answered: status.Answered, KvUsed: float32(status.KvUsed), AtMs: now.UnixMilli()}
	if held := r.loads[status.Name]; held != nil {
		if held.Running == next.Running && held.Queued == next.Queued && held.Answered == next.Answered && held.KvUsed == next.KvUsed {
			return nil
		}
	} else if last.Running == next.Running && last.Queued == next.Queued && last.Answered == next.Answered {
		return nil
	}
	r.loads[status.Name] = next
	return next
}

// matters tells whether a status differs in more than load.
func matters(old, status *wire.ServerStatus) bool {
	if old == nil || status == nil {
		return old != status
	}
	return old.State != status.State || old.Reachable != status.Reachable || old.Incarnation != status.Incarnation ||
		old.Address != status.Address || old.Slots != status.Slots || old.LeaveAtMs != status.LeaveAtMs ||
		old.Region != status.Region || old.Zone != status.Zone || old.Kind != status.Kind ||
		len(old.Services) != len(status.Services) || coldMoved(old.ColdUntilMs, status.ColdUntilMs) || (old.Answered == 0) != (status.Answered == 0)
}

// coldMargin is by how much the end of a server's cold time may move before it
// is news; in milliseconds.
const coldMargin = 500

func coldMoved(old, now int64) bool {
	return (old == 0) != (now == 0) || old-now > coldMargin || now-old > coldMargin
}

// outbox keeps what another core has not taken yet: the newest report of each
// watcher and server, and the newest plan.
type outbox struct {
	reports   map[string]map[string]*wire.Report
	unchanged map[string]*wire.Unchanged // the newest of each watcher
	plan      *wire.Plan
	busy      bool
}

func (c *Core) outbox(core string) *outbox {
	box, ok := c.outboxes[core]
	if !ok {
		box = &outbox{reports: map[string]map[string]*wire.Report{}, unchanged: map[string]*wire.Unchanged{}, plan: c.plan}
		for _, row := range c.reports.latest {
			for _, report := range row {
				put(box.reports, report)
			}
		}
		c.outboxes[core] = box
	}
	return box
}

// Submit takes reports and a plan, and the word that earlier reports stand.
// What came from a watcher goes on to the other cores; what another core relayed
// goes no further.
func (c *Core) Submit(ctx context.Context, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	unknown, err := ask(ctx, c, func() []string { return c.submit(req) })
	return &wire.SubmitResponse{Unknown: unknown}, err
}

// ListedAt returns the newest instant, in ms of fleet time, at which a watcher
// saw the platform's list, as far as this core was told; 0 before the first.
func (c *Core) ListedAt() int64 { return c.listedAt.Load() }

// submit returns the watchers whose unchanged reports are not held here.
func (c *Core) submit(req *wire.SubmitRequest) (unknown []string) {
	now := c.config.FleetNow()
	for _, report := range req.Reports {
		if !c.reports.merge(report, now) || req.Relayed {
			continue
		}
		for _, p := range c.others() {
			put(c.outbox(p.Name).reports, report)
		}
	}
	for _, unchanged := range req.Unchanged {
		if !c.reports.refresh(unchanged, now) {
			unknown = append(unknown, unchanged.Watcher)
			continue
		}
		if req.Relayed {
			continue
		}
		for _, p := range c.others() {
			c.outbox(p.Name).unchanged[unchanged.Watcher] = unchanged
		}
	}
	if at := c.reports.merged.ListedAt(); !at.IsZero() {
		c.listedAt.Store(at.UnixMilli())
	}
	if c.takePlan(req.Plan) && !req.Relayed {
		for _, p := range c.others() {
			c.outbox(p.Name).plan = req.Plan
		}
	}
	c.feedReports(false)
	return unknown
}

// foldReports lets old reports go and feeds mere load at its pace.
func (c *Core) foldReports(now time.Time) {
	load := now.Sub(c.reports.loadAt) >= c.config.LoadEvery
	if load {
		c.reports.merged.Expire(c.config.FleetNow())
		c.reports.loadAt = now
	}
	c.feedReports(load)
}

// heardAll tells whether this core has run long enough that every watcher has
// repeated what it sees.
func (c *Core) heardAll() bool {
	n := len(c.reports.merged.Servers())
	return c.clock.Now().Sub(c.begun) >= serverstatus.KeepAlive(n)+serverstatus.KeepAlive(n)/2
}

// feedReports puts what came up on the feed. Those who wait are answered at the
// next tick, so that reports of many watchers cost each of them one answer.
func (c *Core) feedReports(load bool) {
	due := c.reports.due(load, c.heardAll(), c.config.FleetNow())
	for _, change := range due {
		c.feed.publish(change)
	}
	c.untold = c.untold || len(due) > 0
}

// takePlan takes up and feeds a plan of a higher (term, number).
func (c *Core) takePlan(next *wire.Plan) bool {
	if next == nil {
		return false
	}
	if !plan.Newer(next, c.plan) || next.Term < c.state.Roles[election.Planner].Term {
		c.log.Emit(events.PlanOlder, "term", next.Term, "number", next.Number)
		return false
	}
	next, fed := repeating(c.plan, next)
	c.plan = next
	c.feed.publish(&wire.Change{What: &wire.Change_Plan{Plan: fed}})
	c.answerWaiters()
	return true
}

// repeating returns the plan to hold and the one to feed: where shares and caps
// are those of the plan before, the feed says so in their place.
func repeating(prior, next *wire.Plan) (held, fed *wire.Plan) {
	held = proto.Clone(next).(*wire.Plan)
	held.Repeats = 0
	if prior == nil || prior.Term != next.Term || len(next.Shares)+len(next.Caps) == 0 ||
		!slices.EqualFunc(prior.Shares, next.Shares, func(a, b *wire.Share) bool { return proto.Equal(a, b) }) ||
		!slices.EqualFunc(prior.Caps, next.Caps, func(a, b *wire.Cap) bool { return proto.Equal(a, b) }) {
		return held, held
	}
	held.Repeats = cmp.Or(prior.Repeats, prior.Number)
	fed = proto.Clone(held).(*wire.Plan)
	fed.Shares, fed.Caps = nil, nil
	return held, fed
}

// flushAll sends each other core what it has not taken, one call at a time.
func (c *Core) flushAll() {
	for _, p := range c.others() {
		c.flush(p)
	}
}

func (c *Core) flush(p *wire.Process) {
	box := c.outbox(p.Name)
	if box.busy || (len(box.reports) == 0 && len(box.unchanged) == 0 && box.plan == nil) {
		return
	}
	sent := box.reports
	req := &wire.SubmitRequest{From: c.config.Self, Plan: box.plan, Relayed: true}
	for _, row := range sent {
		for _, report := range row {
			req.Reports = append(req.Reports, report)
		}
	}
	for _, watcher := range slices.Sorted(maps.Keys(box.unchanged)) {
		req.Unchanged = append(req.Unchanged, box.unchanged[watcher])
	}
	clear(box.unchanged)
	box.reports, box.plan, box.busy = map[string]map[string]*wire.Report{}, nil, true
	parent := c.ctx
	go func() {
		ctx, cancel := context.WithTimeout(parent, 2*viewTimeout)
		defer cancel()
		resp, err := c.peers.Client(p.Address).Submit(ctx, connect.NewRequest(req))
		c.post(parent, func() {
			box.busy = false
			if err == nil {
				c.sendWhole(box, resp.Msg.Unknown)
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

// sendWhole puts all reports of some watchers into an outbox.
func (c *Core) sendWhole(box *outbox, watchers []string) {
	for _, row := range c.reports.latest {
		for watcher, report := range row {
			if slices.Contains(watchers, watcher) && box.reports[report.Server][watcher] == nil {
				put(box.reports, report)
			}
		}
	}
}
