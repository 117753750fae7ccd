package disklog

import (
	"io/fs"
	"slices"

	"stepwick/internal/apierror"

	"github.com/pkg/errors"
)

type segment struct {
	first uint64
	size  int64
}

// writer is the goroutine that owns the files.
type writer struct {
	*Log
	next     uint64 // place of the next record
	current  File
	open     segment
	closed   []segment
	kept     []segment // snapshots, by place
	reserved bool
	barren   bool // the file system can't reserve
	snapping chan covered
}

// covered is what a snapshot, once safe, replaces; or what it left over.
type covered struct {
	segments  []segment
	snapshots []segment
}

func (w *writer) run() {
	defer close(w.ended)
	ticker := w.cfg.Clock.Ticker(roomInterval)
	defer ticker.Stop()
	w.snapping = make(chan covered, 1)
	snapping := false
	defer func() {
		if snapping {
			<-w.snapping
		}
		if w.current != nil {
			_ = w.current.Close()
		}
		for len(w.in) > 0 {
			if e := <-w.in; e.done != nil {
				e.done <- w.Err()
			}
		}
	}()
	for {
		select {
		case <-w.quit:
			return
		case <-ticker.C():
			w.room()
		case left := <-w.snapping:
			snapping = false
			w.snapped(left)
		case e := <-w.in:
			batch, marker := w.gather(e)
			if len(batch) > 0 {
				if err := w.write(batch); err != nil {
					w.fail(err)
					return
				}
			}
			if marker == nil {
				continue
			}
			select {
			case left := <-w.snapping: // its end was told before it was taken in
				snapping = false
				w.snapped(left)
			default:
			}
			if snapping {
				marker.done <- apierror.Errorf(apierror.CoreUnreachable, "another snapshot is being written")
				continue
			}
			if err := w.begin(*marker); err != nil {
				w.fail(err)
				marker.done <- err
				return
			}
			snapping = true
		}
	}
}

// snapped takes in what a snapshot that has ended left in the folder.
func (w *writer) snapped(left covered) {
	w.closed = append(left.segments, w.closed...)
	w.kept = left.snapshots
	w.room()
}

// gather takes what else has arrived, up to a snapshot or about 1 MiB.
func (w *writer) gather(e entry) (batch []entry, marker *entry) {
	size := 0
	for {
		if e.done != nil {
			return batch, &e
		}
		batch = append(batch, e)
		for _, record := range e.records {
			size += len(record)
		}
		if size > batchBytes {
			return batch, nil
		}
		select {
		case e = <-w.in:
		default:
			return batch, nil
		}
	}
}

func (w *writer) write(batch []entry) error {
	if w.current == nil {
		if err := w.begun(); err != nil {
			return err
		}
	}
	var data []byte
	first, urgent := w.next, false
	for _, e := range batch {
		urgent = urgent || e.urgent
		for _, record := range e.records {
			data = appendFrame(data, w.next, first, record)
			w.next++
		}
	}
	n, err := w.current.Write(data)
	if noRoom(err) && urgent && w.release() {
		var more int
		more, err = w.current.Write(data[n:])
		n += more
	}
	if err == nil {
		begun := w.cfg.Clock.Now()
		err = w.current.Sync()
		w.last.Store(int64(w.cfg.Clock.Now().Sub(begun)))
	}
	if noRoom(err) {
		w.full.Store(true)
		if cut := w.current.Truncate(w.open.size); cut != nil {
			err = errors.Wrap(cut, "cut a half-written batch")
		}
		return errors.Wrap(&apierror.Error{Code: apierror.DiskFull, Detail: err.Error()}, "append")
	}
	if err != nil {
		return errors.Wrap(err, "append")
	}
	w.open.size += int64(len(data))
	w.waiting.Add(-int64(len(data)))
	w.notify(w.next - 1)
	if w.open.size > w.cfg.SegmentBytes {
		return w.rotate()
	}
	return nil
}

// begun makes the next segment; it is safe before a record goes in.
func (w *writer) begun() error {
	f, err := w.disk.Create(w.path(segmentName(w.next)))
	if err != nil {
		return errors.Wrap(err, "new segment")
	}
	if _, err = f.Write(segmentHeader(w.next)); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = w.disk.SyncFolder(w.cfg.Folder)
	}
	if err != nil {
		_ = f.Close()
		if noRoom(err) {
			w.full.Store(true)
			return errors.Wrap(&apierror.Error{Code: apierror.DiskFull, Detail: err.Error()}, "new segment")
		}
		return errors.Wrap(err, "new segment")
	}
	w.current, w.open = f, segment{first: w.next, size: segmentHead}
	w.used.Add(segmentHead)
	return nil
}

