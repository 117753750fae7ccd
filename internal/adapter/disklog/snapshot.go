package disklog

import (
	"fmt"
	"io/fs"
	"slices"

	"github.com/pkg/errors"
)

// beginSnapshot closes the open segment, so that all segments before the snapshot
// can be removed, and writes the snapshot on a separate goroutine.
func (w *writer) beginSnapshot(snapshot *snapshotRequest) error {
	select {
	case remaining := <-w.snapshotEnded:
		// The result of the previous snapshot is delivered after snapshotEnded, so
		// this request may arrive before run has received snapshotEnded.
		w.finishSnapshot(remaining)
	default:
	}
	if w.snapshotRunning {
		snapshot.done <- &BusyError{Detail: "another snapshot is being written"}
		return nil
	}
	if err := w.closeSegment(); err != nil {
		return err
	}
	w.snapshotRunning = true
	used := w.usedBytes.Load()
	if w.cfg.QuotaBytes > 0 && used+snapshot.size() > w.cfg.QuotaBytes {
		w.snapshotEnded <- w.stored
		w.stored.segments = nil
		snapshot.done <- &FullError{Detail: fmt.Sprintf("snapshot of %d bytes: %d bytes used, quota %d bytes", snapshot.size(), used, w.cfg.QuotaBytes)}
		return nil
	}
	if w.fileSystemFull.Load() {
		w.releaseReserve()
	}
	replaced := w.stored
	w.stored = storedFiles{}
	go func() {
		remaining, err := w.writeSnapshot(snapshot, replaced)
		w.snapshotEnded <- remaining
		snapshot.done <- err
	}()
	return nil
}

// finishSnapshot returns to the writer the files that remain after a snapshot.
func (w *writer) finishSnapshot(remaining storedFiles) {
	w.snapshotRunning = false
	w.stored.segments = append(remaining.segments, w.stored.segments...)
	w.stored.snapshots = remaining.snapshots
	w.updateSpace()
}

// writeSnapshot writes a snapshot and removes the files that it replaces. It returns
// the files that remain, including the snapshot once it has its final name. It runs
// concurrently with the writer and doesn't touch the writer's files.
func (w *writer) writeSnapshot(snapshot *snapshotRequest, replaced storedFiles) (remaining storedFiles, err error) {
	newSnapshot := storedFile{index: snapshot.lastIndex, size: snapshot.size()}
	w.usedBytes.Add(newSnapshot.size)
	finalPath := w.path(snapshotFileName(snapshot.lastIndex))
	temporaryPath := finalPath + temporarySuffix
	if err := w.writeTemporaryFile(temporaryPath, snapshot); err != nil {
		w.usedBytes.Add(-newSnapshot.size)
		_ = w.files.Remove(temporaryPath)
		if isOutOfSpace(err) {
			return replaced, &FullError{Detail: err.Error()}
		}
		return replaced, errors.Wrap(err, "write snapshot")
	}
	if err := w.files.Rename(temporaryPath, finalPath); err != nil {
		return replaced, errors.Wrap(err, "rename snapshot")
	}
	replaced.snapshots = w.dropOverwritten(replaced.snapshots, snapshot.lastIndex)
	if err := w.files.SyncFolder(w.cfg.Folder); err != nil {
		replaced.snapshots = append(replaced.snapshots, newSnapshot)
		return replaced, errors.Wrap(err, "sync data folder")
	}
	remaining, err = w.removeReplacedFiles(replaced)
	remaining.snapshots = append(remaining.snapshots, newSnapshot)
	return remaining, err
}

// dropOverwritten returns the snapshots without the one whose file was overwritten
// by a new snapshot with the same index.
func (w *writer) dropOverwritten(snapshots []storedFile, index uint64) []storedFile {
	return slices.DeleteFunc(slices.Clone(snapshots), func(snapshot storedFile) bool {
		if snapshot.index != index {
			return false
		}
		w.usedBytes.Add(-snapshot.size)
		return true
	})
}

// writeTemporaryFile writes and syncs a snapshot under a temporary name, which
// recovery removes.
func (w *writer) writeTemporaryFile(path string, snapshot *snapshotRequest) error {
	file, err := w.files.Create(path)
	if err != nil {
		return err
	}
	if _, err = file.Write(snapshotHeader(snapshot.lastIndex, snapshot.data)); err == nil {
		_, err = file.Write(snapshot.data)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// removeReplacedFiles removes the segments, then the snapshots. On failure it returns
// those that remain.
func (w *writer) removeReplacedFiles(replaced storedFiles) (remaining storedFiles, err error) {
	remaining.segments, err = w.removeFiles(replaced.segments, segmentFileName)
	if err != nil {
		remaining.snapshots = replaced.snapshots
		return remaining, err
	}
	remaining.snapshots, err = w.removeFiles(replaced.snapshots, snapshotFileName)
	return remaining, err
}

// removeFiles removes files in order. On failure it returns those that remain.
func (w *writer) removeFiles(files []storedFile, fileName func(index uint64) string) ([]storedFile, error) {
	for i, file := range files {
		err := w.files.Remove(w.path(fileName(file.index)))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return files[i:], errors.Wrap(err, "remove file replaced by snapshot")
		}
		w.usedBytes.Add(-file.size)
	}
	return nil, nil
}
