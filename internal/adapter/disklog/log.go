// Package disklog keeps a core's records in a log of segments with snapshots
// beside it. Appends that arrive while a sync runs are written and synced
// together, off the caller's goroutine.
package disklog

import (
	"path/filepath"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"

	"github.com/pkg/errors"
)

// Config of a log. Sizes are in bytes.
type Config struct {
	Folder       string
	SegmentBytes int64         // a new segment is begun beyond this size; 0 is 4 MiB
	ReserveBytes int64         // kept free for snapshots and new disk lives; 0 is 1 MiB, under a quota at most a quarter of it
	Quota        int64         // bound of all files together; 0 is none
	SyncDelay    time.Duration // added to every sync, for proving
	Disk         Disk          // nil is the machine's
	Clock        clock.Clock   // nil is the machine's
}

// Replay is what the disk held when the log was opened. Records follow the
// snapshot in their order.
type Replay struct {
	Snapshot    []byte // nil when there is none
	Records     [][]byte
	Segments    int
	TornSegment string // segment whose torn tail was cut, if any
	TornBytes   int64
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
	roomInterval = time.Second
)

// Open reads the folder, cuts a torn tail at the last whole record and starts
// the writer. A bad record before the last batch is an apierror.BadRecord error
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
		cfg.Clock = clock.System()
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
// are refused as a whole, with apierror.DiskFull, when only the reserve is left;
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
		return 0, apierror.Errorf(apierror.CoreUnreachable, "the disk is too slow: %d bytes wait for it", waiting)
	}
	bound := l.cfg.Quota - l.cfg.ReserveBytes
	if urgent {
		bound = l.cfg.Quota
	}
	if l.full.Load() && !urgent || l.cfg.Quota > 0 && l.used.Load()+size > bound {
		return 0, apierror.Errorf(apierror.DiskFull, "%d bytes used", l.used.Load())
	}
	select {
	case l.in <- entry{records: records, first: l.place + 1, urgent: urgent}:
	default:
		return 0, apierror.Errorf(apierror.CoreUnreachable, "the disk is too slow: %d appends wait for it", maxEntries)
	}
	l.place += uint64(len(records))
	l.waiting.Add(size)
	l.used.Add(size)
	return l.place, nil
}

// WriteSnapshot writes data aside as the state after all records appended so far,
// and puts it in their place once it is safe. Done delivers the outcome once;
// a lack of room is apierror.DiskFull and leaves the log as it was.
func (l *Log) WriteSnapshot(data []byte) (done <-chan error) {
	outcome := make(chan error, 1)
	if err := l.Err(); err != nil {
		outcome <- err
		return outcome
	}
	select {
	case l.in <- entry{snapshot: data, first: l.place, done: outcome}:
	default:
		outcome <- apierror.Errorf(apierror.CoreUnreachable, "the disk is too slow: %d appends wait for it", maxEntries)
	}
	return outcome
}

// LastIndex is the place of the last record appended.
func (l *Log) LastIndex() uint64 { return l.place }

// Synced delivers the highest place up to which all records are synced, each
// time it rises; a value not yet taken is replaced by the next.
func (l *Log) Synced() <-chan uint64 { return l.synced }

// Failed is closed when a write or sync has failed. What was appended since the
// last synced place may or may not be on disk: open the folder again.
func (l *Log) Failed() <-chan struct{} { return l.dead }

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
func (l *Log) LastSync() time.Duration { return time.Duration(l.last.Load()) }

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
