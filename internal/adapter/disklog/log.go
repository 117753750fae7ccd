package disklog

import (
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedRequests and maxQueuedBytes limit the queue of the writer.
	maxQueuedRequests = 4096
	maxQueuedBytes    = 128 << 20
	// typicalRecordBytes is the record size that Full assumes.
	typicalRecordBytes = 1024
)

// Priority determines whether records may use the disk reserve.
type Priority int

// Priorities of records.
const (
	Ordinary Priority = iota // must leave the reserve free
	Urgent                   // may use the reserve
)

// Replay holds the contents of the log when it was opened: the latest complete
// snapshot and the records after it, in order.
type Replay struct {
	Snapshot     []byte // nil if there is none
	Records      [][]byte
	SegmentCount int
	TornSegment  string // file name of the segment whose torn tail was truncated, or empty
	TornBytes    int64  // size of the truncated tail
	BadSnapshot  string // file name of the newest snapshot, if it is corrupt and was skipped; otherwise empty
}

// Log is a write-ahead log on disk. Append, WriteSnapshot and LastIndex must be
// called by a single goroutine, the owner; Full, UsedBytes, LastSyncDuration and Err
// may be called concurrently.
type Log struct {
	cfg        Config
	quit       chan struct{} // closed by Close
	writerDone chan struct{} // closed when the writer goroutine has stopped
	requests   chan request
	synced     chan uint64
	failed     chan struct{}
	failure    atomic.Pointer[error]
	lastIndex  uint64

	usedBytes      atomic.Int64 // of all files and of queued records
	queuedBytes    atomic.Int64 // of queued records
	fileSystemFull atomic.Bool  // only the reserve is left on the file system
	lastSyncNanos  atomic.Int64 // duration of the last sync
}

// request asks the writer to write a snapshot or, if that is nil, to append records.
type request struct {
	records  [][]byte
	priority Priority
	snapshot *snapshotRequest
}

type snapshotRequest struct {
	lastIndex uint64 // index of the last record that the snapshot covers
	data      []byte
	done      chan error // buffered, receives one result
}

// size returns the size of the snapshot's file in bytes.
func (s *snapshotRequest) size() int64 { return snapshotHeaderSize + int64(len(s.data)) }

func newLog(cfg Config) *Log {
	return &Log{
		cfg:        cfg,
		quit:       make(chan struct{}),
		writerDone: make(chan struct{}),
		requests:   make(chan request, maxQueuedRequests),
		synced:     make(chan uint64, 1),
		failed:     make(chan struct{}),
	}
}

// Open reads the folder, truncates a torn tail after the last complete record and
// starts the writer. If a record before the last batch is corrupt, it returns a
// *CorruptionError with segment and offset and leaves that segment unchanged.
func Open(cfg Config) (*Log, Replay, error) {
	log := newLog(cfg.withDefaults())
	w := newWriter(log)
	replay, err := w.recover()
	if err != nil {
		return nil, Replay{}, err
	}
	log.lastIndex = w.nextIndex - 1
	log.fileSystemFull.Store(isOutOfSpace(w.checkSpace()))
	go w.run()
	return log, replay, nil
}

// Append queues records to be written and synced, in order, and returns the index
// of the last one without waiting for the disk; Synced delivers that index once
// they are durable. It rejects all of them with a *FullError if they don't fit
// (ordinary records must leave the reserve free), with a *BusyError if the queue
// is full, or with a *RecordSizeError if one is too large.
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
		return 0, &BusyError{Detail: fmt.Sprintf("append of %d bytes: %d bytes queued for the disk, limit %d bytes", size, queued, maxQueuedBytes)}
	}
	if !l.hasSpace(size, priority) {
		return 0, &FullError{Detail: fmt.Sprintf("append of %d bytes: %d bytes used, reserve %d bytes, quota %d bytes (0 for none)", size, l.usedBytes.Load(), l.cfg.ReserveBytes, l.cfg.QuotaBytes)}
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
	limit := l.cfg.QuotaBytes
	if priority == Ordinary {
		if l.fileSystemFull.Load() {
			return false
		}
		limit -= l.cfg.ReserveBytes
	}
	return l.cfg.QuotaBytes <= 0 || l.usedBytes.Load()+size <= limit
}

func queueFullError() error {
	return &BusyError{Detail: fmt.Sprintf("disk queue is full: %d requests", maxQueuedRequests)}
}

// WriteSnapshot writes data to a snapshot file, as the state after all records
// appended so far, and then removes the segments and snapshots that it replaces.
// done delivers the result once: a *FullError if there is no room, which leaves the
// log unchanged, or a *BusyError if another snapshot is being written or the queue
// is full.
func (l *Log) WriteSnapshot(data []byte) (done <-chan error) {
	result := make(chan error, 1)
	if err := l.Err(); err != nil {
		result <- err
		return result
	}
	select {
	case l.requests <- request{snapshot: &snapshotRequest{lastIndex: l.lastIndex, data: data, done: result}}:
	default:
		result <- queueFullError()
	}
	return result
}

// LastIndex returns the index of the last appended record.
func (l *Log) LastIndex() uint64 { return l.lastIndex }

// Synced delivers the index up to which all records are synced, each time it
// advances. A value that has not been received is replaced by the next.
func (l *Log) Synced() <-chan uint64 { return l.synced }

// Failed returns a channel that is closed when a write or sync has failed. Records
// after the last synced index may or may not be on disk: reopen the log to find out.
func (l *Log) Failed() <-chan struct{} { return l.failed }

// Err returns the error that stopped the log, ErrClosed after Close, or nil.
func (l *Log) Err() error {
	if failure := l.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Full reports whether an ordinary record of typical size would be rejected for
// lack of space.
func (l *Log) Full() bool { return !l.hasSpace(frameHeaderSize+typicalRecordBytes, Ordinary) }

// UsedBytes returns the total size of all files and queued records.
func (l *Log) UsedBytes() int64 { return l.usedBytes.Load() }

// LastSyncDuration returns the duration of the last sync of records.
func (l *Log) LastSyncDuration() time.Duration { return time.Duration(l.lastSyncNanos.Load()) }

// Close stops the writer and closes its files. Records that are not synced may be
// lost. It must be called once.
func (l *Log) Close() error {
	closed := error(ErrClosed)
	l.failure.CompareAndSwap(nil, &closed)
	close(l.quit)
	<-l.writerDone
	return nil
}

func (l *Log) path(name string) string { return filepath.Join(l.cfg.Folder, name) }

// notifySynced delivers an index on Synced, replacing one that was not received.
func (l *Log) notifySynced(index uint64) {
	select {
	case <-l.synced:
	default:
	}
	l.synced <- index
}

// fail stops the log from accepting requests and records the first error.
func (l *Log) fail(err error) {
	if l.failure.CompareAndSwap(nil, &err) {
		close(l.failed)
	}
}
