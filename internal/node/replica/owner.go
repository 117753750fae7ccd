package replica

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	inboxBound     = 256
	recentVersions = 256
	recentBytes    = 32 << 20
	slowSync       = 500 * time.Millisecond
)

// owner holds the core's state and answers for it. Its state may be ahead of
// the disk; what leaves waits until all that was appended before is synced.
type owner struct {
	r       *Replica
	log     Log
	inbox   chan func(*owner)
	gone    chan struct{}
	state   paxos.State
	sheet   statemachine.State
	results []statemachine.Result // of the last versions
	recent  []*wire.Chosen        // of the last versions
	waiters []waiter              // in the order of their places
	synced  uint64
	full    bool   // no room for an ordinary record
	stuck   bool   // no room for a version that was chosen
	waiting string // for what, while the core does not vote

	waitingSince time.Time
	told         string

	records      int // since the last snapshot
	bytes        int64
	compacting   bool
	lastAppend   time.Time
	slowReported bool
}

type waiter struct {
	place uint64
	then  func(error)
}

func (r *Replica) start() (*owner, error) {
	log, replay, err := r.open()
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	o := &owner{r: r, log: log, inbox: make(chan func(*owner), inboxBound), gone: make(chan struct{}), synced: log.Place()}
	if err := o.replay(replay); err != nil {
		_ = log.Close()
		return nil, err
	}
	o.full = log.Full()
	r.events.Emit(events.LogOpened, "core", r.cfg.Self, "segments", replay.Segments, "records", len(replay.Records), "epoch", o.state.Learned())
	if replay.CutBytes > 0 {
		r.events.Emit(events.TornTailCut, "core", r.cfg.Self, "segment", replay.CutSegment, "bytes", replay.CutBytes)
	}
	if replay.BadSnapshot != "" {
		r.events.Emit(events.SnapshotBad, "core", r.cfg.Self, "snapshot", replay.BadSnapshot)
	}
	o.publish()
	return o, nil
}

func (o *owner) replay(replay Replay) error {
	state, err := stateOf(replay, o.r.cfg.Self)
	if err != nil {
		return err
	}
	o.state, o.records = state, len(replay.Records)
	for _, record := range replay.Records {
		o.bytes += int64(len(record))
	}
	return o.rebuild()
}

// rebuild works the sheet's state out from the snapshot and what follows it.
func (o *owner) rebuild() error {
	o.sheet, o.results, o.recent = statemachine.State{}, nil, nil
	if o.state.SnapshotSlot > 0 {
		state, err := statemachine.DecodeState(o.state.Snapshot)
		if err != nil {
			return errors.Wrapf(err, "the snapshot of epoch %d", o.state.SnapshotSlot)
		}
		if state.Version != o.state.SnapshotSlot {
			return errors.Errorf("a snapshot of epoch %d under %d", state.Version, o.state.SnapshotSlot)
		}
		o.sheet = state
	}
	for _, chosen := range o.state.Chosen {
		o.apply(chosen)
	}
	return nil
}

func (o *owner) apply(chosen *wire.Chosen) {
	next, result := o.sheet.Step(chosen.Epoch, chosen.Command)
	if result.Code == apierror.Internal {
		o.r.events.Emit(events.CommandBad, "epoch", chosen.Epoch, "detail", result.Detail)
	}
	o.sheet = next
	o.results = append(o.results, result)
	o.recent = append(o.recent, chosen)
	size, keep := 0, len(o.recent)
	for keep > 0 && len(o.recent)-keep < recentVersions {
		if size += len(o.recent[keep-1].Command); size > recentBytes && keep < len(o.recent) {
			break
		}
		keep--
	}
	if keep > 0 {
		o.results, o.recent = slices.Clone(o.results[keep:]), slices.Clone(o.recent[keep:])
	}
}

// result returns a version's outcome while it is kept.
func (o *owner) result(version uint64) (statemachine.Result, bool) {
	back := o.sheet.Version - version
	if version > o.sheet.Version || back >= uint64(len(o.results)) {
		return statemachine.Result{}, false
	}
	return o.results[uint64(len(o.results))-1-back], true
}

func (o *owner) run(ctx context.Context) error {
	ticker := o.r.clock.Ticker(o.r.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.log.Dead():
			err := o.log.Err()
			for _, w := range o.waiters {
				w.then(err)
			}
			return err
		case question := <-o.inbox:
			question(o)
		case place := <-o.log.Synced():
			o.release(place)
		case <-ticker.C():
			o.look()
		}
	}
}

// decided commits records and answers once they are synced; without room for
// them, or any other reason not to keep them, it refuses.
func decided[T any](o *owner, records []paxos.Record, use use, resp T, refuse func(apierror.Code) T, reply func(T, error)) {
	if err := o.commit(records, use); err != nil {
		if refuse == nil {
			reply(resp, err)
			return
		}
		reply(refuse(apierror.From(err).Code), nil)
		return
	}
	o.whenSynced(func(err error) { reply(resp, err) })
}

// use is what records are for: a full disk keeps no votes, but it takes up what
// was chosen as soon as there is room, and new disk lives from its reserve.
type use int

const (
	toVote use = iota
	toLearn
	toLive
)

