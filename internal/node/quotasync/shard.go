package quotasync

import (
	"context"
	"slices"
	"strconv"

	"stepwick/internal/decision/quota"
)

const (
	maxQueuedRequests = 64 // requests that wait for the shard's goroutine
	maxQueuedResults  = 64 // exchange results that wait for the shard's goroutine

	// largeFleetSize is the minimum number of fronts in a large fleet. From this size on,
	// most requests of a tenant are its first at a front, and the front has no share by
	// demand for the tenant yet.
	largeFleetSize = 33
)

// shard runs the goroutine that owns the limiter of a part of the tenants, and its
// exchanges with the tenants' owners.
type shard struct {
	service  *Service
	name     string
	limiter  *quota.Limiter
	requests chan *admitRequest
	inspects chan chan []quota.TenantUsage
	flushes  chan chan error
	results  chan exchangeResult

	fronts          []string
	owners          ownerCache
	urgentTicker    urgentTicker
	exchanges       exchanges
	pendingRequests []pendingRequest
	pendingFlushes  []pendingFlush
}

func newShard(service *Service, number int) *shard {
	return &shard{
		service:      service,
		name:         shardNamePrefix + strconv.Itoa(number),
		limiter:      quota.NewLimiter(service.config.Self, service.config.Quota),
		requests:     make(chan *admitRequest, maxQueuedRequests),
		inspects:     make(chan chan []quota.TenantUsage),
		flushes:      make(chan chan error),
		results:      make(chan exchangeResult, maxQueuedResults),
		owners:       ownerCache{byTenant: map[string]string{}},
		urgentTicker: newUrgentTicker(service.clock, service.config.Quota.Interval/ticksPerInterval),
		exchanges:    newExchanges(),
	}
}

// String returns the shard's name in events and metrics.
func (s *shard) String() string { return s.name }

// Serve handles requests until the context ends.
func (s *shard) Serve(ctx context.Context) error {
	ticker := s.service.clock.Ticker(s.service.config.Quota.Interval)
	defer ticker.Stop()
	defer func() { s.urgentTicker.stop() }()
	s.updateFronts()
	for {
		s.urgentTicker.setRunning(s.needsTicks())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-s.requests:
			s.admit(request)
			s.sendUrgentIfDue(ctx)
		case <-ticker.C():
			s.handleInterval(ctx)
		case <-s.urgentTicker.ticks:
			s.beginTick()
			s.sendUrgent(ctx)
			s.retryPending()
		case result := <-s.results:
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

// handleInterval updates the membership and sends all counts that are due.
func (s *shard) handleInterval(ctx context.Context) {
	s.updateFronts()
	s.beginTick()
	s.sendCounts(ctx)
	s.service.metrics.setActiveTenants(s.name, s.limiter.ActiveTenants())
	s.sendUrgent(ctx)
	s.retryPending()
}

func (s *shard) inLargeFleet() bool { return len(s.fronts) >= largeFleetSize }

// updateFronts applies changes of the membership and of the reachable fronts.
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

// ownerCache caches the owners of tenants, which change with the reachable fronts.
type ownerCache struct {
	reachable []string
	byTenant  map[string]string
}

// ownerCacheSlack is the number by which the cached owners may exceed twice the active
// tenants before the cache is cleared.
const ownerCacheSlack = 1024

// setReachable sets the fronts from which owners are chosen.
func (o *ownerCache) setReachable(fronts []string) {
	if !slices.Equal(fronts, o.reachable) {
		o.reachable = slices.Clone(fronts)
		clear(o.byTenant)
	}
}

func (o *ownerCache) ownerOf(tenant string, activeTenants int) string {
	owner, cached := o.byTenant[tenant]
	if !cached {
		if len(o.byTenant) > 2*activeTenants+ownerCacheSlack {
			clear(o.byTenant)
		}
		owner = quota.OwnerOf(tenant, o.reachable)
		o.byTenant[tenant] = owner
	}
	return owner
}

// needsTicks reports whether the urgent ticker must run: there are urgent counts or
// pending requests or, in a small fleet, active tenants.
func (s *shard) needsTicks() bool {
	return len(s.pendingRequests) > 0 || s.limiter.HasUrgent() || !s.inLargeFleet() && s.limiter.ActiveTenants() > 0
}

// beginTick permits another send of urgent counts to each owner, and reports owners that
// haven't responded in time to the relayer.
func (s *shard) beginTick() {
	now := s.service.clock.Now()
	s.exchanges.beginTick()
	s.urgentTicker.lastTick = now
	relayer := s.service.relayer
	relayer.reportSuspects(s.exchanges.takeOverdue(relayer.relays.SuspectAfter(), now))
}

// sendUrgentIfDue sends urgent counts immediately in a large fleet, where the urgent
// ticker may be stopped, if a tick's interval has passed since the last tick.
func (s *shard) sendUrgentIfDue(ctx context.Context) {
	if !s.inLargeFleet() || !s.limiter.HasUrgent() || !s.urgentTicker.intervalElapsed() {
		return
	}
	s.beginTick()
	s.sendUrgent(ctx)
}
