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
	// forgetAfter is how long after it was last seen a process is forgotten.
	forgetAfter = 10 * time.Minute

	inboxCapacity = 64
)

// Directory knows the processes of the fleet. It starts from the addresses of the
// seeds and discovers the others by gossip; see gossip.go. Processes that the feed
// of a core reports as live are known as well.
//
// The goroutine of Serve owns it; readers load an immutable table.
type Directory struct {
	clock clock.Clock
	pool  *Pool
	log   events.Log
	self  func() *wire.Process
	table atomic.Pointer[processTable]

	// live is what the feed of a core last reported.
	live        atomic.Pointer[liveProcesses]
	liveChanged chan struct{}
	received    chan []*wire.Process // records by gossip
	newSeeds    chan []string

	// The fields from here on belong to the goroutine of Serve.
	seeds      []string
	counter    uint64 // of the process's own record
	random     *rand.Rand
	lastChange time.Time // when gossip last brought a process or an incarnation that was new
}

// liveProcesses are the processes that the feed of a core reports as live.
type liveProcesses struct {
	records []*wire.Process
	names   map[string]bool
}

// NewDirectory returns a directory. Self returns the process's own record at each
// call, with a counter that rises, or zero; seeds are internal addresses (ip:port).
func NewDirectory(pool *Pool, clock clock.Clock, log events.Log, seeds []string, self func() *wire.Process) *Directory {
	seed := xxhash.Sum64String(self().Name)
	directory := &Directory{
		clock:       clock,
		pool:        pool,
		log:         log,
		seeds:       seeds,
		self:        self,
		random:      rand.New(rand.NewPCG(seed, 1)),
		received:    make(chan []*wire.Process, inboxCapacity),
		liveChanged: make(chan struct{}, 1),
		newSeeds:    make(chan []string),
	}
	directory.table.Store(newProcessTable(nil))
	directory.live.Store(&liveProcesses{})
	return directory
}

// Process returns what is known of a process by its name.
func (d *Directory) Process(name string) (*wire.Process, bool) {
	entry, found := d.table.Load().find(name)
	return entry.Process, found
}

// Processes returns all known processes in the order of their names. The slice
// must not be changed.
func (d *Directory) Processes() []*wire.Process { return d.table.Load().processes }

// Cores returns the known cores in the order of their names. The slice must not be
// changed.
func (d *Directory) Cores() []*wire.Process { return d.table.Load().cores }

// KnownProcesses returns all known processes with the time at which they were last
// seen, in the order of their names. The slice must not be changed; the same one is
// returned until something is new.
func (d *Directory) KnownProcesses() []port.KnownProcess { return d.table.Load().known }

// Client returns a client for an internal address (ip:port).
func (d *Directory) Client(address string) PeerClient { return d.pool.Client(address) }

// SetSeeds replaces the seeds. It waits for the owner until the context ends.
func (d *Directory) SetSeeds(ctx context.Context, seeds []string) {
	select {
	case d.newSeeds <- seeds:
	case <-ctx.Done():
	}
}

// ConfirmLive takes all processes that the feed of a core reports as live. They are
// known by these records and are not forgotten, whether gossip brings them or not.
// It never waits.
func (d *Directory) ConfirmLive(live []*wire.Process) {
	names := make(map[string]bool, len(live))
	for _, process := range live {
		names[process.Name] = true
	}
	d.live.Store(&liveProcesses{records: live, names: names})
	select {
	case d.liveChanged <- struct{}{}:
	default:
	}
}

// Serve keeps the directory until the context ends, and returns its error.
func (d *Directory) Serve(ctx context.Context) error {
	d.lastChange = d.clock.Now()
	d.merge([]*wire.Process{d.selfRecord()}, fromGossip)
	for {
		interval := d.gossipInterval()
		d.gossip(ctx)
		if err := d.serveUntil(ctx, interval); err != nil {
			return err
		}
		d.merge([]*wire.Process{d.selfRecord()}, fromGossip)
	}
}

// serveUntil takes what arrives until an interval has passed. It returns the
// context's error when that ends first.
func (d *Directory) serveUntil(ctx context.Context, interval time.Duration) error {
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
		case <-d.liveChanged:
			d.merge(d.live.Load().records, fromFeed)
		case <-elapsed:
			return nil
		}
	}
}

// selfRecord returns the process's own record with a counter that rises.
func (d *Directory) selfRecord() *wire.Process {
	own := d.self()
	d.counter = max(d.counter+1, own.Counter)
	own.Counter = d.counter
	return own
}

// recordSource is where records of processes come from.
type recordSource int

const (
	fromGossip recordSource = iota // or from this process itself
	fromFeed
)

// merge takes records: of each name the newest is kept. Only what gossip brings
// counts as a change, which others then learn sooner: all of them follow a feed.
func (d *Directory) merge(records []*wire.Process, source recordSource) {
	now := d.clock.Now()
	self := d.self()
	next := d.table.Load().edit()
	d.forgetStale(next, self.Name, now)
	for _, record := range records {
		if record.Name == "" || record.Address == "" {
			continue
		}
		if record.Name == self.Name && record.Incarnation != self.Incarnation {
			d.logNameTaken(record, self)
			continue
		}
		known, found := next.find(record.Name)
		if source == fromGossip && (!found || isNotable(record, known.Process)) {
			d.lastChange = now
		}
		if !found || isNewer(record, known.Process) {
			next.put(port.KnownProcess{Process: proto.Clone(record).(*wire.Process), LastSeen: now})
		}
	}
	d.table.Store(next.table())
}

// forgetStale removes processes that nobody has reported for long.
func (d *Directory) forgetStale(next *tableEdit, self string, now time.Time) {
	live := d.live.Load().names
	next.removeFunc(func(known port.KnownProcess) bool {
		name := known.Process.Name
		return now.Sub(known.LastSeen) >= forgetAfter && name != self && !live[name]
	})
}

// logNameTaken logs that a process which started later runs under the own name at
// another address.
func (d *Directory) logNameTaken(record, self *wire.Process) {
	if record.Incarnation > self.Incarnation && record.Address != self.Address {
		d.log.Emit(events.NameConflict, "name", record.Name, "address", record.Address)
	}
}

// isNotable reports whether a record shows a restart, or of something else that
// others should learn soon.
func isNotable(record, known *wire.Process) bool {
	if !isNewer(record, known) {
		return false
	}
	return record.Incarnation > known.Incarnation ||
		record.Address != known.Address ||
		record.Standing != known.Standing ||
		record.Formation != known.Formation ||
		record.Ready != known.Ready ||
		record.Leaving != known.Leaving
}

// isNewer reports whether a record replaces another of the same name. Of two
// processes that run under one name with different disks, the one whose disk was
// created later has replaced the other.
func isNewer(record, known *wire.Process) bool {
	if record.DiskLife != known.DiskLife && record.DiskLife > 0 && known.DiskLife > 0 {
		return record.DiskLife > known.DiskLife
	}
	if record.Incarnation != known.Incarnation {
		return record.Incarnation > known.Incarnation
	}
	return record.Counter > known.Counter
}
