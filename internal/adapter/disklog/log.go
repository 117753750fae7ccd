// Package disklog keeps a core's records in a log of segments with snapshots
// beside it. Appends that arrive while a sync runs are written and synced
// together, off the caller's goroutine.
package disklog

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"stepwick/internal/kernel"
)

// Config of a log. Sizes are in bytes.
type Config struct {
	Folder       string
	SegmentBytes int64           // a new segment is begun beyond this size; 0 is 4 MiB
	ReserveBytes int64           // kept free for snapshots and new disk lives; 0 is 1 MiB, under a quota at most a quarter of it
	Quota        int64           // bound of all files together; 0 is none
	SyncDelay    kernel.Duration // added to every sync, for proving
	Disk         Disk            // nil is the machine's
	Clock        kernel.Clock    // nil is the machine's
}

// Replay is what the disk held when the log was opened. Records follow the
// snapshot in their order.
type Replay struct {
	Snapshot    []byte // nil when there is none
	Records     [][]byte
	Segments    int
	CutSegment  string // segment whose torn tail was cut, if any
	CutBytes    int64
	BadSnapshot string // a newer snapshot that fails its checksum and was passed over
}

// Log is a log on disk. Append, Snapshot and the channels are for one owner.
type Log struct {
	cfg     Config
	disk    Disk
	quit    chan struct{}
	ended   chan struct{}
	in      chan entry
	synced  chan uint64
	dead    chan struct{}
	failure atomic.Pointer[error]
	used    atomic.Int64
	waiting atomic.Int64
	full    atomic.Bool
	last    atomic.Int64
	place   uint64
}

type entry struct {
	records  [][]byte
	first    uint64
	urgent   bool
	snapshot []byte
	done     chan error
}

const (
	maxEntries   = 4096
	maxWaiting   = 128 << 20
	batchBytes   = 1 << 20
	trialBytes   = 256 << 10
	roomInterval = kernel.Second
)

// Open reads the folder, cuts a torn tail at the last whole record and starts
// the writer. A bad record before the last batch is a kernel.BadRecord fault
// that names segment and offset; nothing is changed then.
func Open(cfg Config) (*Log, Replay, error) {
	if cfg.SegmentBytes <= 0 {
		cfg.SegmentBytes = 4 << 20
	}
	if cfg.ReserveBytes <= 0 {
		cfg.ReserveBytes = 1 << 20
	}
	if cfg.Quota > 0 {
		cfg.ReserveBytes = min(cfg.ReserveBytes, cfg.Quota/4)
	}
	if cfg.Disk == nil {
		cfg.Disk = System()
	}
	if cfg.Clock == nil {
		cfg.Clock = kernel.System()
	}
	if cfg.SyncDelay > 0 {
		cfg.Disk = Slow(cfg.Disk, cfg.Clock, cfg.SyncDelay)
	}
	l := &Log{cfg: cfg, disk: cfg.Disk, quit: make(chan struct{}), ended: make(chan struct{}), dead: make(chan struct{}),
		in: make(chan entry, maxEntries), synced: make(chan uint64, 1)}
	w := &writer{Log: l}
	replay, err := w.recover()
	if err != nil {
		return nil, Replay{}, err
	}
	l.place = w.next - 1
	w.full.Store(noRoom(w.allocate()))
	go w.run()
	return l, replay, nil
}

