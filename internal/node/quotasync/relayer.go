package quotasync

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/decision/quota"
	"stepwick/internal/wire"
)

const (
	relayerServiceName = "spend-relays"

	maxQueuedSuspects    = 64
	maxQueuedPathResults = 64

	// maxConcurrentForwards is the maximum number of other fronts' requests that this
	// front forwards at the same time.
	maxConcurrentForwards = 64
)

// relayer probes for relays to fronts that don't respond to this one, and acts as a relay
// itself: it forwards the requests of other fronts.
type relayer struct {
	service      *Service
	relays       *quota.Relays
	suspects     chan string // owners that didn't respond to counts in time
	results      chan pathResult
	activeRelays atomic.Pointer[map[string]string] // relays in use, by the front that they reach
	forwardSlots chan struct{}                     // semaphore; one element for each request being forwarded
}

// pathResult is the outcome of a probe or of an exchange through a relay.
type pathResult struct {
	path quota.Path
	err  error
}

func newRelayer(s *Service) *relayer {
	r := &relayer{
		service:      s,
		relays:       quota.NewRelays(s.config.Self, s.config.Quota),
		suspects:     make(chan string, maxQueuedSuspects),
		results:      make(chan pathResult, maxQueuedPathResults),
		forwardSlots: make(chan struct{}, maxConcurrentForwards),
	}
	r.activeRelays.Store(&map[string]string{})
	return r
}

// String returns the service's name in events.
func (r *relayer) String() string { return relayerServiceName }

// Serve sends probes and handles the results of probes and of exchanges through relays
// until the context ends.
func (r *relayer) Serve(ctx context.Context) error {
	ticker := r.service.clock.Ticker(r.service.config.Quota.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case owner := <-r.suspects:
			r.relays.Suspect(owner)
			r.sendProbes(ctx)
		case result := <-r.results:
			r.applyResult(result)
		case <-ticker.C():
			r.sendProbes(ctx)
		}
		r.publishActiveRelays()
	}
}

func (r *relayer) sendProbes(ctx context.Context) {
	for _, path := range r.relays.Probes(r.service.fronts(), r.service.config.Unresponsive(), r.service.clock.Now()) {
		go func() {
			_, err := r.service.exchangeWithPeer(ctx, path, nil)
			r.reportResult(ctx, path, err)
		}()
	}
}

func (r *relayer) applyResult(result pathResult) {
	if result.err != nil {
		r.relays.Failed(result.path)
		return
	}
	r.relays.Answered(result.path, r.service.clock.Now())
}

// publishActiveRelays makes the relays in use available to other goroutines.
func (r *relayer) publishActiveRelays() {
	active := r.relays.ActiveRelays(r.service.clock.Now())
	if len(active) == 0 && len(*r.activeRelays.Load()) == 0 {
		return
	}
	r.activeRelays.Store(&active)
}

// reportResult sends the outcome of a probe or exchange to the relayer's goroutine.
func (r *relayer) reportResult(ctx context.Context, path quota.Path, err error) {
	select {
	case r.results <- pathResult{path, err}:
	case <-ctx.Done():
	}
}

// reportSuspects reports owners that didn't respond in time, so that they are probed
// through relays. While the channel is full it skips owners; the shard reports them again
// if they still don't respond.
func (r *relayer) reportSuspects(owners []string) {
	for _, owner := range owners {
		select {
		case r.suspects <- owner:
		default:
		}
	}
}

// pathTo returns the path to an owner: through the relay in use, or direct if there is
// none.
func (r *relayer) pathTo(owner string) quota.Path {
	return quota.Path{Front: owner, Relay: (*r.activeRelays.Load())[owner]}
}

// unreachable returns the unresponsive fronts that no relay reaches.
func (r *relayer) unreachable() []string {
	return quota.WithoutRelay(r.service.config.Unresponsive(), *r.activeRelays.Load())
}

// forward sends another front's request to the owner named in RelayTo and returns the
// owner's response. Counts and totals are forwarded in packed form (see wire.PackCounts).
// It fails immediately if that owner is unresponsive to this front as well, or if
// maxConcurrentForwards requests are being forwarded already.
func (r *relayer) forward(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	owner := req.RelayTo
	process, ok := r.service.peers.Process(owner)
	if !ok || !quota.MayRelayTo(owner, r.service.fronts(), r.service.config.Unresponsive()) {
		return nil, errors.Errorf("holder %s is unknown or unresponsive to relay %s", owner, r.service.config.Self)
	}
	select {
	case r.forwardSlots <- struct{}{}:
		defer func() { <-r.forwardSlots }()
	default:
		return nil, errors.Errorf("relay %s is already forwarding the maximum of %d requests", r.service.config.Self, maxConcurrentForwards)
	}
	ctx, cancel := context.WithTimeout(ctx, r.service.config.Timeout)
	defer cancel()
	forwarded := &wire.AddRequest{Front: req.Front, Incarnation: req.Incarnation, Counts: req.Counts}
	resp, err := r.service.peers.Client(process.Address).Add(ctx, connect.NewRequest(forwarded))
	if err != nil {
		return nil, errors.Wrapf(err, "relay counts of %s to holder %s", req.Front, owner)
	}
	return resp.Msg, nil
}
