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
	relayerName = "spend-relays"

	maxQueuedSuspects = 64
	maxQueuedReports  = 64

	// maxRelayed is the number of other fronts' requests that this front passes on at
	// the same time.
	maxRelayed = 64
)

// relayer finds the ways to fronts that this one doesn't reach itself, and passes on
// the requests of others that have no way of their own.
type relayer struct {
	service  *Service
	relays   *quota.Relays
	suspects chan string
	reports  chan wayReport
	routes   atomic.Pointer[map[string]string] // relays in use, by the front they reach
	relayed  chan struct{}                     // one element for each request passed on now
}

// wayReport is the outcome of a probe, or of an exchange through a relay.
type wayReport struct {
	way quota.Path
	err error
}

func newRelayer(s *Service) *relayer {
	created := &relayer{
		service:  s,
		relays:   quota.NewRelays(s.config.Self, s.config.Quota),
		suspects: make(chan string, maxQueuedSuspects),
		reports:  make(chan wayReport, maxQueuedReports),
		relayed:  make(chan struct{}, maxRelayed),
	}
	created.routes.Store(&map[string]string{})
	return created
}

// String returns the service's name in events.
func (r *relayer) String() string { return relayerName }

// Serve sends probes and follows their outcome until the context ends.
func (r *relayer) Serve(ctx context.Context) error {
	ticker := r.service.clock.Ticker(r.service.config.Quota.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case name := <-r.suspects:
			r.relays.Suspect(name)
			r.sendProbes(ctx)
		case report := <-r.reports:
			r.applyReport(report)
		case <-ticker.C():
			r.sendProbes(ctx)
		}
		r.publishRoutes()
	}
}

func (r *relayer) sendProbes(ctx context.Context) {
	for _, way := range r.relays.Probes(r.service.fronts(), r.service.config.Unresponsive(), r.service.clock.Now()) {
		go func() {
			_, err := r.service.exchangeThrough(ctx, way, nil)
			r.report(ctx, way, err)
		}()
	}
}

func (r *relayer) applyReport(report wayReport) {
	if report.err != nil {
		r.relays.Failed(report.way)
		return
	}
	r.relays.Answered(report.way, r.service.clock.Now())
}

func (r *relayer) publishRoutes() {
	routes := r.relays.ActiveRelays(r.service.clock.Now())
	if len(routes) == 0 && len(*r.routes.Load()) == 0 {
		return
	}
	r.routes.Store(&routes)
}

// report passes the outcome of a probe or exchange on to the relayer.
func (r *relayer) report(ctx context.Context, way quota.Path, err error) {
	select {
	case r.reports <- wayReport{way, err}:
	case <-ctx.Done():
	}
}

// suspect has ways sought to owners that don't answer. One that finds no room is told
// again when it has not answered for longer.
func (r *relayer) suspect(owners []string) {
	for _, owner := range owners {
		select {
		case r.suspects <- owner:
		default:
		}
	}
}

// way returns how an owner is reached: through a relay, if one is in use, or directly.
func (r *relayer) way(owner string) quota.Path {
	return quota.Path{Front: owner, Relay: (*r.routes.Load())[owner]}
}

// unreachable returns the fronts that are unresponsive and that no relay reaches.
func (r *relayer) unreachable() []string {
	return quota.WithoutRelay(r.service.config.Unresponsive(), *r.routes.Load())
}

// passOn sends another front's request to the owner that it names and returns the
// owner's response. Counts and totals stay in the form that they have on the wire. It
// fails at once if that owner is unresponsive to this front as well.
func (r *relayer) passOn(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	owner := req.RelayTo
	process, known := r.service.peers.Process(owner)
	if !known || !quota.MayRelayTo(owner, r.service.fronts(), r.service.config.Unresponsive()) {
		return nil, errors.Errorf("holder %s is out of reach of relay %s too", owner, r.service.config.Self)
	}
	select {
	case r.relayed <- struct{}{}:
		defer func() { <-r.relayed }()
	default:
		return nil, errors.Errorf("relay %s passes on %d requests already", r.service.config.Self, maxRelayed)
	}
	ctx, cancel := context.WithTimeout(ctx, r.service.config.Timeout)
	defer cancel()
	direct := &wire.AddRequest{Front: req.Front, Incarnation: req.Incarnation, Counts: req.Counts}
	resp, err := r.service.peers.Client(process.Address).Add(ctx, connect.NewRequest(direct))
	if err != nil {
		return nil, errors.Wrapf(err, "relay counts of %s to holder %s", req.Front, owner)
	}
	return resp.Msg, nil
}
