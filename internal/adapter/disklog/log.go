package disklog

import (
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedRequests and maxQueuedBytes limit what waits for a slow disk.
	maxQueuedRequests = 4096
	maxQueuedBytes    = 128 << 20
	// typicalRecordBytes is the size of record that Full assumes.
	typicalRecordBytes = 1024
)

// Priority is whether records may use the disk's reserve.
type Priority int

// Priorities of records.
const (
	Ordinary Priority = iota // leave the reserve free
	Urgent                   // may use the reserve
)

// Replay is what the disk held when the log was opened. Records follow the
// snapshot in their order.
type Replay struct {
	Snapshot    []byte // nil when there is none
	Records     [][]byte
	Segments    int
	TornSegment string // the segment whose torn tail was cut off, or empty
	TornBytes   int64  // that were cut off
	BadSnapshot string // a newer snapshot that fails its checksum and was skipped, or empty
}

// Log is a log on disk. Append, WriteSnapshot and LastIndex are for one owner
// goroutine; Full, Used, LastSync and Err may be called from any.
type Log struct {
	cfg       Config
	quit      chan struct{} // closed by Close
	ended     chan struct{} // closed when the writer has ended
	requests  chan request
	synced    chan uint64
	failed    chan struct{}
	failure   atomic.Pointer[error]
	lastIndex uint64

	usedBytes   atomic.Int64 // of all files, and of what waits to be written
	queuedBytes atomic.Int64 // of what waits to be written
	full        atomic.Bool  // the file system has no room beside the reserve
	lastSync    atomic.Int64 // how long it took, in nanoseconds
}

// request is an append of records or, where it is set, a snapshot.
type request struct {
	records  [][]byte
	priority Priority
	snapshot *snapshotRequest
}

type snapshotRequest struct {
	last uint64 // the index of the last record that it replaces
	data []byte
	done chan error // with room for one
}

// size is the number of bytes of the snapshot's file.
func (s *snapshotRequest) size() int64 { return snapshotHeaderSize + int64(len(s.data)) }

func newLog(cfg Config) *Log {
	return &Log{
		cfg:      cfg,
		quit:     make(chan struct{}),
		ended:    make(chan struct{}),
		requests: make(chan request, maxQueuedRequests),
		synced:   make(chan uint64, 1),
		failed:   make(chan struct{}),
	}
}

// Open reads the folder, cuts a torn tail off after the last complete record and
// starts the writer. For a bad record before the last batch it returns a
// *CorruptionError with segment and offset, and changes nothing in that segment.
func Open(cfg Config) (*Log, Replay, error) {
	log := newLog(cfg.withDefaults())
	w := newWriter(log)
	replay, err := w.recover()
	if err != nil {
		return nil, Replay{}, err
	}
	log.lastIndex = w.nextIndex - 1
	log.full.Store(isNoSpace(w.checkSpace()))
	go w.run()
	return log, replay, nil
}

// Append queues records to be written and synced, in order, and returns the
// index of the last one without waiting; Synced delivers when they are safe. All
// of them are refused, with a *FullError, when only the reserve is left and they
// are not urgent, or with a *BusyError when too much waits for the disk.
func (l *Log) Append(records [][]byte, priority Priority) (index uint64, err error) {
	if err := l.Err(); err != nil {
		return 0, err
	}
	size := int64(0)
	for _, record := range records {
		if len(record) > maxRecordBytes {
			return 0, &RecordSizeError{Size: len(record)}
		}
		size += frameHeaderSize + int64(len(record))
	}
	queued := l.queuedBytes.Load()
	if queued > 0 && queued+size > maxQueuedBytes {
		return 0, &BusyError{Detail: fmt.Sprintf("the disk is too slow: %d bytes wait for it", queued)}
	}
	if !l.hasSpace(size, priority) {
		return 0, &FullError{Detail: fmt.Sprintf("%d bytes used", l.usedBytes.Load())}
	}
	select {
	case l.requests <- request{records: records, priority: priority}:
	default:
		return 0, queueFullError()
	}
	l.lastIndex += uint64(len(records))
	l.queuedBytes.Add(size)
	l.usedBytes.Add(size)
	return l.lastIndex, nil
}

func (l *Log) hasSpace(size int64, priority Priority) bool {
	limit := l.cfg.Quota
	if priority == Ordinary {
		if l.full.Load() {
			return false
		}
		limit -= l.cfg.ReserveBytes
	}
	return l.cfg.Quota <= 0 || l.usedBytes.Load()+size <= limit
}

func queueFullError() error {
	return &BusyError{Detail: fmt.Sprintf("the disk is too slow: %d appends wait for it", maxQueuedRequests)}
}

// WriteSnapshot writes data to a file of its own, as the state after all records
// appended so far, and then removes these records. Done delivers the result
// once; a lack of room is a *FullError and leaves the log as it was, and a
// snapshot beside another one is refused with a *BusyError.
func (l *Log) WriteSnapshot(data []byte) (done <-chan error) {
	result := make(chan error, 1)
	if err := l.Err(); err != nil {
		result <- err
		return result
	}
	select {
	case l.requests <- request{snapshot: &snapshotRequest{last: l.lastIndex, data: data, done: result}}:
	default:
		result <- queueFullError()
	}
	return result
}

// LastIndex is the index of the last record appended.
func (l *Log) LastIndex() uint64 { return l.lastIndex }

// Synced delivers the highest index up to which all records are synced, each
// time it rises; a value not yet received is replaced by the next.
func (l *Log) Synced() <-chan uint64 { return l.synced }

// Failed is closed when a write or sync has failed. What was appended since the
// last synced index may or may not be on disk: open the folder again.
func (l *Log) Failed() <-chan struct{} { return l.failed }

// Err returns why the log has failed, ErrClosed after Close, or nil.
func (l *Log) Err() error {
	if failure := l.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Full reports whether ordinary records of a typical size are refused for lack
// of room.
func (l *Log) Full() bool { return !l.hasSpace(frameHeaderSize+typicalRecordBytes, Ordinary) }

// Used is the size of all files, and of what waits to be written, in bytes.
func (l *Log) Used() int64 { return l.usedBytes.Load() }

// LastSync is how long the last sync took.
func (l *Log) LastSync() time.Duration { return time.Duration(l.lastSync.Load()) }

// Close stops the writer and closes its files. What was not synced may be lost.
// It must be called once.
func (l *Log) Close() error {
	closed := error(ErrClosed)
	l.failure.CompareAndSwap(nil, &closed)
	close(l.quit)
	<-l.ended
	return nil
}

func (l *Log) path(name string) string { return filepath.Join(l.cfg.Folder, name) }

// notifySynced replaces an index that was not yet received by a higher one.
func (l *Log) notifySynced(index uint64) {
	select {
	case <-l.synced:
	default:
	}
	l.synced <- index
}

// fail makes the log take nothing more, for the first reason given.
func (l *Log) fail(err error) {
	if l.failure.CompareAndSwap(nil, &err) {
		close(l.failed)
	}
}
