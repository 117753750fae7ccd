package replica

import (
	"context"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// inboxCapacity bounds the number of requests that wait for the owner.
const inboxCapacity = 256

// owner holds the core's state and handles requests on a single goroutine. The
// state may be ahead of the disk: a response is sent only after all records
// appended before it are synced.
type owner struct {
	replica    *Replica
	log        Log
	inbox      chan func(*owner)
	stopped    chan struct{} // closed when the owner handles no more requests
	consensus  paxos.State
	machine    stateMachine // after the command of consensus.HighestLearnedSlot
	syncs      syncQueue
	disk       diskStatus
	waiting    waitStatus
	logSize    logSize
	compacting bool
}

// startOwner opens the log and returns an owner with the state replayed from it.
func (r *Replica) startOwner() (*owner, error) {
	log, replay, err := r.openLog()
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	o := &owner{
		replica: r,
		log:     log,
		inbox:   make(chan func(*owner), inboxCapacity),
		stopped: make(chan struct{}),
		syncs:   syncQueue{synced: log.LastIndex()},
	}
	if err := o.restore(replay); err != nil {
		_ = log.Close()
		return nil, err
	}
	o.disk.full = log.Full()
	o.reportOpened(replay)
	o.publish()
	return o, nil
}

func (o *owner) restore(replay Replay) error {
	state, err := decodeReplay(replay, o.replica.cfg.Self)
	if err != nil {
		return err
	}
	o.consensus = state
	for _, record := range replay.Records {
		o.logSize.add(record)
	}
	return o.rebuildStateMachine()
}

func (o *owner) reportOpened(replay Replay) {
	emit := o.replica.events.Emit
	core := o.replica.cfg.Self
	emit(events.LogOpened, "core", core, "segments", replay.SegmentCount, "records", len(replay.Records), "epoch", o.consensus.HighestLearnedSlot())
	if replay.TornBytes > 0 {
		emit(events.TornTailTruncated, "core", core, "segment", replay.TornSegment, "bytes", replay.TornBytes)
	}
	if replay.BadSnapshot != "" {
		emit(events.SnapshotCorrupt, "core", core, "snapshot", replay.BadSnapshot)
	}
}

// run handles requests until the context is done or the log fails. It returns the
// context's error or that of the log.
func (o *owner) run(ctx context.Context) error {
	ticker := o.replica.clock.Ticker(o.replica.cfg.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.log.Failed():
			err := o.log.Err()
			o.syncs.fail(err)
			return err
		case request := <-o.inbox:
			request(o)
		case index := <-o.log.Synced():
			o.disk.slowReported = false
			o.syncs.advance(index)
		case <-ticker.C():
			o.checkDisk()
		}
	}
}

// enqueue schedules a function to run on the owner's goroutine. The function is
// dropped if the owner stops first.
func (o *owner) enqueue(request func(*owner)) {
	select {
	case o.inbox <- request:
	case <-o.stopped:
	}
}

// whenSynced calls the callback once all records appended so far are synced, or
// with an error when the log has failed.
func (o *owner) whenSynced(callback func(error)) { o.syncs.whenSynced(o.log.LastIndex(), callback) }

// rebuildStateMachine decodes the snapshot and applies all commands after it.
func (o *owner) rebuildStateMachine() error {
	o.machine = stateMachine{}
	snapshot, err := decodeSnapshot(o.consensus)
	if err != nil {
		return err
	}
	o.machine.state = snapshot
	o.applyAll(o.consensus.Chosen)
	return nil
}

func (o *owner) applyAll(commands []*wire.Chosen) {
	for _, chosen := range commands {
		result := o.machine.apply(chosen)
		if result.Code == apierror.Internal {
			o.replica.events.Emit(events.CommandUndecodable, "epoch", chosen.Epoch, "detail", result.Detail)
		}
	}
}
