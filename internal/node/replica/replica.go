// Package replica is the runtime of one core's agreement: an owner goroutine
// that decides with internal/core/ballot, a log on disk, and the calls to the
// other cores.
package replica

import (
	"bytes"
	"math/rand/v2"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/core/sheet"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// Config of a replica; zero fields take the defaults named.
type Config struct {
	Self            string
	Voters          int             // cores of a first formation; 3
	FirstSheet      []byte          // JSON of a sheet to offer to a formation that has none, or nil
	SheetMax        int             // bound of FirstSheet in bytes; 16 MiB
	SnapshotRecords int             // records between snapshots; 1024
	SnapshotBytes   int64           // bytes of records between snapshots; 16 MiB
	CallTimeout     kernel.Duration // of one call in a ballot; 300ms
	EntryTimeout    kernel.Duration // of one call in a recovery, which waits for slow disks; 10s
	Interval        kernel.Duration // between two looks at the other cores; 500ms
	Seed            uint64          // of the random waits; 0 is drawn from the name
	// Replaced is told, perhaps more than once, that another process holds this
	// core's name in a later disk life, or that the formation has no place for
	// it; may be nil.
	Replaced func()
}

func (c Config) withDefaults() Config {
	def := func(value *kernel.Duration, or kernel.Duration) {
		if *value <= 0 {
			*value = or
		}
	}
	def(&c.CallTimeout, 300*kernel.Millisecond)
	def(&c.EntryTimeout, 10*kernel.Second)
	def(&c.Interval, 500*kernel.Millisecond)
	if c.Voters <= 0 {
		c.Voters = 3
	}
	if c.SheetMax <= 0 {
		c.SheetMax = 16 << 20
	}
	if c.SnapshotRecords <= 0 {
		c.SnapshotRecords = 1024
	}
	if c.SnapshotBytes <= 0 {
		c.SnapshotBytes = 16 << 20
	}
	if c.Seed == 0 {
		c.Seed = xxhash.Sum64String(c.Self)
	}
	return c
}

// Log is what a replica asks of its log; see disklog.Log.
type Log interface {
	Append(records [][]byte, urgent bool) (place uint64, err error)
	Snapshot(data []byte) (done <-chan error)
	Place() uint64
	Synced() <-chan uint64
	Dead() <-chan struct{}
	Err() error
	Full() bool
	Close() error
}

// Replay is what a log held when it was opened.
type Replay = disklog.Replay

// Open opens the log anew, each time that the replica starts.
type Open func() (Log, Replay, error)

// OnDisk opens logs in the folder of the configuration.
func OnDisk(cfg disklog.Config) Open {
	return func() (Log, Replay, error) {
		log, replay, err := disklog.Open(cfg)
		if err != nil {
			return nil, replay, err
		}
		return log, replay, nil
	}
}

// Replica takes part in the agreement under one core's name.
type Replica struct {
	cfg       Config
	open      Open
	peers     port.Peers
	clock     kernel.Clock
	events    events.Log
	owner     atomic.Pointer[owner]
	view      atomic.Pointer[view]
	proposals chan proposal
	behind    chan string
	reached   atomic.Bool // a majority answered at the last look
	salt      uint64      // of the disk lives that this process announces
}

// view is what is published: it is synced here, and never steps back.
type view struct {
	state     sheet.State
	recent    []*wire.Chosen
	standing  wire.Standing
	formation string
	voters    []string
	life      uint64
	waiting   string
	changed   chan struct{}
}

// saltBound bounds the salt of disk lives, which then still grow for ever.
const saltBound = 1 << 32

// New returns a replica that begins its work in Serve.
func New(cfg Config, open Open, peers port.Peers, clock kernel.Clock, log events.Log) *Replica {
	r := &Replica{cfg: cfg.withDefaults(), open: open, peers: peers, clock: clock, events: log,
		proposals: make(chan proposal, 64), behind: make(chan string, 1), salt: uint64(rand.Int64N(saltBound))}
	r.view.Store(&view{standing: wire.Standing_STANDING_BLANK, changed: make(chan struct{})})
	return r
}

// Serve opens the log and works until the context ends or the log fails; then
// it may be called again.
func (r *Replica) Serve(ctx kernel.Context) error {
	o, err := r.start()
	if err != nil {
		r.events.Emit(r.failureEvent(err), "core", r.cfg.Self, "error", err)
		r.stopped(err)
		return err
	}
	ctx, cancel := kernel.WithCancel(ctx)
	r.owner.Store(o)
	room := make(chan struct{}, 2)
	go func() { r.conduct(ctx); room <- struct{}{} }()
	go func() { r.keep(ctx); room <- struct{}{} }()
	err = o.run(ctx)
	r.owner.Store(nil)
	close(o.gone)
	cancel()
	<-room
	<-room
	_ = o.log.Close()
	if err != nil && ctx.Err() == nil {
		r.events.Emit(r.failureEvent(err), "core", r.cfg.Self, "error", err)
	}
	r.stopped(err)
	return err
}

func (r *Replica) failureEvent(err error) events.Event {
	switch kernel.AsFault(err).Code {
	case kernel.BadRecord:
		return events.BadRecord
	case kernel.DiskFull:
		return events.DiskFull
	}
	return events.DiskFailed
}

// stopped publishes that the core does not vote while its log is closed.
func (r *Replica) stopped(err error) {
	next := *r.view.Load()
	next.standing, next.waiting = wire.Standing_STANDING_UNSPECIFIED, "the log is closed"
	if err != nil {
		next.waiting = err.Error()
		if kernel.AsFault(err).Code == kernel.DiskFull {
			next.standing = wire.Standing_STANDING_DISK_FULL
		}
	}
	r.publish(next)
}

func (r *Replica) publish(next view) {
	old := r.view.Load()
	next.changed = make(chan struct{})
	if next.state.Epoch < old.state.Epoch {
		next.state, next.recent = old.state, old.recent
	}
	r.view.Store(&next)
	close(old.changed)
	if next.standing != old.standing {
		r.events.Emit(events.StandingChanged, "core", r.cfg.Self, "standing", next.standing.String(), "waiting", next.waiting)
	}
}

// Current returns the newest state that is applied and synced here.
func (r *Replica) Current() sheet.State { return r.view.Load().state }

// Changed returns a channel that is closed when a newer state or standing is
// published. Take it before Current.
func (r *Replica) Changed() <-chan struct{} { return r.view.Load().changed }

// Learned returns the commands that Current holds after an epoch, oldest first;
// whole is false when some of them are no longer kept, or the epoch is beyond
// Current's.
func (r *Replica) Learned(after uint64) (chosen []*wire.Chosen, whole bool) {
	v := r.view.Load()
	if after > v.state.Epoch {
		return nil, false
	}
	missing := v.state.Epoch - after
	if missing > uint64(len(v.recent)) {
		return nil, false
	}
	return v.recent[uint64(len(v.recent))-missing:], true
}

// Standing is the core's place in the agreement; unspecified while its log is
// closed.
func (r *Replica) Standing() wire.Standing { return r.view.Load().standing }

// Formation is the id of the formation that the core is in, or empty.
func (r *Replica) Formation() string { return r.view.Load().formation }

// Voters are the sorted names of the formation's cores.
func (r *Replica) Voters() []string { return r.view.Load().voters }

// Life is the core's disk life while it votes, zero otherwise.
func (r *Replica) Life() uint64 { return r.view.Load().life }

// Ready returns nil when the core votes, and else why it does not, as a fault
// with CoreBlank, CoreAmnesiac, DiskFull or Internal.
func (r *Replica) Ready() *kernel.Fault {
	v := r.view.Load()
	if v.standing == wire.Standing_STANDING_VOTING {
		return nil
	}
	return kernel.Refuse(standingCode(v.standing), "%s", v.waiting)
}

func standingCode(standing wire.Standing) kernel.Code {
	switch standing {
	case wire.Standing_STANDING_VOTING:
		return kernel.OK
	case wire.Standing_STANDING_BLANK:
		return kernel.CoreBlank
	case wire.Standing_STANDING_AMNESIAC:
		return kernel.CoreAmnesiac
	case wire.Standing_STANDING_DISK_FULL:
		return kernel.DiskFull
	}
	return kernel.Internal
}

// Found answers an invitation into a first formation.
func (r *Replica) Found(ctx kernel.Context, req *wire.FoundRequest) (*wire.FoundResponse, error) {
	return ask(ctx, r, func(o *owner, reply func(*wire.FoundResponse, error)) {
		records, resp := o.state.Found(req)
		if len(records) > 0 {
			o.waiting = "joins the formation " + req.Formation
		}
		decided(o, records, toVote, resp, nil, reply)
	})
}

// Prepare answers the opening of a ballot.
func (r *Replica) Prepare(ctx kernel.Context, req *wire.PrepareRequest) (*wire.PrepareResponse, error) {
	return ask(ctx, r, func(o *owner, reply func(*wire.PrepareResponse, error)) {
		records, resp := o.state.Prepare(req)
		o.noteFormation(req.From, resp.Refusal)
		if !resp.Promised {
			reply(resp, nil)
			return
		}
		decided(o, records, toVote, resp, func(code kernel.Code) *wire.PrepareResponse {
			return &wire.PrepareResponse{Core: resp.Core, Learned: resp.Learned, Lives: resp.Lives, Refusal: uint32(code)}
		}, reply)
	})
}

// Accept answers a ballot's value.
func (r *Replica) Accept(ctx kernel.Context, req *wire.AcceptRequest) (*wire.AcceptResponse, error) {
	return ask(ctx, r, func(o *owner, reply func(*wire.AcceptResponse, error)) {
		records, resp := o.state.Accept(req)
		o.noteFormation(req.From, resp.Refusal)
		if !resp.Accepted {
			reply(resp, nil)
			return
		}
		decided(o, records, toVote, resp, func(code kernel.Code) *wire.AcceptResponse {
			return &wire.AcceptResponse{Core: resp.Core, Learned: resp.Learned, Lives: resp.Lives, Refusal: uint32(code)}
		}, reply)
	})
}

// Learn takes chosen epochs in.
func (r *Replica) Learn(ctx kernel.Context, req *wire.LearnRequest) (*wire.LearnResponse, error) {
	return ask(ctx, r, func(o *owner, reply func(*wire.LearnResponse, error)) {
		records, resp, behind := o.state.Learn(req)
		if behind {
			r.fallenBehind(req.From)
		}
		before := o.state.Learned()
		decided(o, records, toLearn, resp, func(kernel.Code) *wire.LearnResponse { return &wire.LearnResponse{Learned: before} }, reply)
	})
}

// Recover answers a core that rebuilds from an empty disk.
func (r *Replica) Recover(ctx kernel.Context, req *wire.RecoverRequest) (*wire.RecoverResponse, error) {
	return ask(ctx, r, func(o *owner, reply func(*wire.RecoverResponse, error)) {
		records, resp := o.state.Recover(req)
		if o.state.Life() != 0 && (req.Probe || !resp.Ok) {
			reply(resp, nil)
			return
		}
		if len(records) > 0 {
			r.events.Emit(events.LifeRaised, "core", req.Core, "life", req.Life)
		}
		decided(o, records, toLive, resp, func(code kernel.Code) *wire.RecoverResponse {
			return &wire.RecoverResponse{Core: resp.Core, Formation: resp.Formation, Voters: resp.Voters, Refusal: uint32(code)}
		}, reply)
	})
}

// Read tells how far the core has learned and accepted.
func (r *Replica) Read(ctx kernel.Context, req *wire.ReadRequest) (*wire.ReadResponse, error) {
	return ask(ctx, r, func(o *owner, reply func(*wire.ReadResponse, error)) { reply(o.state.Read(req), nil) })
}

// Fetch gives the epochs after a place, after a snapshot where those are no
// longer kept.
func (r *Replica) Fetch(ctx kernel.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	return ask(ctx, r, func(o *owner, reply func(*wire.FetchResponse, error)) {
		resp, fault := o.state.Fetch(req)
		if fault != nil {
			reply(nil, fault)
			return
		}
		reply(resp, nil)
	})
}

// Propose has a command agreed. It returns once the command, or the same bytes
// proposed through another core, is chosen; Current holds it then, unless this
// core's disk is slow. Until then it tries slot after slot. When the context ends first, the fault's code says
// whether the command may yet be chosen; in each case it may be sent again.
func (r *Replica) Propose(ctx kernel.Context, command []byte) (epoch uint64, result sheet.Result, err error) {
	return r.ProposeMatching(ctx, command, func(chosen []byte) bool { return bytes.Equal(chosen, command) })
}

// ProposeMatching is Propose for a command that other bytes may stand for:
// match tells whether a chosen command is the same order.
func (r *Replica) ProposeMatching(ctx kernel.Context, command []byte, match func(chosen []byte) bool) (epoch uint64, result sheet.Result, err error) {
	done := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{ctx: ctx, command: command, match: match, done: done}:
	case <-ctx.Done():
		return 0, sheet.Result{}, kernel.Refuse(kernel.NoMajority, "other proposals wait for a majority")
	}
	select {
	case out := <-done:
		if out.err == nil {
			r.awaitPublished(ctx, out.epoch)
		}
		return out.epoch, out.result, out.err
	case <-ctx.Done():
		return 0, sheet.Result{}, kernel.Refuse(kernel.OutcomePending, "the ballot is not over")
	}
}

