package disklog

import (
	"fmt"
	"io/fs"
	"slices"

	"github.com/pkg/errors"
)

// beginSnapshot closes the segment, so that all before the snapshot can be
// removed, and writes the snapshot on a goroutine of its own.
func (w *writer) beginSnapshot(snapshot *snapshotRequest) error {
	select {
	case left := <-w.snapshotEnded:
		// The caller of the one before was answered, and this is its next.
		w.finishSnapshot(left)
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
	if w.cfg.Quota > 0 && used+snapshot.size() > w.cfg.Quota {
		w.snapshotEnded <- w.stored
		w.stored.segments = nil
		snapshot.done <- &FullError{Detail: fmt.Sprintf("a snapshot of %d bytes beside %d bytes used", snapshot.size(), used)}
		return nil
	}
	if w.full.Load() {
		w.releaseReserve()
	}
	replaced := w.stored
	w.stored = storedFiles{}
	go func() {
		left, err := w.writeSnapshot(snapshot, replaced)
		w.snapshotEnded <- left
		snapshot.done <- err
	}()
	return nil
}

// finishSnapshot takes back the files that a snapshot left in the folder.
func (w *writer) finishSnapshot(left storedFiles) {
	w.snapshotRunning = false
	w.stored.segments = append(left.segments, w.stored.segments...)
	w.stored.snapshots = left.snapshots
	w.updateSpace()
}

// writeSnapshot writes a snapshot and removes the files that it replaces. It
// returns the files that are left, the snapshot's included once it has its final
// name. It runs beside the writer and uses none of its files.
func (w *writer) writeSnapshot(snapshot *snapshotRequest, replaced storedFiles) (left storedFiles, err error) {
	written := storedFile{index: snapshot.last, size: snapshot.size()}
	w.usedBytes.Add(written.size)
	finalPath := w.path(snapshotFileName(snapshot.last))
	temporaryPath := finalPath + temporarySuffix
	if err := w.writeTemporary(temporaryPath, snapshot); err != nil {
		w.usedBytes.Add(-written.size)
		_ = w.files.Remove(temporaryPath)
		if isNoSpace(err) {
			return replaced, &FullError{Detail: err.Error()}
		}
		return replaced, errors.Wrap(err, "snapshot")
	}
	if err := w.files.Rename(temporaryPath, finalPath); err != nil {
		return replaced, errors.Wrap(err, "snapshot")
	}
	replaced.snapshots = w.withoutOverwritten(replaced.snapshots, snapshot.last)
	if err := w.files.SyncFolder(w.cfg.Folder); err != nil {
		replaced.snapshots = append(replaced.snapshots, written)
		return replaced, errors.Wrap(err, "snapshot")
	}
	left, err = w.removeReplaced(replaced)
	left.snapshots = append(left.snapshots, written)
	return left, err
}

// withoutOverwritten returns the snapshots but the one whose file was replaced
// by another of the same index.
func (w *writer) withoutOverwritten(snapshots []storedFile, index uint64) []storedFile {
	return slices.DeleteFunc(slices.Clone(snapshots), func(snapshot storedFile) bool {
		if snapshot.index != index {
			return false
		}
		w.usedBytes.Add(-snapshot.size)
		return true
	})
}

// writeTemporary writes and syncs a snapshot under a name that recovery ignores.
func (w *writer) writeTemporary(path string, snapshot *snapshotRequest) error {
	file, err := w.files.Create(path)
	if err != nil {
		return err
	}
	if _, err = file.Write(snapshotHeader(snapshot.last, snapshot.data)); err == nil {
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

// removeReplaced removes the segments, then the snapshots, and returns those
// that are left after a failure.
func (w *writer) removeReplaced(replaced storedFiles) (left storedFiles, err error) {
	left.segments, err = w.removeAll(replaced.segments, segmentFileName)
	if err != nil {
		left.snapshots = replaced.snapshots
		return left, err
	}
	left.snapshots, err = w.removeAll(replaced.snapshots, snapshotFileName)
	return left, err
}

// removeAll removes files in order and returns those that are left.
func (w *writer) removeAll(files []storedFile, name func(index uint64) string) ([]storedFile, error) {
	for i, file := range files {
		err := w.files.Remove(w.path(name(file.index)))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return files[i:], errors.Wrap(err, "remove what the snapshot replaces")
		}
		w.usedBytes.Add(-file.size)
	}
	return nil, nil
}
