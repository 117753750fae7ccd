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
	// proposalQueueCapacity limits the proposals that wait for those before.
	proposalQueueCapacity = 64
	// maxIncarnationSalt limits the random part of disk incarnations, so that
	// they can be raised for ever.
	maxIncarnationSalt = 1 << 32
	// backoffStream is the stream of random numbers of the proposals' backoff.
	backoffStream = 1
)

// Replica takes part in the agreement under one core's name. Its methods may be
// called from any goroutine.
type Replica struct {
	cfg             Config
	openLog         OpenLog
	peers           port.Peers
	clock           clock.Clock
	events          events.Log
	owner           atomic.Pointer[owner] // nil while the log is closed
	view            atomic.Pointer[view]
	proposals       chan proposal
	fetchFrom       chan string // a core that has values which are missing here
	quorumReached   atomic.Bool // a quorum answered the last poll
	incarnationSalt uint64      // of the disk incarnations that this process announces
}

// New returns a replica that begins its work in Serve.
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

// Serve opens the log and works until the context ends or the log fails, and
// returns the reason. It may be called again after that, but not twice at once.
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
