package disklog

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// folderFiles are the log's files in its folder, by their indices in order.
type folderFiles struct {
	segments      []uint64
	snapshots     []uint64
	snapshotSizes map[uint64]int64
}

// recover reads the folder and prepares the writer to continue the log. It
// removes what a crash left unfinished and what a snapshot replaces.
func (w *writer) recover() (Replay, error) {
	var replay Replay
	if err := w.files.MkdirAll(w.cfg.Folder); err != nil {
		return replay, errors.Wrap(err, "data folder")
	}
	found, err := w.listFolder()
	if err != nil {
		return replay, err
	}
	base, err := w.readNewestSnapshot(found, &replay)
	if err != nil {
		return replay, err
	}
	segments, err := w.removeReplacedSegments(found.segments, base)
	if err != nil {
		return replay, err
	}
	if err := w.removeOlderSnapshots(found, base); err != nil {
		return replay, err
	}
	return replay, w.readSegments(base, segments, &replay)
}

// listFolder lists the log's files and removes those that were never completed.
func (w *writer) listFolder() (folderFiles, error) {
	found := folderFiles{snapshotSizes: map[uint64]int64{}}
	infos, err := w.files.List(w.cfg.Folder)
	if err != nil {
		return found, errors.Wrap(err, "data folder")
	}
	for _, info := range infos {
		name := info.Name()
		if first, ok := parseFileName(name, segmentSuffix); ok {
			found.segments = append(found.segments, first)
		} else if last, ok := parseFileName(name, snapshotSuffix); ok {
			found.snapshots = append(found.snapshots, last)
			found.snapshotSizes[last] = info.Size()
		} else if strings.HasSuffix(name, temporarySuffix) {
			if err := w.files.Remove(w.path(name)); err != nil {
				return found, errors.Wrap(err, "a snapshot left aside")
			}
		} else if name == reserveFileName {
			w.reserve.allocated = true
		}
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found, nil
}

// readNewestSnapshot reads the newest complete snapshot and returns its index;
// zero without one. An older one serves only while all segments after it are
// still there.
func (w *writer) readNewestSnapshot(found folderFiles, replay *Replay) (base uint64, err error) {
	var firstBad error
	for _, last := range slices.Backward(found.snapshots) {
		path := w.path(snapshotFileName(last))
		data, err := w.files.Read(path)
		if err != nil {
			return 0, errors.Wrap(err, "snapshot")
		}
		body, err := decodeSnapshot(path, data, last)
		if err == nil {
			replay.Snapshot = body
			base = last
			break
		}
		if firstBad == nil {
			firstBad = err
			replay.BadSnapshot = snapshotFileName(last)
		}
	}
	if len(found.segments) == 0 && len(found.snapshots) > 0 && replay.Snapshot == nil {
		return 0, firstBad
	}
	if len(found.segments) > 0 && found.segments[0] > base+1 {
		if firstBad != nil {
			return 0, firstBad
		}
		return 0, missingRecords(w.path(segmentFileName(found.segments[0])), base+1)
	}
	return base, nil
}

// removeReplacedSegments removes the segments all of whose records are in the
// snapshot, and returns the others.
func (w *writer) removeReplacedSegments(segments []uint64, base uint64) ([]uint64, error) {
	for len(segments) > 1 && segments[1] <= base+1 {
		if err := w.files.Remove(w.path(segmentFileName(segments[0]))); err != nil {
			return nil, errors.Wrap(err, "a segment before the snapshot")
		}
		segments = segments[1:]
	}
	return segments, nil
}

func (w *writer) removeOlderSnapshots(found folderFiles, base uint64) error {
	for _, last := range found.snapshots {
		if last < base {
			if err := w.files.Remove(w.path(snapshotFileName(last))); err != nil {
				return errors.Wrap(err, "an older snapshot")
			}
			continue
		}
		size := found.snapshotSizes[last]
		w.stored.snapshots = append(w.stored.snapshots, storedFile{index: last, size: size})
		w.usedBytes.Add(size)
	}
	return nil
}

// readSegments reads the records after the snapshot, and leaves the last segment
// open for further ones.
func (w *writer) readSegments(base uint64, segments []uint64, replay *Replay) error {
	w.nextIndex = base + 1
	for i, first := range segments {
		last := i == len(segments)-1
		path := w.path(segmentFileName(first))
		data, err := w.files.Read(path)
		if err != nil {
			return errors.Wrap(err, "segment")
		}
		records, complete, err := decodeSegment(path, data, first, last)
		if err != nil {
			return err
		}
		if i > 0 && first != w.nextIndex {
			return missingRecords(path, w.nextIndex)
		}
		end := first + uint64(len(records))
		if end > base+1 {
			replay.Records = append(replay.Records, records[max(first, base+1)-first:]...)
		}
		w.nextIndex = max(end, base+1)
		if !last {
			w.stored.segments = append(w.stored.segments, storedFile{index: first, size: int64(len(data))})
			w.usedBytes.Add(int64(len(data)))
			continue
		}
		if err := w.continueSegment(path, first, int64(complete), end < base+1); err != nil {
			return err
		}
		if complete < len(data) {
			replay.TornSegment = segmentFileName(first)
			replay.TornBytes = int64(len(data) - complete)
		}
	}
	replay.Segments = len(segments)
	return nil
}

// continueSegment opens the last segment after its last complete record. One
// without a complete header, or whose records end before the snapshot's last, is
// removed: the next record begins another.
func (w *writer) continueSegment(path string, first uint64, complete int64, endsEarly bool) error {
	if complete == 0 || endsEarly {
		return errors.Wrap(w.files.Remove(path), "an unfinished segment")
	}
	file, err := w.files.Open(path)
	if err != nil {
		return errors.Wrap(err, "segment")
	}
	if err := truncateAndSync(file, complete); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "cut a torn tail")
	}
	w.current = file
	w.segment = storedFile{index: first, size: complete}
	w.usedBytes.Add(complete)
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

func missingRecords(path string, from uint64) error {
	return corruption(path, 0, fmt.Sprintf("records from %d on are missing before the first", from))
}
