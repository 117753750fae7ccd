package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	// proposalQueueCapacity bounds the number of proposals that wait for their turn.
	proposalQueueCapacity = 64
	// maxIncarnationSalt bounds the random part of a disk incarnation. It is far
	// below the range of uint64, so that incarnations can increase indefinitely.
	maxIncarnationSalt = 1 << 32
	// backoffStream is the second PCG seed of the proposal loop's backoff.
	backoffStream = 1
)

// Replica is one core's replica of the replicated state. It is safe for concurrent
// use.
type Replica struct {
	cfg             Config
	openLog         OpenLog
	peers           port.Peers
	clock           clock.Clock
	events          events.Log
	owner           atomic.Pointer[owner] // nil while the log is closed
	view            atomic.Pointer[view]
	proposals       chan proposal
	fetchFrom       chan string // names of cores to fetch missing values from
	quorumReached   atomic.Bool // whether a quorum answered the last poll
	incarnationSalt uint64      // see paxos.State.NextIncarnation
}

// New returns a replica, which does nothing until Serve is called.
func New(cfg Config, openLog OpenLog, peers port.Peers, clock clock.Clock, log events.Log) *Replica {
	r := &Replica{
		cfg:             cfg.withDefaults(),
		openLog:         openLog,
		peers:           peers,
		clock:           clock,
		events:          log,
		proposals:       make(chan proposal, proposalQueueCapacity),
		fetchFrom:       make(chan string, 1),
		incarnationSalt: uint64(rand.Int64N(maxIncarnationSalt)),
	}
	r.view.Store(&view{standing: wire.Standing_STANDING_BLANK, changed: make(chan struct{})})
	return r
}

// Serve opens the log and runs the replica until the context is done or the log
// fails. It returns the context's error, or the reason why the log could not be opened
// or has failed. It may be called again after it has returned, but not concurrently.
func (r *Replica) Serve(ctx context.Context) error {
	o, err := r.startOwner()
	if err != nil {
		r.events.Emit(failureEvent(err), "core", r.cfg.Self, "error", err)
		r.publishClosed(err)
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	r.owner.Store(o)
	ended := make(chan struct{}, 2)
	go func() {
		r.runProposals(ctx)
		ended <- struct{}{}
	}()
	go func() {
		r.runMaintenance(ctx)
		ended <- struct{}{}
	}()
	err = o.run(ctx)
	r.owner.Store(nil)
	close(o.stopped)
	cancel()
	<-ended
	<-ended
	_ = o.log.Close()
	if err != nil && ctx.Err() == nil {
		r.events.Emit(failureEvent(err), "core", r.cfg.Self, "error", err)
	}
	r.publishClosed(err)
	return err
}

func failureEvent(err error) events.Event {
	switch apierror.From(err).Code {
	case apierror.BadRecord:
		return events.BadRecord
	case apierror.DiskFull:
		return events.DiskFull
	}
	return events.DiskFailed
}
