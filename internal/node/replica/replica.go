// Package replica is the runtime of one core's agreement: an owner goroutine
// that decides with internal/decision/paxos, a log on disk, and the calls to the
// other cores.
package replica

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config of a replica; zero fields take the defaults named.
type Config struct {
	Self            string
	Voters          int           // cores of a first formation; 3
	FirstSheet      []byte        // JSON of a sheet to offer to a formation that has none, or nil
	SheetMax        int           // bound of FirstSheet in bytes; 16 MiB
	SnapshotRecords int           // records between snapshots; 1024
	SnapshotBytes   int64         // bytes of records between snapshots; 16 MiB
	CallTimeout     time.Duration // of one call in a ballot; 300ms
	EntryTimeout    time.Duration // of one call in a recovery, which waits for slow disks; 10s
	Interval        time.Duration // between two looks at the other cores; 500ms
	Seed            uint64        // of the random waits; 0 is drawn from the name
	// Replaced is told, perhaps more than once, that another process holds this
	// core's name in a later disk life, or that the formation has no place for
	// it; may be nil.
	Replaced func()
}

func (c Config) withDefaults() Config {
	def := func(value *time.Duration, or time.Duration) {
		if *value <= 0 {
			*value = or
		}
	}
	def(&c.CallTimeout, 300*time.Millisecond)
	def(&c.EntryTimeout, 10*time.Second)
	def(&c.Interval, 500*time.Millisecond)
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
	clock     clock.Clock
	events    events.Log
	owner     atomic.Pointer[owner]
	view      atomic.Pointer[view]
	proposals chan proposal
	behind    chan string
	reached   atomic.Bool // a majority answered at the last look
	salt      uint64      // of the disk lives that this process announces
}

// saltBound bounds the salt of disk lives, which then still grow for ever.
const saltBound = 1 << 32

// New returns a replica that begins its work in Serve.
func New(cfg Config, open Open, peers port.Peers, clock clock.Clock, log events.Log) *Replica {
	r := &Replica{cfg: cfg.withDefaults(), open: open, peers: peers, clock: clock, events: log,
		proposals: make(chan proposal, 64), behind: make(chan string, 1), salt: uint64(rand.Int64N(saltBound))}
	r.view.Store(&view{standing: wire.Standing_STANDING_BLANK, changed: make(chan struct{})})
	return r
}

// Serve opens the log and works until the context ends or the log fails; then
// it may be called again.
func (r *Replica) Serve(ctx context.Context) error {
	o, err := r.start()
	if err != nil {
		r.events.Emit(r.failureEvent(err), "core", r.cfg.Self, "error", err)
		r.stopped(err)
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
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
	switch apierror.From(err).Code {
	case apierror.BadRecord:
		return events.BadRecord
	case apierror.DiskFull:
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
		if apierror.From(err).Code == apierror.DiskFull {
			next.standing = wire.Standing_STANDING_DISK_FULL
		}
	}
	r.publish(next)
}

// Propose has a command agreed. It returns once the command, or the same bytes
// proposed through another core, is chosen; Current holds it then, unless this
// core's disk is slow. Until then it tries slot after slot. When the context ends first, the fault's code says
// whether the command may yet be chosen; in each case it may be sent again.
func (r *Replica) Propose(ctx context.Context, command []byte) (version uint64, result statemachine.Result, err error) {
	return r.ProposeMatching(ctx, command, func(chosen []byte) bool { return bytes.Equal(chosen, command) })
}

// ProposeMatching is Propose for a command that other bytes may stand for:
// match tells whether a chosen command is the same order.
func (r *Replica) ProposeMatching(ctx context.Context, command []byte, match func(chosen []byte) bool) (version uint64, result statemachine.Result, err error) {
	done := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{ctx: ctx, command: command, match: match, done: done}:
	case <-ctx.Done():
		return 0, statemachine.Result{}, apierror.Errorf(apierror.NoMajority, "other proposals wait for a majority")
	}
	select {
	case out := <-done:
		if out.err == nil {
			r.awaitPublished(ctx, out.version)
		}
		return out.version, out.result, out.err
	case <-ctx.Done():
		return 0, statemachine.Result{}, apierror.Errorf(apierror.OutcomePending, "the ballot is not over")
	}
}

// awaitPublished lets Current catch up with what was agreed, unless the disk
// here is slow.
func (r *Replica) awaitPublished(ctx context.Context, version uint64) {
	patience := r.clock.After(r.cfg.CallTimeout)
	for {
		changed := r.Changed()
		if r.Current().Version >= version {
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
func (r *Replica) ReadMajority(ctx context.Context) (statemachine.State, error) {
	state, err := r.whole(ctx)
	if err != nil {
		return statemachine.State{}, err
	}
	target, tip, heard, _ := r.readAll(ctx, state)
	if heard < state.Majority() {
		return statemachine.State{}, apierror.Errorf(apierror.NoMajority, "%d of %d cores answered", heard, len(state.Voters))
	}
	for {
		now, err := r.sheetNow(ctx)
		if err != nil {
			return statemachine.State{}, err
		}
		switch {
		case now.Version >= max(target, tip.learned):
			return now, nil
		case now.Version < tip.learned && r.catchUp(ctx, tip.core) == nil:
			continue
		}
		if err := r.finish(ctx, target); err != nil {
			return statemachine.State{}, err
		}
	}
}

func (r *Replica) fallenBehind(from string) {
	select {
	case r.behind <- from:
	default:
	}
}

func (r *Replica) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.cfg.Seed, stream)) }
