package internalrpc

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	// staleAfter is how long after it was last seen a process is removed.
	staleAfter = 10 * time.Minute

	receivedCapacity = 64
)

// Directory lists the processes of the fleet. It starts with the addresses of the seeds
// and discovers other processes by gossip (see gossip.go) and from a core's feed.
//
// The goroutine of Serve owns it; readers load an immutable table, so the exported
// methods other than Serve may be called concurrently.
type Directory struct {
	clock clock.Clock
	pool  *Pool
	log   events.Log
	self  func() *wire.Process
	table atomic.Pointer[processTable]

	// running holds the last report of a core's feed.
	running        atomic.Pointer[runningProcesses]
	runningChanged chan struct{}
	received       chan []*wire.Process // records from gossip
	newSeeds       chan []string

	// The fields below are owned by the goroutine of Serve.
	seeds      []string
	counter    uint64 // counter of the process's own record
	random     *rand.Rand
	lastChange time.Time // when gossip last delivered a new process or a significant change
}

// runningProcesses holds the processes that a core's feed reports as running.
type runningProcesses struct {
	records []*wire.Process
	names   map[string]bool
}

// NewDirectory returns a directory. self returns a fresh record of this process on each
// call, with an increasing counter or 0; seeds are internal addresses (ip:port).
func NewDirectory(pool *Pool, clock clock.Clock, log events.Log, seeds []string, self func() *wire.Process) *Directory {
	seed := xxhash.Sum64String(self().Name)
	directory := &Directory{
		clock:          clock,
		pool:           pool,
		log:            log,
		seeds:          seeds,
		self:           self,
		random:         rand.New(rand.NewPCG(seed, 1)),
		received:       make(chan []*wire.Process, receivedCapacity),
		runningChanged: make(chan struct{}, 1),
		newSeeds:       make(chan []string),
	}
	directory.table.Store(newProcessTable(nil))
	directory.running.Store(&runningProcesses{})
	return directory
}

// Process returns the latest record of a process by name.
func (d *Directory) Process(name string) (*wire.Process, bool) {
	entry, found := d.table.Load().find(name)
	return entry.Process, found
}

// Processes returns all known processes, sorted by name. The slice must not be
// modified.
func (d *Directory) Processes() []*wire.Process { return d.table.Load().processes }

// Cores returns the known cores, sorted by name. The slice must not be modified.
func (d *Directory) Cores() []*wire.Process { return d.table.Load().cores }

// KnownProcesses returns all known processes with the time at which they were last
// seen, sorted by name. The slice must not be modified. The same slice is returned
// until an entry changes.
func (d *Directory) KnownProcesses() []port.KnownProcess { return d.table.Load().entries }

// Client returns a client for an internal address (ip:port).
func (d *Directory) Client(address string) PeerClient { return d.pool.Client(address) }

// SetSeeds replaces the seeds. It blocks until Serve receives them or the context ends.
func (d *Directory) SetSeeds(ctx context.Context, seeds []string) {
	select {
	case d.newSeeds <- seeds:
	case <-ctx.Done():
	}
}

// ConfirmRunning replaces the set of processes that a core's feed reports as running. The
// directory merges their records and keeps these processes even if gossip no longer
// delivers them. It never blocks.
func (d *Directory) ConfirmRunning(running []*wire.Process) {
	names := make(map[string]bool, len(running))
	for _, process := range running {
		names[process.Name] = true
	}
	d.running.Store(&runningProcesses{records: running, names: names})
	select {
	case d.runningChanged <- struct{}{}:
	default:
	}
}

// Serve updates the directory until the context ends, and returns the context's error.
func (d *Directory) Serve(ctx context.Context) error {
	d.lastChange = d.clock.Now()
	d.merge([]*wire.Process{d.nextSelfRecord()}, fromGossip)
	for {
		interval := d.gossipInterval()
		d.startGossipRound(ctx)
		if err := d.serveFor(ctx, interval); err != nil {
			return err
		}
		d.merge([]*wire.Process{d.nextSelfRecord()}, fromGossip)
	}
}

// serveFor merges received records and applies new seeds until the interval has elapsed.
// It returns the context's error if the context ends first.
func (d *Directory) serveFor(ctx context.Context, interval time.Duration) error {
	elapsed, stop := clock.NewTimer(interval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case records := <-d.received:
			d.merge(records, fromGossip)
		case seeds := <-d.newSeeds:
			d.seeds = seeds
		case <-d.runningChanged:
			d.merge(d.running.Load().records, fromFeed)
		case <-elapsed:
			return nil
		}
	}
}

// nextSelfRecord returns the process's own record with the next counter.
func (d *Directory) nextSelfRecord() *wire.Process {
	record := d.self()
	d.counter = max(d.counter+1, record.Counter)
	record.Counter = d.counter
	return record
}

// recordSource is the origin of process records.
type recordSource int

const (
	fromGossip recordSource = iota // or from this process itself
	fromFeed
)

// merge removes stale processes and merges records into the table, keeping the newest
// of each name. Only changes from gossip shorten the gossip interval: changes in a feed
// need no gossip, since every process follows a feed.
func (d *Directory) merge(records []*wire.Process, source recordSource) {
	now := d.clock.Now()
	self := d.self()
	edit := d.table.Load().edit()
	d.removeStale(edit, self.Name, now)
	for _, record := range records {
		if record.Name == "" || record.Address == "" {
			continue
		}
		if record.Name == self.Name && record.Incarnation != self.Incarnation {
			d.logNameConflict(record, self)
			continue
		}
		current, found := edit.find(record.Name)
		if source == fromGossip && (!found || isSignificantChange(record, current.Process)) {
			d.lastChange = now
		}
		if !found || supersedes(record, current.Process) {
			edit.put(port.KnownProcess{Process: proto.Clone(record).(*wire.Process), LastSeen: now})
		}
	}
	d.table.Store(edit.build())
}

// removeStale removes processes that were not seen within staleAfter and that the feed
// doesn't report as running.
func (d *Directory) removeStale(edit *tableEdit, selfName string, now time.Time) {
	runningNames := d.running.Load().names
	edit.removeFunc(func(entry port.KnownProcess) bool {
		name := entry.Process.Name
		return now.Sub(entry.LastSeen) >= staleAfter && name != selfName && !runningNames[name]
	})
}

// logNameConflict logs that a process that started later uses this process's name at
// another address.
func (d *Directory) logNameConflict(record, self *wire.Process) {
	if record.Incarnation > self.Incarnation && record.Address != self.Address {
		d.log.Emit(events.NameConflict, "name", record.Name, "address", record.Address)
	}
}

// isSignificantChange reports whether a newer record shows a restart or another change
// that must spread quickly.
func isSignificantChange(record, current *wire.Process) bool {
	if !supersedes(record, current) {
		return false
	}
	return record.Incarnation > current.Incarnation ||
		record.Address != current.Address ||
		record.Standing != current.Standing ||
		record.Formation != current.Formation ||
		record.Ready != current.Ready ||
		record.Leaving != current.Leaving
}

// supersedes reports whether a record replaces the current one of the same name. If two
// processes use one name with different disks, the one whose disk was created later has
// replaced the other.
func supersedes(record, current *wire.Process) bool {
	if record.DiskLife != current.DiskLife && record.DiskLife > 0 && current.DiskLife > 0 {
		return record.DiskLife > current.DiskLife
	}
	if record.Incarnation != current.Incarnation {
		return record.Incarnation > current.Incarnation
	}
	return record.Counter > current.Counter
}
