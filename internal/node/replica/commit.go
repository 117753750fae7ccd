package replica

import (
	"maps"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
)

// commitPurpose is the reason why records are committed. It determines what happens
// on a full disk: votes are refused, chosen values are appended as soon as there is
// space again, and disk incarnations of other cores are written to the reserved
// space.
type commitPurpose int

const (
	purposeVote commitPurpose = iota
	purposeLearn
	purposeIncarnation
)

// priority returns the priority with which the records are appended to the log.
func (p commitPurpose) priority() disklog.Priority {
	if p == purposeIncarnation {
		return disklog.Urgent
	}
	return disklog.Ordinary
}

// commitAndReply commits records and replies with resp once they are synced. If the
// commit fails, it replies with the rejection for the error's code or, if rejection
// is nil, with the error.
func commitAndReply[T any](o *owner, records []paxos.Record, purpose commitPurpose, resp T, rejection func(apierror.Code) T, reply func(T, error)) {
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

// commit appends records to the log and applies them to the state. If they can't be
// appended, the state is unchanged; the error has the code DiskFull if the disk is
// full.
func (o *owner) commit(records []paxos.Record, purpose commitPurpose) error {
	if len(records) == 0 {
		return nil
	}
	if purpose == purposeVote && o.disk.exhausted() {
		return apierror.Errorf(apierror.DiskFull, "the disk is full: only the reserved space is left")
	}
	if err := o.appendToLog(records, purpose); err != nil {
		return err
	}
	previous := o.consensus
	for _, record := range records {
		o.consensus = record.Apply(o.consensus)
	}
	if err := o.advanceStateMachine(previous); err != nil {
		return err
	}
	if o.logSize.snapshotDue(o.replica.cfg) {
		o.startCompaction()
	}
	return nil
}

func (o *owner) appendToLog(records []paxos.Record, purpose commitPurpose) error {
	encoded := make([][]byte, len(records))
	for i, record := range records {
		encoded[i] = paxos.EncodeRecord(record)
	}
	if _, err := o.log.Append(encoded, purpose.priority()); err != nil {
		if apierror.From(err).Code == apierror.DiskFull {
			o.updateDiskSpace(purpose == purposeLearn)
			o.startCompaction()
		}
		return err
	}
	if purpose == purposeLearn && o.disk.learnBlocked {
		o.updateDiskSpace(false)
	}
	o.disk.lastAppend = o.replica.clock.Now()
	for _, record := range encoded {
		o.logSize.add(record)
	}
	return nil
}

// advanceStateMachine applies the commands learned since the previous state. If the
// version, the formation or an incarnation has changed, it publishes a new view once
// the log is synced: before the core answers another one that has announced its
// incarnation.
func (o *owner) advanceStateMachine(previous paxos.State) error {
	learned := previous.HighestLearnedSlot() != o.consensus.HighestLearnedSlot()
	identityChanged := previous.Formation != o.consensus.Formation || previous.Incarnation() != o.consensus.Incarnation()
	if !learned && !identityChanged && maps.Equal(previous.Incarnations, o.consensus.Incarnations) {
		return nil
	}
	switch {
	case identityChanged || previous.SnapshotSlot != o.consensus.SnapshotSlot:
		if err := o.rebuildStateMachine(); err != nil {
			return err
		}
	case learned:
		o.applyAll(o.consensus.Chosen[o.machine.state.Version-o.consensus.SnapshotSlot:])
	}
	view := o.view()
	o.whenSynced(func(err error) {
		if err == nil {
			o.replica.publish(o.withStanding(view))
		}
	})
	return nil
}
