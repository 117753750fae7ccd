package disklog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

func (w *writer) recover() (Replay, error) {
	var replay Replay
	if err := w.disk.MkdirAll(w.cfg.Folder); err != nil {
		return replay, errors.Wrap(err, "data folder")
	}
	infos, err := w.disk.List(w.cfg.Folder)
	if err != nil {
		return replay, errors.Wrap(err, "data folder")
	}
	var segments, snapshots []uint64
	sizes := map[string]int64{}
	for _, info := range infos {
		name := info.Name()
		sizes[name] = info.Size()
		if first, ok := placeOf(name, segmentSuffix); ok {
			segments = append(segments, first)
		} else if place, ok := placeOf(name, snapshotSuffix); ok {
			snapshots = append(snapshots, place)
		} else if strings.HasSuffix(name, asideSuffix) {
			if err := w.disk.Remove(w.path(name)); err != nil {
				return replay, errors.Wrap(err, "a snapshot left aside")
			}
		} else if name == reserveName {
			w.reserved = true
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	base, err := w.readSnapshots(snapshots, segments, &replay)
	if err != nil {
		return replay, err
	}
	for len(segments) > 1 && segments[1] <= base+1 {
		if err := w.disk.Remove(w.path(segmentName(segments[0]))); err != nil {
			return replay, errors.Wrap(err, "a segment before the snapshot")
		}
		segments = segments[1:]
	}
	for _, place := range snapshots {
		if place < base {
			if err := w.disk.Remove(w.path(snapshotName(place))); err != nil {
				return replay, errors.Wrap(err, "an older snapshot")
			}
		} else {
			w.kept = append(w.kept, segment{first: place, size: sizes[snapshotName(place)]})
			w.used.Add(sizes[snapshotName(place)])
		}
	}
	return replay, w.readSegments(base, segments, &replay)
}

// readSnapshots takes the newest whole snapshot. An older one serves only
// while all segments after it are still there.
func (w *writer) readSnapshots(snapshots, segments []uint64, replay *Replay) (base uint64, err error) {
	var bad error
	for _, place := range slices.Backward(snapshots) {
		path := w.path(snapshotName(place))
		data, err := w.disk.Read(path)
		if err != nil {
			return 0, errors.Wrap(err, "snapshot")
		}
		body, err := readSnapshot(path, data, place)
		if err == nil {
			replay.Snapshot, base = body, place
			break
		}
		if bad == nil {
			bad, replay.BadSnapshot = err, snapshotName(place)
		}
	}
	if len(segments) == 0 && len(snapshots) > 0 && replay.Snapshot == nil {
		return 0, bad
	}
	if len(segments) > 0 && segments[0] > base+1 {
		if bad != nil {
			return 0, bad
		}
		return 0, badRecord(w.path(segmentName(segments[0])), 0, fmt.Sprintf("records from %d on are missing before the first", base+1))
	}
	return base, nil
}

func (w *writer) readSegments(base uint64, segments []uint64, replay *Replay) error {
	w.next = base + 1
	for i, first := range segments {
		path := w.path(segmentName(first))
		data, err := w.disk.Read(path)
		if err != nil {
			return errors.Wrap(err, "segment")
		}
		last := i == len(segments)-1
		records, whole, err := readSegment(path, data, first, last)
		if err != nil {
			return err
		}
		if i > 0 && first != w.next {
			return badRecord(path, 0, fmt.Sprintf("records from %d on are missing before the first", w.next))
		}
		end := first + uint64(len(records))
		if end > base+1 {
			replay.Records = append(replay.Records, records[max(first, base+1)-first:]...)
		}
		w.next = max(end, base+1)
		switch {
		case !last:
			w.closed = append(w.closed, segment{first: first, size: int64(len(data))})
			w.used.Add(int64(len(data)))
		case whole == 0 || end < base+1:
			if err := w.disk.Remove(path); err != nil {
				return errors.Wrap(err, "an unfinished segment")
			}
		default:
			if err := w.reopen(path, first, int64(whole)); err != nil {
				return err
			}
		}
		if last && whole < len(data) {
			replay.TornSegment, replay.TornBytes = segmentName(first), int64(len(data)-whole)
		}
	}
	replay.Segments = len(segments)
	return nil
}

func (w *writer) reopen(path string, first uint64, size int64) error {
	f, err := w.disk.Open(path)
	if err != nil {
		return errors.Wrap(err, "segment")
	}
	if err = f.Truncate(size); err == nil {
		_, err = f.Seek(size, 0)
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close()
		return errors.Wrap(err, "cut a torn tail")
	}
	w.current, w.open = f, segment{first: first, size: size}
	w.used.Add(size)
	return nil
}