// commit appends records and folds them, or does neither.
func (o *owner) commit(records []paxos.Record, use use) error {
	if len(records) == 0 {
		return nil
	}
	if use == toVote && (o.full || o.stuck) {
		return apierror.Errorf(apierror.DiskFull, "only the reserve is left")
	}
	encoded := make([][]byte, len(records))
	for i, record := range records {
		encoded[i] = paxos.EncodeRecord(record)
	}
	if _, err := o.log.Append(encoded, use == toLive); err != nil {
		if apierror.From(err).Code == apierror.DiskFull {
			o.room(use == toLearn)
			o.compact()
		}
		return err
	}
	if use == toLearn && o.stuck {
		o.room(false)
	}
	o.lastAppend = o.r.clock.Now()
	before := o.state
	for i, record := range records {
		o.state = record.Fold(o.state)
		o.records++
		o.bytes += int64(len(encoded[i]))
	}
	if err := o.follow(before); err != nil {
		return err
	}
	if o.records >= o.r.cfg.SnapshotRecords || o.bytes >= o.r.cfg.SnapshotBytes {
		o.compact()
	}
	return nil
}

// follow brings the sheet's state to the ballot state's learned version.
func (o *owner) follow(before paxos.State) error {
	same := before.Learned() == o.state.Learned()
	if same && before.Formation == o.state.Formation && before.Life() == o.state.Life() {
		return nil
	}
	if !same && before.Formation == o.state.Formation && before.SnapshotSlot == o.state.SnapshotSlot && before.Life() == o.state.Life() {
		for _, chosen := range o.state.Chosen[o.sheet.Version-o.state.SnapshotSlot:] {
			o.apply(chosen)
		}
	} else if err := o.rebuild(); err != nil {
		return err
	}
	view := o.view()
	o.whenSynced(func(err error) {
		if err == nil {
			o.r.publish(o.standing(view))
		}
	})
	return nil
}

func (o *owner) whenSynced(then func(error)) {
	if o.log.Place() <= o.synced {
		then(nil)
		return
	}
	o.waiters = append(o.waiters, waiter{place: o.log.Place(), then: then})
}

func (o *owner) release(place uint64) {
	o.synced = place
	o.slowReported = false
	for len(o.waiters) > 0 && o.waiters[0].place <= place {
		then := o.waiters[0].then
		o.waiters = o.waiters[1:]
		then(nil)
	}
}

func (o *owner) view() view {
	return view{state: o.sheet, recent: slices.Clip(o.recent), formation: o.state.Formation, voters: o.state.Voters, life: o.state.Life(), standing: o.state.Standing()}
}

// standing puts the present state of the disk into a view.
func (o *owner) standing(v view) view {
	v.waiting = o.waiting
	if v.standing == wire.Standing_STANDING_VOTING {
		v.waiting = ""
		if o.full || o.stuck {
			v.standing, v.waiting = wire.Standing_STANDING_DISK_FULL, "only the reserve is left on the disk"
		}
	}
	return v
}

func (o *owner) publish() { o.r.publish(o.standing(o.view())) }

// republish changes only what is not the disk's: it keeps the published version.
func (o *owner) republish() {
	v := *o.r.view.Load()
	v.standing = o.state.Standing()
	if o.log.Place() > o.synced && v.formation != o.state.Formation {
		return
	}
	o.r.publish(o.standing(v))
}

// room looks at what room there is and publishes a change.
func (o *owner) room(stuck bool) {
	before := o.full || o.stuck
	o.full, o.stuck = o.log.Full(), stuck
	now := o.full || o.stuck
	if now == before {
		return
	}
	if now {
		o.r.events.Emit(events.DiskFull, "core", o.r.cfg.Self)
	} else {
		o.r.events.Emit(events.DiskRoom, "core", o.r.cfg.Self)
	}
	o.republish()
}

// look is the owner's regular look at its disk.
func (o *owner) look() {
	o.room(o.stuck)
	if o.full || o.stuck {
		o.compact()
	}
	if !o.slowReported && o.log.Place() > o.synced && o.r.clock.Now().Sub(o.lastAppend) > slowSync {
		o.slowReported = true
		o.r.events.Emit(events.DiskSlow, "core", o.r.cfg.Self, "waiting", o.log.Place()-o.synced)
	}
}

// compact encodes the sheet's state off the owner, then has the whole state
// written beside the log in the log's place.
func (o *owner) compact() {
	if o.compacting || o.records == 0 || o.state.Life() == 0 {
		return
	}
	o.compacting = true
	version, state := o.state.Learned(), o.sheet
	go func() {
		var data []byte
		if version > 0 {
			data = state.Encode()
		}
		o.tell(func(o *owner) { o.snapshot(version, data) })
	}()
}

func (o *owner) snapshot(version uint64, data []byte) {
	o.state = o.state.Compacted(version, data)
	records, bytes := o.records, o.bytes
	done := o.log.Snapshot(o.state.Encode())
	o.records, o.bytes = 0, 0
	go func() {
		var err error
		select {
		case err = <-done:
		case <-o.gone:
			return
		}
		o.tell(func(o *owner) {
			o.compacting = false
			if err != nil {
				o.records, o.bytes = o.records+records, o.bytes+bytes
				return
			}
			o.r.events.Emit(events.SnapshotWritten, "core", o.r.cfg.Self, "epoch", version, "bytes", len(data))
		})
	}()
}

func (o *owner) tell(f func(*owner)) {
	select {
	case o.inbox <- f:
	case <-o.gone:
	}
}

func (o *owner) noteFormation(from string, refusal uint32) {
	if apierror.Code(refusal) == apierror.WrongFormation {
		o.r.events.Emit(events.WrongFormation, "core", o.r.cfg.Self, "from", from, "formation", o.state.Formation)
	}
}
