package disklog

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBatchBytes is the size beyond which a batch takes no further append.
	maxBatchBytes = 1 << 20
	// spaceCheckInterval is the time between checks for space on a full disk.
	spaceCheckInterval = time.Second
)

// storedFile is a segment or snapshot that is complete on disk.
type storedFile struct {
	index uint64 // of a segment's first record, or of the last that a snapshot replaces
	size  int64
}

// storedFiles are the closed segments and the snapshots, each by index.
type storedFiles struct {
	segments  []storedFile
	snapshots []storedFile
}

// writer owns the files, on one goroutine. While a snapshot is being written,
// the files that it will replace belong to the snapshot's goroutine.
type writer struct {
	*Log
	files     FileSystem
	nextIndex uint64 // of the next record
	current   File   // the open segment; nil when the next record begins one
	segment   storedFile
	stored    storedFiles
	reserve   reserve

	snapshotRunning bool
	snapshotEnded   chan storedFiles // what is left after a snapshot, or after its failure
}

func newWriter(log *Log) *writer {
	return &writer{Log: log, files: log.cfg.FileSystem, snapshotEnded: make(chan storedFiles, 1)}
}

// run writes what is requested until the log is closed or fails.
func (w *writer) run() {
	defer close(w.ended)
	ticker := w.cfg.Clock.Ticker(spaceCheckInterval)
	defer ticker.Stop()
	defer w.shutDown()
	for {
		select {
		case <-w.quit:
			return
		case <-ticker.C():
			w.updateSpace()
		case left := <-w.snapshotEnded:
			w.finishSnapshot(left)
		case next := <-w.requests:
			if !w.handle(next) {
				return
			}
		}
	}
}

// shutDown waits for a running snapshot, closes the segment and refuses the
// snapshots that are still requested.
func (w *writer) shutDown() {
	if w.snapshotRunning {
		<-w.snapshotEnded
	}
	if w.current != nil {
		_ = w.current.Close()
	}
	for len(w.requests) > 0 {
		if left := <-w.requests; left.snapshot != nil {
			left.snapshot.done <- w.Err()
		}
	}
}

// handle writes a request and those that arrived with it. It returns false when
// the log has failed.
func (w *writer) handle(next request) (running bool) {
	batch, snapshot := w.gather(next)
	if len(batch) > 0 {
		if err := w.writeBatch(batch); err != nil {
			w.fail(err)
			return false
		}
	}
	if snapshot == nil {
		return true
	}
	if err := w.beginSnapshot(snapshot); err != nil {
		w.fail(err)
		snapshot.done <- err
		return false
	}
	return true
}

// gather takes what else has arrived, up to a snapshot or about 1 MiB.
func (w *writer) gather(next request) (batch []request, snapshot *snapshotRequest) {
	size := 0
	for {
		if next.snapshot != nil {
			return batch, next.snapshot
		}
		batch = append(batch, next)
		for _, record := range next.records {
			size += len(record)
		}
		if size > maxBatchBytes {
			return batch, nil
		}
		select {
		case next = <-w.requests:
		default:
			return batch, nil
		}
	}
}

// writeBatch writes and syncs records together. When there is no room it leaves
// none of them in the segment.
func (w *writer) writeBatch(batch []request) error {
	if w.current == nil {
		if err := w.beginSegment(); err != nil {
			return err
		}
	}
	data, priority := w.encodeBatch(batch)
	err := w.writeAndSync(data, priority)
	if isNoSpace(err) {
		w.full.Store(true)
		if truncateErr := w.current.Truncate(w.segment.size); truncateErr != nil {
			err = errors.Wrap(truncateErr, "cut a half-written batch")
		}
		return errors.Wrap(&FullError{Detail: err.Error()}, "append")
	}
	if err != nil {
		return errors.Wrap(err, "append")
	}
	w.segment.size += int64(len(data))
	w.queuedBytes.Add(-int64(len(data)))
	w.notifySynced(w.nextIndex - 1)
	if w.segment.size > w.cfg.SegmentBytes {
		return w.closeSegment()
	}
	return nil
}

// encodeBatch returns the batch's frames, and Urgent when any record of it is.
func (w *writer) encodeBatch(batch []request) (data []byte, priority Priority) {
	first := w.nextIndex
	for _, next := range batch {
		priority = max(priority, next.priority)
		for _, record := range next.records {
			data = frame{index: w.nextIndex, batch: first, record: record}.appendTo(data)
			w.nextIndex++
		}
	}
	return data, priority
}

// writeAndSync releases the reserve when an urgent batch finds no room.
func (w *writer) writeAndSync(data []byte, priority Priority) error {
	written, err := w.current.Write(data)
	if isNoSpace(err) && priority == Urgent && w.releaseReserve() {
		_, err = w.current.Write(data[written:])
	}
	if err != nil {
		return err
	}
	start := w.cfg.Clock.Now()
	err = w.current.Sync()
	w.lastSync.Store(int64(w.cfg.Clock.Now().Sub(start)))
	return err
}

// beginSegment creates the next segment and syncs it with its folder, so that it
// is there before a record goes in.
func (w *writer) beginSegment() error {
	file, err := w.files.Create(w.path(segmentFileName(w.nextIndex)))
	if err != nil {
		return errors.Wrap(err, "new segment")
	}
	if _, err = file.Write(segmentHeader(w.nextIndex)); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = w.files.SyncFolder(w.cfg.Folder)
	}
	if err != nil {
		_ = file.Close()
		if isNoSpace(err) {
			w.full.Store(true)
			err = &FullError{Detail: err.Error()}
		}
		return errors.Wrap(err, "new segment")
	}
	w.current = file
	w.segment = storedFile{index: w.nextIndex, size: segmentHeaderSize}
	w.usedBytes.Add(segmentHeaderSize)
	return nil
}

// closeSegment closes the open segment if there is a record in it.
func (w *writer) closeSegment() error {
	if w.current == nil || w.segment.size <= segmentHeaderSize {
		return nil
	}
	if err := w.current.Close(); err != nil {
		return errors.Wrap(err, "close a segment")
	}
	w.stored.segments = append(w.stored.segments, w.segment)
	w.current = nil
	return nil
}
