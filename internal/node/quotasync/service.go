// Package quotasync enforces the tenants' quotas on a front. Limiters, sharded by tenant,
// admit or reject requests, and a counter sums the spend of the tenants that this front
// owns. The limiters exchange counts and totals with the owners' counters, through
// another front as a relay if an owner is not reachable directly.
//
// Each limiter, the counter and the selection of relays belong to one goroutine, which
// receives requests through channels. The algorithms are those of
// internal/decision/quota. The membership, the fleet's time and the connections to other
// fronts are passed to New.
package quotasync

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Names of services in events and of shards in events and metrics. Operators rely on them.
const (
	serviceName        = "spend"
	counterServiceName = "spend-ledger"
	shardNamePrefix    = "spend-"
)

const (
	maxDefaultShards    = 4
	defaultTimeout      = time.Second
	defaultQueueTimeout = 2500 * time.Millisecond
	defaultMaxPending   = 256
	defaultInterval     = 200 * time.Millisecond
)

// Config configures a Service. The zero value of a field means its default.
type Config struct {
	// Self is this front's name.
	Self string

	// Incarnation identifies the run of this front's process.
	Incarnation uint64

	// Quota configures the limiters and the counter.
	Quota quota.Config

	// Shards is the number of limiters; one per processor, but at most 4, by default.
	Shards int

	// Timeout is the maximum duration of one exchange; 1 s by default.
	Timeout time.Duration

	// QueueTimeout is the maximum time that a request waits for an exchange; 2.5 s by
	// default. Since zero means the default, the setting tally.hold can't disable
	// queueing.
	QueueTimeout time.Duration

	// MaxPending is the maximum number of requests that a shard queues; 256 by default.
	MaxPending int

	// Unresponsive returns the fronts that are unresponsive but not known to be down.
	// If it is nil, there are none.
	Unresponsive func() []string

	// Metrics is the registry of the service's metrics. If it is nil, they are not
	// registered.
	Metrics prometheus.Registerer
}

func (c Config) withDefaults() Config {
	if c.Shards <= 0 {
		c.Shards = min(maxDefaultShards, runtime.GOMAXPROCS(0))
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.QueueTimeout <= 0 {
		c.QueueTimeout = defaultQueueTimeout
	}
	if c.MaxPending <= 0 {
		c.MaxPending = defaultMaxPending
	}
	if c.Quota.Interval <= 0 {
		c.Quota.Interval = defaultInterval
	}
	if c.Unresponsive == nil {
		c.Unresponsive = func() []string { return nil }
	}
	return c
}

// Service admits or rejects requests by the tenants' quotas, which all fronts share.
// Its methods are safe for concurrent use.
type Service struct {
	config      Config
	peers       port.Peers
	clock       clock.Clock
	fleetNow    func() time.Time
	fronts      func() []string
	log         events.Log
	metrics     *metrics
	shards      []*shard
	counter     *counterOwner
	relayer     *relayer
	requestPool *sync.Pool // of *admitRequest
}

// New returns a Service, whose calls block until Serve runs. fleetNow returns the time
// that the fleet agrees on, fronts the names of all fronts. New fails if the metrics
// can't be registered.
func New(config Config, peers port.Peers, clock clock.Clock, fleetNow func() time.Time, fronts func() []string, log events.Log) (*Service, error) {
	config = config.withDefaults()
	metrics, err := newMetrics(config.Metrics)
	if err != nil {
		return nil, errors.Wrap(err, "register quota metrics")
	}
	service := &Service{
		config:      config,
		peers:       peers,
		clock:       clock,
		fleetNow:    fleetNow,
		fronts:      fronts,
		log:         log,
		metrics:     metrics,
		requestPool: newRequestPool(),
	}
	service.counter = newCounterOwner(service)
	service.relayer = newRelayer(service)
	for i := range config.Shards {
		service.shards = append(service.shards, newShard(service, i))
	}
	return service, nil
}

// Serve runs the shards, the counter and the relayer until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	supervisor := suture.New(serviceName, suture.Spec{EventHook: s.logPanic})
	supervisor.Add(s.counter)
	supervisor.Add(s.relayer)
	for _, shard := range s.shards {
		supervisor.Add(shard)
	}
	return supervisor.Serve(ctx)
}

