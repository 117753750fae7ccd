package internalrpc

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/apierror"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// Processes are discovered by gossip: each exchanges hellos of constant size with a
// random one that it knows, often while something is new and seldom after. A hello
// carries the sender's own record, every core and a sample of the other processes.
const (
	// gossipIntervalAlone is the interval while no other process is known.
	gossipIntervalAlone = 50 * time.Millisecond
	// gossipIntervalChanging is the interval until nothing was new for convergedAfter.
	gossipIntervalChanging  = 250 * time.Millisecond
	gossipIntervalConverged = 15 * time.Second
	convergedAfter          = 2 * time.Second

	helloTimeout    = 700 * time.Millisecond
	helloSampleSize = 4
	maxHelloRecords = 512
)

// Hello takes the caller's record and its sample and returns the same of this
// process. It returns apierror.BadField for too many records.
func (d *Directory) Hello(_ context.Context, req *wire.HelloRequest) (*wire.HelloResponse, error) {
	if len(req.Known) > maxHelloRecords {
		return nil, apierror.Errorf(apierror.BadField, "hello with %d records, at most %d", len(req.Known), maxHelloRecords)
	}
	// Where the owner is behind the records are dropped: gossip brings them again.
	select {
	case d.received <- withSelf(req.Known, req.Self):
	default:
	}
	known := d.sample()
	return &wire.HelloResponse{Self: d.self(), Known: known}, nil
}

// withSelf returns the records of a hello with the sender's own, if it has one.
func withSelf(known []*wire.Process, self *wire.Process) []*wire.Process {
	if self == nil {
		return known
	}
	return append(known, self)
}

// sample returns every core and a random sample of the other processes.
func (d *Directory) sample() []*wire.Process {
	table := d.table.Load()
	sampled := slices.Clone(table.cores)
	if len(table.fronts) <= helloSampleSize {
		return append(sampled, table.fronts...)
	}
	for _, index := range rand.Perm(len(table.fronts))[:helloSampleSize] {
		sampled = append(sampled, table.fronts[index])
	}
	return sampled
}

// isAlone reports whether no other process is known.
func (d *Directory) isAlone() bool { return len(d.table.Load().known) < 2 }

func (d *Directory) gossipInterval() time.Duration {
	switch {
	case d.isAlone():
		return gossipIntervalAlone
	case d.clock.Now().Sub(d.lastChange) < convergedAfter:
		return gossipIntervalChanging
	}
	return gossipIntervalConverged
}

// gossip exchanges hellos with a random seed or known process, or with every seed
// while no other process is known.
func (d *Directory) gossip(ctx context.Context) {
	self, _ := d.Process(d.self().Name)
	targets := slices.Clone(d.seeds)
	for _, process := range d.Processes() {
		targets = append(targets, process.Address)
	}
	targets = slices.DeleteFunc(targets, func(address string) bool { return address == self.Address })
	if len(targets) == 0 {
		return
	}
	if !d.isAlone() {
		index := d.random.IntN(len(targets))
		targets = targets[index : index+1]
	}
	known := d.sample()
	for _, address := range targets {
		go d.exchangeHellos(ctx, address, &wire.HelloRequest{Self: self, Known: known})
	}
}

// exchangeHellos sends a hello and hands the records of the answer to the owner.
func (d *Directory) exchangeHellos(ctx context.Context, address string, hello *wire.HelloRequest) {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	resp, err := d.pool.Client(address).Hello(callCtx, connect.NewRequest(hello))
	if err != nil {
		d.logHelloFailure(address, err)
		return
	}
	select {
	case d.received <- withSelf(resp.Msg.Known, resp.Msg.Self):
	case <-ctx.Done():
	}
}

// logHelloFailure logs a hello that was rejected for its secret and, while no other
// process is known, any that failed.
func (d *Directory) logHelloFailure(address string, err error) {
	switch {
	case connect.CodeOf(err) == connect.CodePermissionDenied:
		d.log.Emit(events.SecretRejected, "address", address)
	case d.isAlone():
		d.log.Emit(events.SeedsUnreachable, "address", address, "error", err)
	}
}
