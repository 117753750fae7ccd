package disklog

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBatchBytes is the size above which no further append joins a batch.
	maxBatchBytes = 1 << 20
	// spaceCheckInterval is the interval of updateSpace.
	spaceCheckInterval = time.Second
)

// storedFile is a segment or snapshot that is complete on disk.
type storedFile struct {
	index uint64 // of a segment's first record, or of the last record that a snapshot covers
	size  int64
}

// storedFiles holds the closed segments and the snapshots, each ordered by index.
type storedFiles struct {
	segments  []storedFile
	snapshots []storedFile
}

// writer owns the log's files on a single goroutine. While a snapshot is being
// written, the files that it will replace are owned by the snapshot's goroutine.
type writer struct {
	*Log
	files       FileSystem
	nextIndex   uint64 // index of the next record
	segmentFile File   // the open segment; nil if the next batch begins one
	segment     storedFile
	stored      storedFiles
	reserve     reserve

	snapshotRunning bool
	snapshotEnded   chan storedFiles // files that remain after a snapshot completes or fails
}

func newWriter(log *Log) *writer {
	return &writer{Log: log, files: log.cfg.FileSystem, snapshotEnded: make(chan storedFiles, 1)}
}

// run serves requests until the log is closed or fails.
func (w *writer) run() {
	defer close(w.writerDone)
	ticker := w.cfg.Clock.Ticker(spaceCheckInterval)
	defer ticker.Stop()
	defer w.shutDown()
	for {
		select {
		case <-w.quit:
			return
		case <-ticker.C():
			w.updateSpace()
		case remaining := <-w.snapshotEnded:
			w.finishSnapshot(remaining)
		case req := <-w.requests:
			if !w.handleRequest(req) {
				return
			}
		}
	}
}

// shutDown waits for a running snapshot, closes the open segment and fails the
// queued snapshot requests.
func (w *writer) shutDown() {
	if w.snapshotRunning {
		<-w.snapshotEnded
	}
	if w.segmentFile != nil {
		_ = w.segmentFile.Close()
	}
	for len(w.requests) > 0 {
		if pending := <-w.requests; pending.snapshot != nil {
			pending.snapshot.done <- w.Err()
		}
	}
}

// handleRequest serves a request together with those queued behind it. It returns
// false if the log has failed.
func (w *writer) handleRequest(req request) (running bool) {
	batch, snapshot := w.collectBatch(req)
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

// collectBatch adds queued appends to a request's, up to the next snapshot request or
// until the batch exceeds maxBatchBytes.
func (w *writer) collectBatch(req request) (batch []request, snapshot *snapshotRequest) {
	size := 0
	for {
		if req.snapshot != nil {
			return batch, req.snapshot
		}
		batch = append(batch, req)
		for _, record := range req.records {
			size += len(record)
		}
		if size > maxBatchBytes {
			return batch, nil
		}
		select {
		case req = <-w.requests:
		default:
			return batch, nil
		}
	}
}

// writeBatch writes and syncs a batch of records. If there is no room, it truncates
// the segment so that none of them remain.
func (w *writer) writeBatch(batch []request) error {
	if w.segmentFile == nil {
		if err := w.beginSegment(); err != nil {
			return err
		}
	}
	data, priority := w.encodeBatch(batch)
	err := w.writeAndSync(data, priority)
	if isOutOfSpace(err) {
		w.fileSystemFull.Store(true)
		if truncateErr := w.segmentFile.Truncate(w.segment.size); truncateErr != nil {
			err = errors.Wrap(truncateErr, "truncate partially written batch")
		}
		return errors.Wrap(&FullError{Detail: err.Error()}, "append records")
	}
	if err != nil {
		return errors.Wrap(err, "append records")
	}
	w.segment.size += int64(len(data))
	w.queuedBytes.Add(-int64(len(data)))
	w.notifySynced(w.nextIndex - 1)
	if w.segment.size > w.cfg.SegmentBytes {
		return w.closeSegment()
	}
	return nil
}

// encodeBatch returns the batch's encoded frames and its highest priority.
func (w *writer) encodeBatch(batch []request) (data []byte, priority Priority) {
	batchIndex := w.nextIndex
	for _, req := range batch {
		priority = max(priority, req.priority)
		for _, record := range req.records {
			data = frame{index: w.nextIndex, batch: batchIndex, record: record}.appendTo(data)
			w.nextIndex++
		}
	}
	return data, priority
}

// writeAndSync appends encoded frames to the open segment and syncs it. If there is no
// room for an urgent batch, it releases the reserve and writes the rest.
func (w *writer) writeAndSync(data []byte, priority Priority) error {
	written, err := w.segmentFile.Write(data)
	if isOutOfSpace(err) && priority == Urgent && w.releaseReserve() {
		_, err = w.segmentFile.Write(data[written:])
	}
	if err != nil {
		return err
	}
	start := w.cfg.Clock.Now()
	err = w.segmentFile.Sync()
	w.lastSyncNanos.Store(int64(w.cfg.Clock.Now().Sub(start)))
	return err
}

// beginSegment creates the next segment and syncs the file and its folder, so that
// its directory entry is durable before a record is written.
func (w *writer) beginSegment() error {
	file, err := w.files.Create(w.path(segmentFileName(w.nextIndex)))
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if _, err = file.Write(segmentHeader(w.nextIndex)); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = w.files.SyncFolder(w.cfg.Folder)
	}
	if err != nil {
		_ = file.Close()
		if isOutOfSpace(err) {
			w.fileSystemFull.Store(true)
			err = &FullError{Detail: err.Error()}
		}
		return errors.Wrap(err, "create segment")
	}
	w.segmentFile = file
	w.segment = storedFile{index: w.nextIndex, size: segmentHeaderSize}
	w.usedBytes.Add(segmentHeaderSize)
	return nil
}

// closeSegment closes the open segment if it holds any records.
func (w *writer) closeSegment() error {
	if w.segmentFile == nil || w.segment.size <= segmentHeaderSize {
		return nil
	}
	if err := w.segmentFile.Close(); err != nil {
		return errors.Wrap(err, "close segment")
	}
	w.stored.segments = append(w.stored.segments, w.segment)
	w.segmentFile = nil
	return nil
}
