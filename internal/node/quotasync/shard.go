package quotasync

import (
	"context"
	"slices"
	"strconv"

	"stepwick/internal/decision/quota"
)

const (
	maxQueuedRequests  = 64 // requests that wait for the shard to decide them
	maxQueuedResponses = 64 // owners' responses that wait for the shard

	// largeFleetSize is the number of fronts from which on most requests of a tenant
	// are its first ones at a front, which has no share by demand yet.
	largeFleetSize = 33
)

// shard owns the limiter of its part of the tenants.
type shard struct {
	service   *Service
	name      string
	limiter   *quota.Limiter
	requests  chan *admitRequest
	inspects  chan chan []quota.TenantUsage
	flushes   chan chan error
	responses chan exchangeResult

	fronts    []string
	owners    ownerTable
	ticker    urgentTicker
	exchanges exchanges
	pending   []pendingRequest
	flushing  []pendingFlush
}

func newShard(service *Service, number int) *shard {
	return &shard{
		service:   service,
		name:      shardNamePrefix + strconv.Itoa(number),
		limiter:   quota.NewLimiter(service.config.Self, service.config.Quota),
		requests:  make(chan *admitRequest, maxQueuedRequests),
		inspects:  make(chan chan []quota.TenantUsage),
		flushes:   make(chan chan error),
		responses: make(chan exchangeResult, maxQueuedResponses),
		owners:    ownerTable{byTenant: map[string]string{}},
		ticker:    newUrgentTicker(service.clock, service.config.Quota.Interval/ticksPerInterval),
		exchanges: newExchanges(),
	}
}

// String returns the shard's name in events and metrics.
func (s *shard) String() string { return s.name }

// Serve handles requests until the context ends.
func (s *shard) Serve(ctx context.Context) error {
	ticker := s.service.clock.Ticker(s.service.config.Quota.Interval)
	defer ticker.Stop()
	defer func() { s.ticker.release() }()
	s.updateFronts()
	for {
		s.ticker.setRunning(s.needsTicks())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-s.requests:
			s.admit(request)
			s.sendUrgentIfIdle(ctx)
		case <-ticker.C():
			s.handleInterval(ctx)
		case <-s.ticker.ticks:
			s.beginTick()
			s.sendUrgent(ctx)
			s.retryPending()
		case result := <-s.responses:
			s.handleResult(result)
			s.sendUrgent(ctx)
			s.retryPending()
		case response := <-s.inspects:
			response <- s.limiter.Inspect(s.service.fleetNow())
		case done := <-s.flushes:
			s.flush(ctx, done)
		}
	}
}

// handleInterval does the periodic work: it follows the membership and sends all
// counts that are due.
func (s *shard) handleInterval(ctx context.Context) {
	s.updateFronts()
	s.beginTick()
	s.sendCounts(ctx)
	s.service.metrics.setActiveTenants(s.name, s.limiter.ActiveTenants())
	s.sendUrgent(ctx)
	s.retryPending()
}

func (s *shard) inLargeFleet() bool { return len(s.fronts) >= largeFleetSize }

// updateFronts follows the membership.
func (s *shard) updateFronts() {
	fronts := s.service.fronts()
	s.owners.setReachable(quota.Reachable(fronts, s.service.relayer.unreachable()))
	if !slices.Equal(fronts, s.fronts) {
		s.fronts = slices.Clone(fronts)
		s.limiter.SetFronts(s.fronts)
	}
}

func (s *shard) ownerOf(tenant string) string {
	return s.owners.ownerOf(tenant, s.limiter.ActiveTenants())
}

// ownerTable caches the owners of tenants.
type ownerTable struct {
	reachable []string
	byTenant  map[string]string
}

// spareOwners is the number of cached owners beyond twice the active tenants at which
// the cache is cleared.
const spareOwners = 1024

// setReachable sets the fronts among which owners are chosen.
func (o *ownerTable) setReachable(fronts []string) {
	if !slices.Equal(fronts, o.reachable) {
		o.reachable = slices.Clone(fronts)
		clear(o.byTenant)
	}
}

func (o *ownerTable) ownerOf(tenant string, activeTenants int) string {
	owner, known := o.byTenant[tenant]
	if !known {
		if len(o.byTenant) > 2*activeTenants+spareOwners {
			clear(o.byTenant)
		}
		owner = quota.OwnerOf(tenant, o.reachable)
		o.byTenant[tenant] = owner
	}
	return owner
}

// needsTicks reports whether urgent counts or pending requests have to be handled
// within the interval. In a small fleet that is assumed while tenants are active.
func (s *shard) needsTicks() bool {
	return len(s.pending) > 0 || s.limiter.HasUrgent() || !s.inLargeFleet() && s.limiter.ActiveTenants() > 0
}

// beginTick allows one more send of urgent counts to each owner, and has ways sought to
// owners that don't answer.
func (s *shard) beginTick() {
	now := s.service.clock.Now()
	s.exchanges.beginTick()
	s.ticker.lastTick = now
	relayer := s.service.relayer
	relayer.suspect(s.exchanges.takeOverdue(relayer.relays.SuspectAfter(), now))
}

// sendUrgentIfIdle sends urgent counts at once in a large fleet if the last tick is
// over: the ticker may not be running there.
func (s *shard) sendUrgentIfIdle(ctx context.Context) {
	if !s.inLargeFleet() || !s.limiter.HasUrgent() || !s.ticker.elapsed() {
		return
	}
	s.beginTick()
	s.sendUrgent(ctx)
}
