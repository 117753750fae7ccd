package disklog

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// folderFiles lists the log's files in its folder by index, in ascending order.
type folderFiles struct {
	segments      []uint64
	snapshots     []uint64
	snapshotSizes map[uint64]int64
}

// recover reads the folder and prepares the writer to continue the log. It removes
// incomplete files that a crash left and files that a snapshot replaces.
func (w *writer) recover() (Replay, error) {
	var replay Replay
	if err := w.files.MkdirAll(w.cfg.Folder); err != nil {
		return replay, errors.Wrap(err, "create data folder")
	}
	listing, err := w.listFolder()
	if err != nil {
		return replay, err
	}
	snapshotIndex, err := w.readNewestSnapshot(listing, &replay)
	if err != nil {
		return replay, err
	}
	segments, err := w.removeReplacedSegments(listing.segments, snapshotIndex)
	if err != nil {
		return replay, err
	}
	if err := w.removeOlderSnapshots(listing, snapshotIndex); err != nil {
		return replay, err
	}
	return replay, w.readSegments(snapshotIndex, segments, &replay)
}

// listFolder lists the log's files and removes temporary ones.
func (w *writer) listFolder() (folderFiles, error) {
	listing := folderFiles{snapshotSizes: map[uint64]int64{}}
	infos, err := w.files.List(w.cfg.Folder)
	if err != nil {
		return listing, errors.Wrap(err, "list data folder")
	}
	for _, info := range infos {
		name := info.Name()
		if firstIndex, ok := parseFileName(name, segmentSuffix); ok {
			listing.segments = append(listing.segments, firstIndex)
		} else if lastIndex, ok := parseFileName(name, snapshotSuffix); ok {
			listing.snapshots = append(listing.snapshots, lastIndex)
			listing.snapshotSizes[lastIndex] = info.Size()
		} else if strings.HasSuffix(name, temporarySuffix) {
			if err := w.files.Remove(w.path(name)); err != nil {
				return listing, errors.Wrap(err, "remove temporary file")
			}
		} else if name == reserveFileName {
			w.reserve.allocated = true
		}
	}
	slices.Sort(listing.segments)
	slices.Sort(listing.snapshots)
	return listing, nil
}

// readNewestSnapshot reads the newest complete snapshot and returns its index, or 0
// if there is none. Corrupt newer snapshots are skipped. It returns a
// *CorruptionError if there is no segment, or the first one begins after the next record,
// so that an older snapshot is used only with the segments that follow it.
func (w *writer) readNewestSnapshot(listing folderFiles, replay *Replay) (snapshotIndex uint64, err error) {
	var firstErr error
	for _, lastIndex := range slices.Backward(listing.snapshots) {
		path := w.path(snapshotFileName(lastIndex))
		data, err := w.files.ReadFile(path)
		if err != nil {
			return 0, errors.Wrap(err, "read snapshot")
		}
		body, err := decodeSnapshot(path, data, lastIndex)
		if err == nil {
			replay.Snapshot = body
			snapshotIndex = lastIndex
			break
		}
		if firstErr == nil {
			firstErr = err
			replay.BadSnapshot = snapshotFileName(lastIndex)
		}
	}
	if len(listing.segments) == 0 && firstErr != nil {
		return 0, firstErr
	}
	if len(listing.segments) > 0 && listing.segments[0] > snapshotIndex+1 {
		if firstErr != nil {
			return 0, firstErr
		}
		return 0, missingRecordsError(w.path(segmentFileName(listing.segments[0])), snapshotIndex+1)
	}
	return snapshotIndex, nil
}

// removeReplacedSegments removes the segments whose records are all covered by the
// snapshot, and returns the others. The last segment is kept in any case.
func (w *writer) removeReplacedSegments(segments []uint64, snapshotIndex uint64) ([]uint64, error) {
	for len(segments) > 1 && segments[1] <= snapshotIndex+1 {
		if err := w.files.Remove(w.path(segmentFileName(segments[0]))); err != nil {
			return nil, errors.Wrap(err, "remove segment replaced by snapshot")
		}
		segments = segments[1:]
	}
	return segments, nil
}

func (w *writer) removeOlderSnapshots(listing folderFiles, snapshotIndex uint64) error {
	for _, lastIndex := range listing.snapshots {
		if lastIndex < snapshotIndex {
			if err := w.files.Remove(w.path(snapshotFileName(lastIndex))); err != nil {
				return errors.Wrap(err, "remove older snapshot")
			}
			continue
		}
		size := listing.snapshotSizes[lastIndex]
		w.stored.snapshots = append(w.stored.snapshots, storedFile{index: lastIndex, size: size})
		w.usedBytes.Add(size)
	}
	return nil
}

// readSegments reads the records after the snapshot and leaves the last segment
// open for further appends.
func (w *writer) readSegments(snapshotIndex uint64, segments []uint64, replay *Replay) error {
	w.nextIndex = snapshotIndex + 1
	for i, firstIndex := range segments {
		isLast := i == len(segments)-1
		path := w.path(segmentFileName(firstIndex))
		data, err := w.files.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		records, completeBytes, err := decodeSegment(path, data, firstIndex, isLast)
		if err != nil {
			return err
		}
		if i > 0 && firstIndex != w.nextIndex {
			return missingRecordsError(path, w.nextIndex)
		}
		endIndex := firstIndex + uint64(len(records))
		if endIndex > snapshotIndex+1 {
			replay.Records = append(replay.Records, records[max(firstIndex, snapshotIndex+1)-firstIndex:]...)
		}
		w.nextIndex = max(endIndex, snapshotIndex+1)
		if !isLast {
			w.stored.segments = append(w.stored.segments, storedFile{index: firstIndex, size: int64(len(data))})
			w.usedBytes.Add(int64(len(data)))
			continue
		}
		if err := w.continueSegment(path, firstIndex, int64(completeBytes), endIndex < snapshotIndex+1); err != nil {
			return err
		}
		if completeBytes < len(data) {
			replay.TornSegment = segmentFileName(firstIndex)
			replay.TornBytes = int64(len(data) - completeBytes)
		}
	}
	replay.SegmentCount = len(segments)
	return nil
}

// continueSegment opens the last segment for appending after its last complete
// record. A segment without a complete header, or whose records end before the
// snapshot's index, is removed instead; the next append creates a new one.
func (w *writer) continueSegment(path string, firstIndex uint64, completeBytes int64, endsBeforeSnapshot bool) error {
	if completeBytes == 0 || endsBeforeSnapshot {
		return errors.Wrap(w.files.Remove(path), "remove incomplete or replaced segment")
	}
	file, err := w.files.Open(path)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	if err := truncateAndSync(file, completeBytes); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "truncate torn tail")
	}
	w.segmentFile = file
	w.segment = storedFile{index: firstIndex, size: completeBytes}
	w.usedBytes.Add(completeBytes)
	return nil
}

func truncateAndSync(file File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return err
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return err
	}
	return file.Sync()
}

func missingRecordsError(path string, firstMissing uint64) error {
	return newCorruptionError(path, 0, fmt.Sprintf("missing records from index %d up to the first record", firstMissing))
}
