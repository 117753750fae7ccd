package replica

import (
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// logSize is the number and size of the records in the log since the last snapshot.
type logSize struct {
	records int
	bytes   int64
}

func (s *logSize) add(record []byte) {
	s.records++
	s.bytes += int64(len(record))
}

// snapshotDue reports whether the log has reached the size at which a snapshot is
// written.
func (s logSize) snapshotDue(cfg Config) bool {
	return s.records >= cfg.SnapshotRecords || s.bytes >= cfg.SnapshotBytes
}

// startCompaction encodes the state machine on a separate goroutine and then writes
// a snapshot that replaces the records in the log. It does nothing while another
// compaction is running, if the log has no records, or if the core does not vote yet.
func (o *owner) startCompaction() {
	if o.compacting || o.logSize.records == 0 || o.consensus.Incarnation() == 0 {
		return
	}
	o.compacting = true
	version := o.consensus.HighestLearnedSlot()
	machineState := o.machine.state
	go func() {
		data := encodeSnapshot(version, machineState)
		o.enqueue(func(o *owner) { o.writeSnapshot(version, data) })
	}()
}

func encodeSnapshot(version uint64, machineState statemachine.State) []byte {
	if version == 0 {
		return nil
	}
	return machineState.Encode()
}

// writeSnapshot replaces the log by a snapshot of the consensus state, in which the
// encoded state machine replaces the commands up to the given version.
func (o *owner) writeSnapshot(version uint64, encodedState []byte) {
	o.consensus = o.consensus.Compacted(version, encodedState)
	compacted := o.logSize
	done := o.log.WriteSnapshot(o.consensus.Encode())
	o.logSize = logSize{}
	go func() {
		var err error
		select {
		case err = <-done:
		case <-o.stopped:
			return
		}
		o.enqueue(func(o *owner) { o.finishCompaction(version, len(encodedState), compacted, err) })
	}()
}

func (o *owner) finishCompaction(version uint64, encodedBytes int, compacted logSize, err error) {
	o.compacting = false
	if err != nil {
		// The records that the snapshot was to replace are still in the log.
		o.logSize.records += compacted.records
		o.logSize.bytes += compacted.bytes
		return
	}
	o.replica.events.Emit(events.SnapshotWritten, "core", o.replica.cfg.Self, "epoch", version, "bytes", encodedBytes)
}