func (w *writer) rotate() error {
	if w.current == nil || w.open.size <= segmentHead {
		return nil
	}
	if err := w.current.Close(); err != nil {
		return errors.Wrap(err, "close a segment")
	}
	w.closed = append(w.closed, w.open)
	w.current = nil
	return nil
}

// begin closes the segment, so that all before the snapshot can go, and writes
// the snapshot on a goroutine of its own.
func (w *writer) begin(marker entry) error {
	if err := w.rotate(); err != nil {
		return err
	}
	size := snapshotHead + int64(len(marker.snapshot))
	if w.cfg.Quota > 0 && w.used.Load()+size > w.cfg.Quota {
		w.snapping <- covered{segments: w.closed, snapshots: w.kept}
		w.closed = nil
		marker.done <- apierror.Errorf(apierror.DiskFull, "a snapshot of %d bytes beside %d bytes used", size, w.used.Load())
		return nil
	}
	if w.full.Load() {
		w.release()
	}
	before := covered{segments: w.closed, snapshots: w.kept}
	w.closed, w.kept = nil, nil
	go func() {
		left, err := w.snapshot(marker, before)
		w.snapping <- left
		marker.done <- err
	}()
	return nil
}

func (w *writer) snapshot(marker entry, before covered) (left covered, err error) {
	made := segment{first: marker.first, size: snapshotHead + int64(len(marker.snapshot))}
	w.used.Add(made.size)
	final := w.path(snapshotName(marker.first))
	if err := w.aside(final+asideSuffix, marker); err != nil {
		w.used.Add(-made.size)
		_ = w.disk.Remove(final + asideSuffix)
		if noRoom(err) {
			return before, &apierror.Error{Code: apierror.DiskFull, Detail: err.Error()}
		}
		return before, errors.Wrap(err, "snapshot")
	}
	if err := w.disk.Rename(final+asideSuffix, final); err != nil {
		return before, errors.Wrap(err, "snapshot")
	}
	before.snapshots = slices.DeleteFunc(slices.Clone(before.snapshots), func(s segment) bool {
		if s.first == made.first {
			w.used.Add(-s.size)
		}
		return s.first == made.first
	})
	if err := w.disk.SyncFolder(w.cfg.Folder); err != nil {
		before.snapshots = append(before.snapshots, made)
		return before, errors.Wrap(err, "snapshot")
	}
	left.segments, err = w.removeAll(before.segments, segmentName)
	if err == nil {
		left.snapshots, err = w.removeAll(before.snapshots, snapshotName)
	} else {
		left.snapshots = before.snapshots
	}
	left.snapshots = append(left.snapshots, made)
	return left, err
}

func (w *writer) aside(path string, marker entry) error {
	f, err := w.disk.Create(path)
	if err != nil {
		return err
	}
	if _, err = f.Write(snapshotHeader(marker.first, marker.snapshot)); err == nil {
		_, err = f.Write(marker.snapshot)
	}
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

// removeAll removes files in order and returns those that are left.
func (w *writer) removeAll(files []segment, name func(uint64) string) ([]segment, error) {
	for i, file := range files {
		if err := w.disk.Remove(w.path(name(file.first))); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return files[i:], errors.Wrap(err, "remove what the snapshot replaces")
		}
		w.used.Add(-file.size)
	}
	return nil, nil
}

// room keeps the reserve on a disk without a quota: a file of its size whose
// blocks can be given back. The disk counts as full while the reserve, or a
// little room beside it, can't be had.
func (w *writer) room() {
	if !w.full.Load() && (w.reserved || w.barren || w.cfg.Quota > 0) {
		return
	}
	w.full.Store(noRoom(w.allocate()))
}

func (w *writer) allocate() error {
	if w.cfg.Quota == 0 && !w.barren {
		err := w.disk.Allocate(w.path(reserveName), w.cfg.ReserveBytes)
		w.reserved = err == nil
		if err != nil {
			_ = w.disk.Remove(w.path(reserveName))
			w.barren = !noRoom(err)
			return err
		}
	}
	trial := w.path("room" + asideSuffix)
	err := w.disk.Allocate(trial, min(w.cfg.ReserveBytes, trialBytes))
	_ = w.disk.Remove(trial)
	return err
}

// release gives the reserve's blocks back and tells whether there were any.
func (w *writer) release() bool {
	if !w.reserved {
		return false
	}
	w.reserved = false
	return w.disk.Remove(w.path(reserveName)) == nil
}