func (s *Service) logPanic(event suture.Event) {
	if panicked, ok := event.(suture.EventServicePanic); ok {
		s.log.Emit(events.ServiceFailed, "service", panicked.ServiceName, "panic", panicked.PanicMsg)
	}
}

// String returns the service's name in events.
func (s *Service) String() string { return serviceName }

func (s *Service) shardOf(tenant string) *shard {
	return s.shards[xxhash.Sum64String(tenant)%uint64(len(s.shards))]
}

// Admit decides whether to allow a request of the given number of tokens. If the tenant
// is well below its limit, the request may be queued for an exchange with the owner, for
// at most Config.QueueTimeout. In a large fleet a longer maxWait, up to
// maxLargeFleetWait, applies instead. If ctx ends first, the request is rejected with
// DeadlinePassed or CallerGone.
func (s *Service) Admit(ctx context.Context, tenant string, tokens float64, allowance quota.Allowance, maxWait time.Duration) quota.Decision {
	request := s.requestPool.Get().(*admitRequest)
	request.done = ctx.Done()
	request.tenant = tenant
	request.tokens = tokens
	request.allowance = allowance
	request.maxWait = maxWait
	decision, err := call(ctx, s.shardOf(tenant).requests, request, request.decision)
	if err != nil {
		// The shard may still use the request, so it must not be returned to the pool.
		return quota.Decision{Code: rejectionCode(err)}
	}
	request.done = nil
	s.requestPool.Put(request)
	s.metrics.countDecision(decision)
	return decision
}

// rejectionCode returns the code for a request whose context ended with err.
func rejectionCode(err error) apierror.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return apierror.DeadlineExceeded
	}
	return apierror.CallerDisconnected
}

// Add applies another front's counts of tenants that this front owns and returns the
// totals. If RelayTo names another front, the request is forwarded to it instead. The
// error is that of the context or of forwarding.
func (s *Service) Add(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	if req.RelayTo != "" && req.RelayTo != s.config.Self {
		return s.relayer.forward(ctx, req)
	}
	wire.UnpackCounts(req.Counts)
	resp, err := s.counter.add(ctx, req)
	if err == nil {
		wire.PackTotals(resp.Totals)
	}
	return resp, err
}

// Inspect returns the usage of this front's active tenants, sorted by name. If tenant is
// not empty, the result is limited to that tenant. The error is that of the context.
func (s *Service) Inspect(ctx context.Context, tenant string) ([]quota.TenantUsage, error) {
	var usages []quota.TenantUsage
	for _, shard := range s.shards {
		response := make(chan []quota.TenantUsage, 1)
		shardUsages, err := call(ctx, shard.inspects, response, response)
		if err != nil {
			return nil, err
		}
		usages = append(usages, shardUsages...)
	}
	if tenant != "" {
		usages = slices.DeleteFunc(usages, func(u quota.TenantUsage) bool { return u.Tenant != tenant })
	}
	slices.SortFunc(usages, func(a, b quota.TenantUsage) int { return strings.Compare(a.Tenant, b.Tenant) })
	return usages, nil
}

// Flush sends all unacknowledged counts to their owners and waits for the responses, so
// that this front's spend remains counted when the process stops. It returns the error of
// the first exchange that fails, or that of the context.
func (s *Service) Flush(ctx context.Context) error {
	for _, shard := range s.shards {
		done := make(chan error, 1)
		flushErr, err := call(ctx, shard.flushes, done, done)
		if err != nil {
			return err
		}
		if flushErr != nil {
			return flushErr
		}
	}
	return nil
}

// call sends a request to the goroutine that handles it and waits for the response. The
// error is that of the context.
func call[Request, Response any](ctx context.Context, requests chan<- Request, request Request, response <-chan Response) (Response, error) {
	var zero Response
	select {
	case requests <- request:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case result := <-response:
		return result, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
