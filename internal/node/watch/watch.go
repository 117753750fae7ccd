// Package watch is a front's part in watching the servers: a few fronts of each
// region read the platform's list, and a few fronts in each server's locality
// ask it for its own status. What they see goes into the front's own view at
// once and to every core.
//
// Who watches what follows from rendezvous hashing over the ready fronts, so it
// needs no agreement; a front that isn't sure watches too, as a watcher too
// many does no harm.
package watch

import (
	"cmp"
	"maps"
	"slices"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/core/merge"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config is a front's place and pace. Incarnation is that of its process. Zero
// values mean: ListEvery and StatusEvery 500 ms, SendTimeout 1 s, 3 fronts a
// region for the list, 2 a server, 2 silent polls until a server counts as
// silent, 32 polls at once.
type Config struct {
	Self         string
	Region, Zone string
	Incarnation  uint64
	ListEvery    kernel.Duration
	StatusEvery  kernel.Duration
	SendTimeout  kernel.Duration
	ListFronts   int
	ServerFronts int
	SilentAfter  int
	Workers      int
	// ListOnly leaves the servers' own status alone, for sources that have none
	// or charge for it: then servers are judged by the list and by their answers.
	ListOnly bool
}

func (c Config) orDefaults() Config {
	c.ListEvery = cmp.Or(c.ListEvery, 500*kernel.Millisecond)
	c.StatusEvery = cmp.Or(c.StatusEvery, 500*kernel.Millisecond)
	c.SendTimeout = cmp.Or(c.SendTimeout, kernel.Second)
	c.ListFronts = cmp.Or(c.ListFronts, 3)
	c.ServerFronts = cmp.Or(c.ServerFronts, 2)
	c.SilentAfter = cmp.Or(c.SilentAfter, 2)
	c.Workers = cmp.Or(c.Workers, 32)
	return c
}

// pollCost is the least time between two polls of a front, so that the bytes
// it spends on them stay bounded when it watches many servers. Drains come by
// the list, and servers that fail show in the calls that they are sent.
const pollCost = 50 * kernel.Millisecond

// View is what the watcher needs to know: the folded servers and the fronts
// that are ready. It must not be changed afterwards.
type View struct {
	Servers map[string]*wire.ServerStatus
	Fronts  []*wire.Process
}

// Watcher is a supervised service; its state belongs to the goroutine of Serve.
type Watcher struct {
	cfg      Config
	source   port.ServerSource
	peers    port.Peers
	clock    kernel.Clock
	view     func() View
	report   func(*wire.Report)
	fleetNow func() kernel.Time
	log      events.Log

	counter uint64
	results chan func()
	// observed are steps that other parts of the node hand in.
	observed chan func()
	busy     int
	listing  bool
	failing  bool
	missing  map[string]int
	sights   map[sightKey]*sight
	polls    map[string]*poll
	waiting  []string
	outbox   map[string]*outbox
	listAt   kernel.Time
	listedAt kernel.Time // fleet time of the list that they were last told of
	stoodAt  kernel.Time // when the cores were last told that the listed sights stand
	pollAt   kernel.Time
	size     int
}

type sightKey struct {
	server string
	kind   merge.Sight
}

type sight struct {
	report *wire.Report
	sent   kernel.Time
	since  kernel.Time
}

// status is what was reported last, or nil.
func (s *sight) status() *wire.ServerStatus { return s.report.GetStatus() }

type poll struct {
	running bool
	silent  int
	reach   port.Reach
}

type outbox struct {
	reports   map[string]*wire.Report
	unchanged *wire.Unchanged // to say once no report waits any more
	sending   bool
	retryAt   kernel.Time
}

// waitingKey names a report among those that wait for a core.
func waitingKey(report *wire.Report) string { return report.Watcher + " " + report.Server }

const (
	tick       = 100 * kernel.Millisecond
	goneFor    = 10 * kernel.Second
	retryAfter = 200 * kernel.Millisecond
	batchSize  = 512
	rampSeen   = 64
)

// New returns a watcher. view gives the newest view, report takes a sight into
// the front's own view, fleetNow is fleet time.
func New(cfg Config, source port.ServerSource, peers port.Peers, clock kernel.Clock, view func() View, report func(*wire.Report), fleetNow func() kernel.Time, log events.Log) *Watcher {
	cfg = cfg.orDefaults()
	return &Watcher{cfg: cfg, source: source, peers: peers, clock: clock, view: view, report: report, fleetNow: fleetNow,
		log: log, results: make(chan func(), cfg.Workers+8), observed: make(chan func(), 64), missing: map[string]int{},
		sights: map[sightKey]*sight{}, polls: map[string]*poll{}, outbox: map[string]*outbox{}}
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx kernel.Context) error {
	ctx, cancel := kernel.WithCancel(ctx)
	defer cancel()
	w.busy, w.listing, w.waiting = 0, false, nil
	for _, p := range w.polls {
		p.running = false
	}
	for _, box := range w.outbox {
		box.sending = false
	}
	w.results = make(chan func(), w.cfg.Workers+8)
	ticker := w.clock.Ticker(tick)
	defer ticker.Stop()
	for {
		w.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case done := <-w.results:
			done()
		case step := <-w.observed:
			step()
		}
	}
}