// Append takes records to be written and synced, in order, and returns the
// place of the last one without waiting; Synced tells when they are safe. They
// are refused as a whole, with kernel.DiskFull, when only the reserve is left;
// urgent ones may use the reserve.
func (l *Log) Append(records [][]byte, urgent bool) (uint64, error) {
	if err := l.Err(); err != nil {
		return 0, err
	}
	size := int64(0)
	for _, record := range records {
		if err := checkSize(record); err != nil {
			return 0, err
		}
		size += frameHead + int64(len(record))
	}
	waiting := l.waiting.Load()
	if waiting > 0 && waiting+size > maxWaiting {
		return 0, kernel.Refuse(kernel.CoreUnreachable, "the disk is too slow: %d bytes wait for it", waiting)
	}
	bound := l.cfg.Quota - l.cfg.ReserveBytes
	if urgent {
		bound = l.cfg.Quota
	}
	if l.full.Load() && !urgent || l.cfg.Quota > 0 && l.used.Load()+size > bound {
		return 0, kernel.Refuse(kernel.DiskFull, "%d bytes used", l.used.Load())
	}
	select {
	case l.in <- entry{records: records, first: l.place + 1, urgent: urgent}:
	default:
		return 0, kernel.Refuse(kernel.CoreUnreachable, "the disk is too slow: %d appends wait for it", maxEntries)
	}
	l.place += uint64(len(records))
	l.waiting.Add(size)
	l.used.Add(size)
	return l.place, nil
}

// Snapshot writes data aside as the state after all records appended so far,
// and puts it in their place once it is safe. Done delivers the outcome once;
// a lack of room is kernel.DiskFull and leaves the log as it was.
func (l *Log) Snapshot(data []byte) (done <-chan error) {
	outcome := make(chan error, 1)
	if err := l.Err(); err != nil {
		outcome <- err
		return outcome
	}
	select {
	case l.in <- entry{snapshot: data, first: l.place, done: outcome}:
	default:
		outcome <- kernel.Refuse(kernel.CoreUnreachable, "the disk is too slow: %d appends wait for it", maxEntries)
	}
	return outcome
}

// Place is the place of the last record appended.
func (l *Log) Place() uint64 { return l.place }

// Synced delivers the highest place up to which all records are synced, each
// time it rises; a value not yet taken is replaced by the next.
func (l *Log) Synced() <-chan uint64 { return l.synced }

// Dead is closed when a write or sync has failed. What was appended since the
// last synced place may or may not be on disk: open the folder again.
func (l *Log) Dead() <-chan struct{} { return l.dead }

// Err returns why the log is dead or closed, or nil.
func (l *Log) Err() error {
	if failure := l.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Full tells whether ordinary appends of a typical size are refused for lack
// of room.
func (l *Log) Full() bool {
	return l.full.Load() || l.cfg.Quota > 0 && l.used.Load()+frameHead+1024 > l.cfg.Quota-l.cfg.ReserveBytes
}

// Used is the size of all files, and of what waits to be written, in bytes.
func (l *Log) Used() int64 { return l.used.Load() }

// LastSync is how long the last sync took.
func (l *Log) LastSync() kernel.Duration { return kernel.Duration(l.last.Load()) }

// Close stops the writer and closes its files. What was not synced may be lost.
func (l *Log) Close() error {
	closed := error(errors.New("the log is closed"))
	l.failure.CompareAndSwap(nil, &closed)
	close(l.quit)
	<-l.ended
	return nil
}

func (l *Log) path(name string) string { return filepath.Join(l.cfg.Folder, name) }

func (l *Log) notify(place uint64) {
	select {
	case <-l.synced:
	default:
	}
	l.synced <- place
}

func (l *Log) fail(err error) {
	if l.failure.CompareAndSwap(nil, &err) {
		close(l.dead)
	}
}

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
			replay.CutSegment, replay.CutBytes = segmentName(first), int64(len(data)-whole)
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
			w.closed = append(left.segments, w.closed...)
			w.kept = left.snapshots
			w.room()
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
			if snapping {
				marker.done <- kernel.Refuse(kernel.CoreUnreachable, "another snapshot is being written")
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
		return errors.Wrap(&kernel.Fault{Code: kernel.DiskFull, Detail: err.Error()}, "append")
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
			return errors.Wrap(&kernel.Fault{Code: kernel.DiskFull, Detail: err.Error()}, "new segment")
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
		marker.done <- kernel.Refuse(kernel.DiskFull, "a snapshot of %d bytes beside %d bytes used", size, w.used.Load())
		w.snapping <- covered{segments: w.closed, snapshots: w.kept}
		w.closed = nil
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
			return before, &kernel.Fault{Code: kernel.DiskFull, Detail: err.Error()}
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
