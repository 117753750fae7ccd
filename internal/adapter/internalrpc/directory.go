package internalrpc

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	helloAlone    = 50 * time.Millisecond  // while nobody else is known
	helloBusy     = 250 * time.Millisecond // while the table still grows
	helloInterval = 15 * time.Second
	helloSettle   = 2 * time.Second // without news after which the table counts as settled
	helloTimeout  = 700 * time.Millisecond
	helloSample   = 4
	helloRecords  = 512
	forgetAfter   = 10 * time.Minute
)

// Directory knows the processes of the fleet. It begins with the seeds'
// addresses and learns the rest by exchanging hellos of constant size: oneself,
// every core and a sample of the others, often while there is news and seldom
// after. What a core's feed and pings tell of processes is taken in as well.
// One goroutine owns it; readers load an immutable table.
type Directory struct {
	clock   clock.Clock
	pool    *Pool
	log     events.Log
	seeds   []string
	self    func() *wire.Process
	counter uint64
	random  *rand.Rand
	news    time.Time // when a process or an incarnation was last new
	hellos  chan []*wire.Process
	table   atomic.Pointer[table]
	vouched atomic.Pointer[attested]
	wake    chan struct{}
	reseed  chan []string
}

// SetSeeds names other seeds from now on.
func (d *Directory) SetSeeds(ctx context.Context, seeds []string) {
	select {
	case d.reseed <- seeds:
	case <-ctx.Done():
	}
}

// attested is what the cores' feed says of who lives.
type attested struct {
	live  []*wire.Process
	names map[string]bool
}

// NewDirectory returns a directory. Self gives the process's own record at each
// call, with a counter that rises, or none; seeds are internal addresses, ip:port.
func NewDirectory(pool *Pool, clock clock.Clock, log events.Log, seeds []string, self func() *wire.Process) *Directory {
	name := self().Name
	d := &Directory{
		clock: clock, pool: pool, log: log, seeds: seeds, self: self,
		random: rand.New(rand.NewPCG(xxhash.Sum64String(name), 1)),
		hellos: make(chan []*wire.Process, 64), wake: make(chan struct{}, 1), reseed: make(chan []string),
	}
	d.table.Store(newTable(nil))
	d.vouched.Store(&attested{})
	return d
}

// Process returns what is known of a process by its name.
func (d *Directory) Process(name string) (*wire.Process, bool) {
	s, ok := d.table.Load().find(name)
	return s.Process, ok
}

// Processes returns all known processes in the order of their names. The slice
// must not be changed.
func (d *Directory) Processes() []*wire.Process { return d.table.Load().processes }

// Cores returns the known processes with a disk in the order of their names. The
// slice must not be changed.
func (d *Directory) Cores() []*wire.Process { return d.table.Load().cores }

// Sights returns all known processes with the time they were last seen, in the
// order of their names. The slice must not be changed; the same one is returned
// until something is new.
func (d *Directory) Sights() []port.Sight { return d.table.Load().sights }

// Client returns a client for an internal address.
func (d *Directory) Client(address string) PeerClient { return d.pool.Client(address) }

// Hello takes in the caller's record and its sample and answers with the same.
func (d *Directory) Hello(ctx context.Context, req *wire.HelloRequest) (*wire.HelloResponse, error) {
	if len(req.Known) > helloRecords {
		return nil, apierror.Errorf(apierror.BadField, "hello with %d records, at most %d", len(req.Known), helloRecords)
	}
	records := req.Known
	if req.Self != nil {
		records = append(records, req.Self)
	}
	select {
	case d.hellos <- records:
	default:
	}
	known := d.sample()
	return &wire.HelloResponse{Self: d.self(), Known: known}, nil
}

func (d *Directory) sample() []*wire.Process {
	known := d.table.Load()
	some := slices.Clone(known.cores)
	if len(known.others) <= helloSample {
		return append(some, known.others...)
	}
	for _, i := range rand.Perm(len(known.others))[:helloSample] {
		some = append(some, known.others[i])
	}
	return some
}

