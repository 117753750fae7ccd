package replica

import (
	"context"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// inboxCapacity limits the requests that wait for the owner.
const inboxCapacity = 256

// owner holds the core's state and answers for it, on one goroutine. Its state
// may be ahead of the disk; what leaves waits until all that was appended before
// is synced.
type owner struct {
	replica       *Replica
	log           Log
	inbox         chan func(*owner)
	stopped       chan struct{} // closed when the owner no longer takes requests
	state         paxos.State
	configuration configuration // as of state.Learned
	syncs         syncQueue
	disk          diskStatus
	waiting       waitStatus
	logSize       logSize
	compacting    bool
}

// startOwner opens the log and returns an owner in the state that it holds.
func (r *Replica) startOwner() (*owner, error) {
	log, replay, err := r.openLog()
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
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
	o.state = state
	for _, record := range replay.Records {
		o.logSize.add(record)
	}
	return o.rebuildConfiguration()
}

func (o *owner) reportOpened(replay Replay) {
	emit := o.replica.events.Emit
	core := o.replica.cfg.Self
	emit(events.LogOpened, "core", core, "segments", replay.Segments, "records", len(replay.Records), "epoch", o.state.HighestLearnedSlot())
	if replay.TornBytes > 0 {
		emit(events.TornTailTruncated, "core", core, "segment", replay.TornSegment, "bytes", replay.TornBytes)
	}
	if replay.BadSnapshot != "" {
		emit(events.SnapshotCorrupt, "core", core, "snapshot", replay.BadSnapshot)
	}
}

// run answers requests until the context ends or the log fails, and returns the
// reason.
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

// enqueue has the owner call the function, unless it stops before.
func (o *owner) enqueue(request func(*owner)) {
	select {
	case o.inbox <- request:
	case <-o.stopped:
	}
}

// whenSynced calls then once all that was appended up to now is synced.
func (o *owner) whenSynced(then func(error)) { o.syncs.after(o.log.LastIndex(), then) }

// rebuildConfiguration applies the commands to the snapshot from the beginning.
func (o *owner) rebuildConfiguration() error {
	o.configuration = configuration{}
	snapshot, err := snapshotState(o.state)
	if err != nil {
		return err
	}
	o.configuration.state = snapshot
	o.applyAll(o.state.Chosen)
	return nil
}

func (o *owner) applyAll(commands []*wire.Chosen) {
	for _, chosen := range commands {
		result := o.configuration.apply(chosen)
		if result.Code == apierror.Internal {
			o.replica.events.Emit(events.CommandUndecodable, "epoch", chosen.Epoch, "detail", result.Detail)
		}
	}
}
