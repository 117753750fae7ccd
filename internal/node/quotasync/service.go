// Package quotasync runs the tenants' quotas on a front. Limiters decide the requests,
// sharded by tenant, a counter sums the spend of the tenants that this front owns, and
// the limiters exchange counts and totals with the owners' counters, through a third
// front where an owner isn't reached directly.
//
// Each limiter, the counter and the relays are owned by one goroutine each and reached
// by channels. The decisions themselves are those of internal/decision/quota;
// membership, the fleet's time and the connections to other fronts are passed in.
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

// Names of the services in events and of the shards in metrics; operators know them.
const (
	serviceName     = "spend"
	counterName     = "spend-ledger"
	shardNamePrefix = "spend-"
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

	// Incarnation is that of this front's process.
	Incarnation uint64

	// Quota configures the limiters and the counter.
	Quota quota.Config

	// Shards is the number of limiters; one for each processor, 4 at most, by default.
	Shards int

	// Timeout is that of one exchange; 1 s by default.
	Timeout time.Duration

	// QueueTimeout is how long a request waits for an exchange at most; 2.5 s by
	// default. Since zero means the default, the setting tally.hold can't turn
	// the queue off.
	QueueTimeout time.Duration

	// MaxPending is the number of requests that a shard queues; 256 by default.
	MaxPending int

	// Unresponsive returns the fronts that are unresponsive without being known to
	// be down; none if nil.
	Unresponsive func() []string

	// Metrics registers the service's metrics; they are not registered if it is nil.
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

// Service decides requests by the quotas shared among all fronts.
type Service struct {
	config   Config
	peers    port.Peers
	clock    clock.Clock
	fleetNow func() time.Time
	fronts   func() []string
	log      events.Log
	metrics  *metrics
	shards   []*shard
	counter  *counterOwner
	relayer  *relayer
	requests *sync.Pool // of *admitRequest
}

// New returns a Service; it decides nothing before Serve runs. fleetNow returns the
// time that the fleet agrees on, fronts the names of all fronts. The error is that of
// registering the metrics.
func New(config Config, peers port.Peers, clock clock.Clock, fleetNow func() time.Time, fronts func() []string, log events.Log) (*Service, error) {
	config = config.withDefaults()
	metrics, err := newMetrics(config.Metrics)
	if err != nil {
		return nil, errors.Wrap(err, "register the tally's metrics")
	}
	service := &Service{
		config:   config,
		peers:    peers,
		clock:    clock,
		fleetNow: fleetNow,
		fronts:   fronts,
		log:      log,
		metrics:  metrics,
		requests: newRequestPool(),
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
	if failed, ok := event.(suture.EventServicePanic); ok {
		s.log.Emit(events.ServiceFailed, "service", failed.ServiceName, "panic", failed.PanicMsg)
	}
}

// String returns the service's name in events.
func (s *Service) String() string { return serviceName }

func (s *Service) shardOf(tenant string) *shard {
	return s.shards[xxhash.Sum64String(tenant)%uint64(len(s.shards))]
}

// Admit decides a request of a number of tokens. The request of a tenant well below
// its limit may be queued for an exchange with the owner, for Config.QueueTimeout at
// most; in a large fleet for maxWait at most, where that is longer, and never beyond
// maxLargeFleetWait. When ctx ends first the request is rejected with DeadlinePassed
// or CallerGone.
func (s *Service) Admit(ctx context.Context, tenant string, tokens float64, allowance quota.Allowance, maxWait time.Duration) quota.Decision {
	request := s.requests.Get().(*admitRequest)
	request.done = ctx.Done()
	request.tenant = tenant
	request.tokens = tokens
	request.allowance = allowance
	request.maxWait = maxWait
	decision, err := call(ctx, s.shardOf(tenant).requests, request, request.decision)
	if err != nil {
		// The shard may still hold the request: it must not return to the pool.
		return quota.Decision{Code: codeOf(err)}
	}
	request.done = nil
	s.requests.Put(request)
	s.metrics.countDecision(decision)
	return decision
}

// codeOf returns the code of a request whose context ended with err.
func codeOf(err error) apierror.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return apierror.DeadlinePassed
	}
	return apierror.CallerGone
}

// Add applies another front's counts of tenants that this front owns and returns the
// totals. Counts for the owner named in RelayTo are passed on to that one. The error is
// that of the context, or of passing on.
func (s *Service) Add(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	if req.RelayTo != "" && req.RelayTo != s.config.Self {
		return s.relayer.passOn(ctx, req)
	}
	wire.UnpackCounts(req.Counts)
	resp, err := s.counter.add(ctx, req)
	if err == nil {
		wire.PackTotals(resp.Totals)
	}
	return resp, err
}

// Inspect returns what this front knows of its active tenants, sorted by name, or of
// the given tenant alone unless the name is empty. The error is that of the context.
func (s *Service) Inspect(ctx context.Context, tenant string) ([]quota.TenantUsage, error) {
	var usages []quota.TenantUsage
	for _, shard := range s.shards {
		response := make(chan []quota.TenantUsage, 1)
		some, err := call(ctx, shard.inspects, response, response)
		if err != nil {
			return nil, err
		}
		usages = append(usages, some...)
	}
	if tenant != "" {
		usages = slices.DeleteFunc(usages, func(u quota.TenantUsage) bool { return u.Tenant != tenant })
	}
	slices.SortFunc(usages, func(a, b quota.TenantUsage) int { return strings.Compare(a.Tenant, b.Tenant) })
	return usages, nil
}

// Flush sends all counts to their owners and waits for the responses, so that what
// was spent here remains counted when the process ends. It returns the error of the
// first exchange that fails, or that of the context.
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

// call sends a request to the goroutine that handles it and waits for its response,
// or for the end of the context.
func call[Request, Response any](ctx context.Context, requests chan<- Request, request Request, response <-chan Response) (Response, error) {
	var none Response
	select {
	case requests <- request:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case answer := <-response:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