// Serve keeps the directory until the context ends.
func (d *Directory) Serve(ctx context.Context) error {
	d.news = d.clock.Now()
	d.merge([]*wire.Process{d.ownRecord()}, true)
	for {
		wait := helloInterval
		switch {
		case len(d.table.Load().sights) < 2:
			wait = helloAlone
		case d.clock.Now().Sub(d.news) < helloSettle:
			wait = helloBusy
		}
		d.greet(ctx)
		wake, stop := clock.NewTimer(wait)
	waiting:
		for {
			select {
			case <-ctx.Done():
				stop()
				return ctx.Err()
			case records := <-d.hellos:
				d.merge(records, true)
			case seeds := <-d.reseed:
				d.seeds = seeds
			case <-d.wake:
				d.merge(d.vouched.Load().live, false)
			case <-wake:
				break waiting
			}
		}
		d.merge([]*wire.Process{d.ownRecord()}, true)
	}
}

func (d *Directory) ownRecord() *wire.Process {
	own := d.self()
	d.counter = max(d.counter+1, own.Counter)
	own.Counter = d.counter
	return own
}

func (d *Directory) greet(ctx context.Context) {
	own, _ := d.Process(d.self().Name)
	targets := slices.Clone(d.seeds)
	for _, p := range d.Processes() {
		targets = append(targets, p.Address)
	}
	targets = slices.DeleteFunc(targets, func(address string) bool { return address == own.Address })
	if len(targets) == 0 {
		return
	}
	if len(d.table.Load().sights) >= 2 {
		targets = targets[d.random.IntN(len(targets)):][:1]
	}
	known := d.sample()
	for _, address := range targets {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
			defer cancel()
			resp, err := d.pool.Client(address).Hello(callCtx, connect.NewRequest(&wire.HelloRequest{Self: own, Known: known}))
			if err != nil {
				d.failed(address, err)
				return
			}
			records := resp.Msg.Known
			if resp.Msg.Self != nil {
				records = append(records, resp.Msg.Self)
			}
			select {
			case d.hellos <- records:
			case <-ctx.Done():
			}
		}()
	}
}

// failed logs a hello that a stranger refused, and while nobody else is known
// any that failed.
func (d *Directory) failed(address string, err error) {
	switch {
	case connect.CodeOf(err) == connect.CodePermissionDenied:
		d.log.Emit(events.SecretRefused, "address", address)
	case len(d.table.Load().sights) < 2:
		d.log.Emit(events.SeedsUnreachable, "address", address, "error", err)
	}
}

// merge keeps the record with the higher (incarnation, counter) of each name.
// Gossip tells whether others learn of news only by hellos.
func (d *Directory) merge(records []*wire.Process, gossip bool) {
	now, own := d.clock.Now(), d.self()
	next := d.table.Load().edit()
	d.forget(next, own.Name, now)
	for _, r := range records {
		if r.Name == "" || r.Address == "" {
			continue
		}
		if r.Name == own.Name && r.Incarnation != own.Incarnation {
			if r.Incarnation > own.Incarnation && r.Address != own.Address {
				d.log.Emit(events.NameConflict, "name", r.Name, "address", r.Address)
			}
			continue
		}
		have, ok := next.get(r.Name)
		if gossip && (!ok || r.Incarnation > have.Process.Incarnation && newer(r, have.Process) || changed(r, have.Process)) {
			d.news = now
		}
		if !ok || newer(r, have.Process) {
			next.put(port.Sight{Process: proto.Clone(r).(*wire.Process), Seen: now})
		}
	}
	d.table.Store(next.done())
}

// forget drops processes that nobody has told of for long.
func (d *Directory) forget(next *edit, own string, now time.Time) {
	vouched := d.vouched.Load().names
	next.forget(func(s port.Sight) bool {
		return now.Sub(s.Seen) >= forgetAfter && s.Process.Name != own && !vouched[s.Process.Name]
	})
}

// Attest takes in all processes that a core's feed says are live: they are
// known by these records and kept, whether hellos tell of them or not. It never
// waits.
func (d *Directory) Attest(live []*wire.Process) {
	names := make(map[string]bool, len(live))
	for _, p := range live {
		names[p.Name] = true
	}
	d.vouched.Store(&attested{live: live, names: names})
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// changed tells whether a newer record says something that others should know
// soon.
func changed(a, b *wire.Process) bool {
	return newer(a, b) && (a.Address != b.Address || a.Standing != b.Standing || a.Formation != b.Formation ||
		a.Ready != b.Ready || a.Leaving != b.Leaving)
}

// newer tells whether a record replaces another of the same name. A process that
// holds the name by an earlier disk life than is known was replaced.
func newer(a, b *wire.Process) bool {
	if a.DiskLife != b.DiskLife && a.DiskLife > 0 && b.DiskLife > 0 {
		return a.DiskLife > b.DiskLife
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Counter > b.Counter
}
