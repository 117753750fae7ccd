package replica

import (
	"stepwick/internal/adapter/disklog"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
)

// purpose is what records are for. A disk without room keeps no votes, but it
// takes in chosen values as soon as there is room, and the disk incarnations of
// other cores from its reserve.
type purpose int

const (
	forVote purpose = iota
	forLearning
	forIncarnation
)

// priority is the one with which the records are appended.
func (p purpose) priority() disklog.Priority {
	if p == forIncarnation {
		return disklog.Urgent
	}
	return disklog.Ordinary
}

// commitAndReply commits records and replies once they are synced. When they
// can't be kept, it replies with the refusal by the error's code or, without
// one, with the error.
func commitAndReply[T any](o *owner, records []paxos.Record, purpose purpose, resp T, rejection func(apierror.Code) T, reply func(T, error)) {
	if err := o.commit(records, purpose); err != nil {
		if rejection == nil {
			reply(resp, err)
			return
		}
		reply(rejection(apierror.From(err).Code), nil)
		return
	}
	o.whenSynced(func(err error) { reply(resp, err) })
}

// commit appends records to the log and applies them, or does neither. Without
// room it returns an error of the code DiskFull.
func (o *owner) commit(records []paxos.Record, purpose purpose) error {
	if len(records) == 0 {
		return nil
	}
	if purpose == forVote && o.disk.exhausted() {
		return apierror.Errorf(apierror.DiskFull, "only the reserve is left")
	}
	if err := o.appendToLog(records, purpose); err != nil {
		return err
	}
	before := o.state
	for _, record := range records {
		o.state = record.Apply(o.state)
	}
	if err := o.advanceConfiguration(before); err != nil {
		return err
	}
	if o.logSize.snapshotDue(o.replica.cfg) {
		o.startCompaction()
	}
	return nil
}

func (o *owner) appendToLog(records []paxos.Record, purpose purpose) error {
	encoded := make([][]byte, len(records))
	for i, record := range records {
		encoded[i] = paxos.EncodeRecord(record)
	}
	if _, err := o.log.Append(encoded, purpose.priority()); err != nil {
		if apierror.From(err).Code == apierror.DiskFull {
			o.updateSpace(purpose == forLearning)
			o.startCompaction()
		}
		return err
	}
	if purpose == forLearning && o.disk.learnBlocked {
		o.updateSpace(false)
	}
	o.disk.lastAppend = o.replica.clock.Now()
	for _, record := range encoded {
		o.logSize.add(record)
	}
	return nil
}

// advanceConfiguration applies what was learned since the state before, and
// publishes a change once it is synced.
func (o *owner) advanceConfiguration(before paxos.State) error {
	learned := before.HighestLearnedSlot() != o.state.HighestLearnedSlot()
	moved := before.Formation != o.state.Formation || before.Incarnation() != o.state.Incarnation()
	if !learned && !moved {
		return nil
	}
	if learned && !moved && before.SnapshotSlot == o.state.SnapshotSlot {
		o.applyAll(o.state.Chosen[o.configuration.state.Version-o.state.SnapshotSlot:])
	} else if err := o.rebuildConfiguration(); err != nil {
		return err
	}
	view := o.view()
	o.whenSynced(func(err error) {
		if err == nil {
			o.replica.publish(o.withStanding(view))
		}
	})
	return nil
}