// Observe reports what this node's own requests show of a server: that it
// answers, or that it is silent. It waits for the owner, but not longer than
// the context.
func (w *Watcher) Observe(ctx kernel.Context, server string, reachable bool) {
	at := w.fleetNow()
	step := func() { w.see(merge.Own, &wire.ServerStatus{Name: server, Reachable: reachable}, at) }
	select {
	case w.observed <- step:
	case <-ctx.Done():
	}
}

// String names the service for its supervisor.
func (w *Watcher) String() string { return "watch" }

func (w *Watcher) step(ctx kernel.Context) {
	now, v := w.clock.Now(), w.view()
	w.size = len(v.Servers)
	if !w.listing && !now.Before(w.listAt) && w.mine(v.Fronts, "", w.cfg.Region, "", w.cfg.ListFronts) {
		w.listAt = now.Add(w.cfg.ListEvery)
		w.pollList(ctx)
	}
	if !w.cfg.ListOnly && !now.Before(w.pollAt) {
		w.duePolls(v)
		w.pollAt = now.Add(max(w.cfg.StatusEvery, kernel.Duration(len(w.polls))*pollCost))
	}
	for len(w.waiting) > 0 && w.busy < w.cfg.Workers {
		name := w.waiting[0]
		w.waiting = w.waiting[1:]
		if status := v.Servers[name]; status != nil {
			w.pollServer(ctx, name, status.Address)
		} else if p := w.polls[name]; p != nil {
			p.running = false
		}
	}
	w.send(ctx, now)
}

// work runs f off the owner and its result on it.
func (w *Watcher) work(ctx kernel.Context, f func() func()) {
	results := w.results
	go func() {
		done := f()
		select {
		case results <- done:
		case <-ctx.Done():
		}
	}()
}

func (w *Watcher) pollList(ctx kernel.Context) {
	w.listing = true
	at := w.fleetNow()
	w.work(ctx, func() func() {
		listing, err := w.source.List(ctx)
		return func() {
			w.listing = false
			w.takeList(listing, err, at)
		}
	})
}

func (w *Watcher) takeList(listing port.Listing, err error, at kernel.Time) {
	known := w.view().Servers
	if err == nil && len(listing.Servers) == 0 && len(known) > 0 {
		w.failed("the list is empty although servers are known")
		return
	}
	if err != nil {
		w.failed(err.Error())
		return
	}
	if w.failing {
		w.failing = false
		w.log.Emit(events.PlatformBack)
	}
	for _, name := range slices.Sorted(maps.Keys(listing.Bad)) {
		w.log.Emit(events.PlatformBadList, "server", name, "why", listing.Bad[name])
	}
	listed := map[string]bool{}
	for _, status := range listing.Servers {
		listed[status.Name] = true
		delete(w.missing, status.Name)
		if left := listing.Cold[status.Name]; left > 0 {
			status.ColdUntilMs = at.Add(left).UnixMilli()
		}
		w.see(merge.Listed, status, at)
	}
	for name, status := range known {
		if !listed[name] && listing.Bad[name] == "" {
			w.unlisted(name, status, at)
		}
	}
	for name := range w.missing {
		if known[name] == nil {
			delete(w.missing, name)
		}
	}
	w.stand(at)
}

// stand tells the cores, at the pace of keep-alives, that what was reported of
// the list still stands.
func (w *Watcher) stand(at kernel.Time) {
	now := w.clock.Now()
	if now.Sub(w.stoodAt) < merge.KeepAlive(w.size) {
		return
	}
	w.stoodAt, w.listedAt = now, at
	var digest merge.Digest
	for key, s := range w.sights {
		if key.kind == merge.Listed {
			digest.Add(s.report)
		}
	}
	unchanged := &wire.Unchanged{Watcher: merge.Watcher(w.cfg.Self, merge.Listed), Incarnation: w.cfg.Incarnation,
		Digest: uint64(digest), AtMs: at.UnixMilli()}
	for _, p := range w.peers.Processes() {
		if p.Core {
			w.box(p.Name).unchanged = unchanged
		}
	}
}