// awaitPublished lets Current catch up with what was agreed, unless the disk
// here is slow.
func (r *Replica) awaitPublished(ctx kernel.Context, epoch uint64) {
	patience := r.clock.After(r.cfg.CallTimeout)
	for {
		changed := r.Changed()
		if r.Current().Epoch >= epoch {
			return
		}
		select {
		case <-changed:
		case <-patience:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ReadMajority returns a state that holds whatever was chosen before the call.
// It asks a majority of the voters and finishes what it finds accepted; without
// a majority it says so.
func (r *Replica) ReadMajority(ctx kernel.Context) (sheet.State, error) {
	state, err := r.whole(ctx)
	if err != nil {
		return sheet.State{}, err
	}
	target, tip, heard, _ := r.readAll(ctx, state)
	if heard < state.Majority() {
		return sheet.State{}, kernel.Refuse(kernel.NoMajority, "%d of %d cores answered", heard, len(state.Voters))
	}
	for {
		now, err := r.sheetNow(ctx)
		if err != nil {
			return sheet.State{}, err
		}
		switch {
		case now.Epoch >= max(target, tip.learned):
			return now, nil
		case now.Epoch < tip.learned && r.catchUp(ctx, tip.core) == nil:
			continue
		}
		if err := r.finish(ctx, target); err != nil {
			return sheet.State{}, err
		}
	}
}

func (r *Replica) fallenBehind(from string) {
	select {
	case r.behind <- from:
	default:
	}
}

// ask puts a question to the owner and waits for the answer.
func ask[T any](ctx kernel.Context, r *Replica, question func(o *owner, reply func(T, error))) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	o := r.owner.Load()
	if o == nil {
		return none, kernel.Refuse(kernel.CoreUnreachable, "the core's log is closed")
	}
	answers := make(chan answer, 1)
	asked := func(o *owner) { question(o, func(value T, err error) { answers <- answer{value, err} }) }
	select {
	case o.inbox <- asked:
	case <-o.gone:
		return none, kernel.Refuse(kernel.CoreUnreachable, "the core's log is closed")
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-o.gone:
		return none, kernel.Refuse(kernel.CoreUnreachable, "the core's log is closed")
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// call reaches a voter: this core directly, others through the peers.
func call[Q, A any](ctx kernel.Context, r *Replica, to string, req *Q, local func(kernel.Context, *Q) (*A, error),
	far func(wireconnect.PeerClient, kernel.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	if to == r.cfg.Self {
		return local(ctx, req)
	}
	process, known := r.peers.Process(to)
	if !known {
		return nil, errors.Errorf("core %s is not known here", to)
	}
	resp, err := far(r.peers.Client(process.Address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (r *Replica) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.cfg.Seed, stream)) }
