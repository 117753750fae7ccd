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

// Processes discover each other by gossip: each periodically exchanges hellos with a
// random seed or known process, at a short interval while the directory is changing and
// a long one after. A hello carries the sender's own record, every core and a sample of
// bounded size of the other processes.
const (
	// gossipIntervalNoPeers is the interval while no other process is known.
	gossipIntervalNoPeers = 50 * time.Millisecond
	// gossipIntervalChanging is the interval until convergedAfter has passed without a
	// change.
	gossipIntervalChanging  = 250 * time.Millisecond
	gossipIntervalConverged = 15 * time.Second
	convergedAfter          = 2 * time.Second

	helloTimeout    = 700 * time.Millisecond
	helloSampleSize = 4
	maxHelloRecords = 512
)

// Hello receives the caller's own record and its sample and returns those of this
// process. It returns apierror.BadField if the caller sends too many records.
func (d *Directory) Hello(_ context.Context, req *wire.HelloRequest) (*wire.HelloResponse, error) {
	if len(req.Known) > maxHelloRecords {
		return nil, apierror.Errorf(apierror.BadField, "hello carries %d records, limit %d", len(req.Known), maxHelloRecords)
	}
	// If the owner is behind, the records are dropped: later hellos repeat them.
	select {
	case d.received <- appendSelf(req.Known, req.Self):
	default:
	}
	sampled := d.sample()
	return &wire.HelloResponse{Self: d.self(), Known: sampled}, nil
}

// appendSelf returns the records of a hello together with the sender's own, if present.
func appendSelf(records []*wire.Process, self *wire.Process) []*wire.Process {
	if self == nil {
		return records
	}
	return append(records, self)
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

// hasNoPeers reports whether no other process is known.
func (d *Directory) hasNoPeers() bool { return len(d.table.Load().entries) < 2 }

func (d *Directory) gossipInterval() time.Duration {
	switch {
	case d.hasNoPeers():
		return gossipIntervalNoPeers
	case d.clock.Now().Sub(d.lastChange) < convergedAfter:
		return gossipIntervalChanging
	}
	return gossipIntervalConverged
}

// startGossipRound starts an exchange of hellos with a random seed or known process, or
// with every seed while no other process is known.
func (d *Directory) startGossipRound(ctx context.Context) {
	self, _ := d.Process(d.self().Name)
	targets := slices.Clone(d.seeds)
	for _, process := range d.Processes() {
		targets = append(targets, process.Address)
	}
	targets = slices.DeleteFunc(targets, func(address string) bool { return address == self.Address })
	if len(targets) == 0 {
		return
	}
	if !d.hasNoPeers() {
		index := d.random.IntN(len(targets))
		targets = targets[index : index+1]
	}
	sampled := d.sample()
	for _, address := range targets {
		go d.exchangeHellos(ctx, address, &wire.HelloRequest{Self: self, Known: sampled})
	}
}

// exchangeHellos sends a hello and passes the records of the response to the owner.
func (d *Directory) exchangeHellos(ctx context.Context, address string, hello *wire.HelloRequest) {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	resp, err := d.pool.Client(address).Hello(callCtx, connect.NewRequest(hello))
	if err != nil {
		d.logHelloFailure(address, err)
		return
	}
	select {
	case d.received <- appendSelf(resp.Msg.Known, resp.Msg.Self):
	case <-ctx.Done():
	}
}

// logHelloFailure logs a hello that was rejected because of its secret and, while no
// other process is known, any other failure.
func (d *Directory) logHelloFailure(address string, err error) {
	switch {
	case connect.CodeOf(err) == connect.CodePermissionDenied:
		d.log.Emit(events.SecretRejected, "address", address)
	case d.hasNoPeers():
		d.log.Emit(events.SeedsUnreachable, "address", address, "error", err)
	}
}