// sendWhole has all listed sights reported to a core that does not hold them.
func (w *Watcher) sendWhole(box *outbox) {
	for key, s := range w.sights {
		if !stands(key.kind, s.status()) || box.reports[waitingKey(s.report)] != nil {
			continue
		}
		report := proto.Clone(s.report).(*wire.Report)
		report.AtMs = max(report.AtMs, w.listedAt.UnixMilli())
		box.reports[waitingKey(report)] = report
	}
}

// unlisted takes a server as gone once two lists in a row lack it, and says so
// for a while only, so that every process can forget it.
func (w *Watcher) unlisted(name string, status *wire.ServerStatus, at kernel.Time) {
	w.missing[name]++
	if w.missing[name] < 2 {
		return
	}
	gone := &wire.ServerStatus{Name: name, Address: status.Address, Kind: status.Kind, Services: status.Services,
		Region: status.Region, Zone: status.Zone, State: wire.ServerState_SERVER_STATE_GONE}
	if s := w.sights[sightKey{name, merge.Listed}]; s != nil && proto.Equal(s.status(), gone) && w.clock.Now().Sub(s.since) > goneFor {
		return
	}
	w.see(merge.Listed, gone, at)
}

func (w *Watcher) failed(why string) {
	if !w.failing {
		w.failing = true
		w.log.Emit(events.PlatformSilent, "why", why)
	}
}

func (w *Watcher) duePolls(v View) {
	for _, name := range slices.Sorted(maps.Keys(v.Servers)) {
		status := v.Servers[name]
		if s := w.sights[sightKey{name, merge.Listed}]; s != nil && s.status().GetState() == wire.ServerState_SERVER_STATE_GONE {
			continue
		}
		if !w.mine(v.Fronts, name, status.Region, status.Zone, w.cfg.ServerFronts) {
			delete(w.sights, sightKey{name, merge.Own})
			continue
		}
		p := w.polls[name]
		if p == nil {
			p = &poll{}
			w.polls[name] = p
			w.log.Emit(events.WatchTaken, "server", name)
		}
		if !p.running {
			p.running = true
			w.waiting = append(w.waiting, name)
		}
	}
	for name := range w.polls {
		if v.Servers[name] == nil {
			delete(w.polls, name)
			delete(w.sights, sightKey{name, merge.Own})
			delete(w.sights, sightKey{name, merge.Listed})
		}
	}
}

func (w *Watcher) pollServer(ctx kernel.Context, name, address string) {
	w.busy++
	at := w.fleetNow()
	w.work(ctx, func() func() {
		status, reach, err := w.source.Status(ctx, name, address)
		return func() {
			w.busy--
			if p := w.polls[name]; p != nil {
				p.running = false
				w.takeStatus(p, name, status, reach, err, at)
			}
		}
	})
}

func (w *Watcher) takeStatus(p *poll, name string, status *wire.ServerStatus, reach port.Reach, err error, at kernel.Time) {
	switch reach {
	case port.Answers:
		p.silent = 0
		w.see(merge.Own, status, at)
	case port.Refuses:
		p.silent = 0
		w.see(merge.Own, &wire.ServerStatus{Name: name, State: wire.ServerState_SERVER_STATE_GONE}, at)
	default:
		p.silent++
		if p.silent < w.cfg.SilentAfter {
			return
		}
		w.see(merge.Own, &wire.ServerStatus{Name: name}, at)
	}
	if said, told := reaches[reach]; told && p.reach != reach {
		w.log.Emit(said, "server", name, "why", errText(err))
	}
	p.reach = reach
}

var reaches = map[port.Reach]events.Event{port.Silent: events.ServerSilent, port.Garbled: events.ServerBadStatus}

var states = map[wire.ServerState]events.Event{
	wire.ServerState_SERVER_STATE_READY:    events.ServerReady,
	wire.ServerState_SERVER_STATE_COLD:     events.ServerCold,
	wire.ServerState_SERVER_STATE_DRAINING: events.ServerDraining,
	wire.ServerState_SERVER_STATE_LEAVING:  events.ServerLeaving,
	wire.ServerState_SERVER_STATE_GONE:     events.ServerGone,
}

