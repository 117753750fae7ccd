package replica

import (
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// logSize counts the records in the log since the last snapshot.
type logSize struct {
	records int
	bytes   int64
}

func (s *logSize) add(record []byte) {
	s.records++
	s.bytes += int64(len(record))
}

// snapshotDue reports whether a snapshot is to be written by the limits of the
// configuration.
func (s logSize) snapshotDue(cfg Config) bool {
	return s.records >= cfg.SnapshotRecords || s.bytes >= cfg.SnapshotBytes
}

// startCompaction encodes the configuration on a goroutine of its own, then has
// the state written as a snapshot in the log's place. One runs at a time.
func (o *owner) startCompaction() {
	if o.compacting || o.logSize.records == 0 || o.state.Incarnation() == 0 {
		return
	}
	o.compacting = true
	version := o.state.HighestLearnedSlot()
	configuration := o.configuration.state
	go func() {
		data := encodeConfiguration(version, configuration)
		o.enqueue(func(o *owner) { o.writeSnapshot(version, data) })
	}()
}

func encodeConfiguration(version uint64, configuration statemachine.State) []byte {
	if version == 0 {
		return nil
	}
	return configuration.Encode()
}

// writeSnapshot has the log replaced by a snapshot in which the configuration of
// the version replaces the commands that led to it.
func (o *owner) writeSnapshot(version uint64, configuration []byte) {
	o.state = o.state.Compacted(version, configuration)
	before := o.logSize
	done := o.log.WriteSnapshot(o.state.Encode())
	o.logSize = logSize{}
	go func() {
		var err error
		select {
		case err = <-done:
		case <-o.stopped:
			return
		}
		o.enqueue(func(o *owner) { o.finishCompaction(version, len(configuration), before, err) })
	}()
}

func (o *owner) finishCompaction(version uint64, size int, before logSize, err error) {
	o.compacting = false
	if err != nil {
		// The records before the snapshot are still in the log.
		o.logSize.records += before.records
		o.logSize.bytes += before.bytes
		return
	}
	o.replica.events.Emit(events.SnapshotWritten, "core", o.replica.cfg.Self, "epoch", version, "bytes", size)
}