// tell logs what a sight shows that the last one of its kind did not.
func (w *Watcher) tell(kind merge.Sight, old, status *wire.ServerStatus) {
	by := "itself"
	if kind == merge.Listed {
		by = "the platform"
	}
	if kind == merge.Own && status.Reachable && old.GetIncarnation() != status.Incarnation {
		w.log.Emit(events.ServerSeen, "server", status.Name, "incarnation", status.Incarnation)
	}
	if event, told := states[status.State]; told && old.GetState() != status.State {
		w.log.Emit(event, "server", status.Name, "by", by)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// see reports a sight that changed, or whose keep-alive is due. at is the fleet
// time at which the question was asked.
func (w *Watcher) see(kind merge.Sight, status *wire.ServerStatus, at kernel.Time) {
	key, now := sightKey{status.Name, kind}, w.clock.Now()
	s := w.sights[key]
	if s == nil {
		s = &sight{since: now}
		w.sights[key] = s
	} else if !urgent(s.status(), status) && (stands(kind, status) || now.Sub(s.sent) < merge.KeepAlive(w.size)) {
		return
	}
	w.tell(kind, s.status(), status)
	if s.report == nil || s.status().State != status.State {
		s.since = now
	}
	s.sent = now
	w.counter++
	report := &wire.Report{Watcher: merge.Watcher(w.cfg.Self, kind), Server: status.Name, Incarnation: w.cfg.Incarnation,
		Counter: w.counter, Status: status, AtMs: at.UnixMilli()}
	s.report = report
	w.report(report)
	for _, p := range w.peers.Processes() {
		if p.Core {
			w.box(p.Name).reports[waitingKey(report)] = report
		}
	}
}

// stands tells whether a sight that has not changed is covered by what the
// cores are told of all of its kind at once.
func stands(kind merge.Sight, status *wire.ServerStatus) bool {
	return kind == merge.Listed && status.State != wire.ServerState_SERVER_STATE_GONE
}

// urgent tells whether a sight differs in more than load. While a server ramps
// its answers count as more, since its cap grows with them.
func urgent(a, b *wire.ServerStatus) bool {
	return a == nil || a.State != b.State || a.Reachable != b.Reachable || a.Incarnation != b.Incarnation || a.Slots != b.Slots ||
		a.LeaveAtMs != b.LeaveAtMs || a.Address != b.Address || a.Region != b.Region || a.Zone != b.Zone || a.Kind != b.Kind ||
		!slices.Equal(a.Services, b.Services) || coldMoved(a, b) || a.Answered != b.Answered && a.Answered < rampSeen
}

// coldMargin is by how much the end of a server's cold time, which each list
// tells anew, may move before that is news; in milliseconds.
const coldMargin = 400

func coldMoved(a, b *wire.ServerStatus) bool {
	moved := a.ColdUntilMs - b.ColdUntilMs
	return (a.ColdUntilMs == 0) != (b.ColdUntilMs == 0) || moved > coldMargin || moved < -coldMargin
}

func (w *Watcher) box(core string) *outbox {
	box := w.outbox[core]
	if box == nil {
		box = &outbox{reports: map[string]*wire.Report{}}
		w.outbox[core] = box
	}
	return box
}

// send hands what waits to every core, one batch under way at each. What was
// not taken waits on, unless something newer has replaced it.
func (w *Watcher) send(ctx kernel.Context, now kernel.Time) {
	for _, p := range w.peers.Processes() {
		if !p.Core {
			continue
		}
		box := w.box(p.Name)
		if box.sending || len(box.reports) == 0 && box.unchanged == nil || now.Before(box.retryAt) {
			continue
		}
		batch := map[string]*wire.Report{}
		for key, report := range box.reports {
			if len(batch) == batchSize {
				break
			}
			batch[key] = report
			delete(box.reports, key)
		}
		var unchanged *wire.Unchanged
		if len(box.reports) == 0 {
			unchanged, box.unchanged = box.unchanged, nil
		}
		box.sending = true
		client := w.peers.Client(p.Address)
		w.work(ctx, func() func() {
			unknown, err := w.submit(ctx, client, batch, unchanged)
			return func() {
				box.sending = false
				if err == nil {
					if len(unknown) > 0 {
						w.sendWhole(box)
					}
					return
				}
				box.retryAt = w.clock.Now().Add(retryAfter)
				for key, report := range batch {
					if box.reports[key] == nil {
						box.reports[key] = report
					}
				}
			}
		})
	}
}

type submitter interface {
	Submit(kernel.Context, *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error)
}

// submit returns the names of watchers whose unchanged reports the core asks for.
func (w *Watcher) submit(ctx kernel.Context, client submitter, batch map[string]*wire.Report, unchanged *wire.Unchanged) (unknown []string, err error) {
	ctx, cancel := kernel.WithTimeout(ctx, w.cfg.SendTimeout)
	defer cancel()
	request := &wire.SubmitRequest{From: w.cfg.Self}
	for _, key := range slices.Sorted(maps.Keys(batch)) {
		request.Reports = append(request.Reports, batch[key])
	}
	if unchanged != nil {
		request.Unchanged = append(request.Unchanged, unchanged)
	}
	resp, err := client.Submit(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Unknown, nil
}
