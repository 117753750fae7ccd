// Package quotasync runs the shared tally on a front: owners of the Book, parted by
// tenant, the owner of the Ledger of the counts held here, and the exchange of
// counts between them and the other fronts.
package quotasync

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
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

// Config holds a front's part in the tally. Zero values take the defaults named.
type Config struct {
	Self         string
	Incarnation  uint64
	Quota        quota.Config
	Shards       int             // owners of the Book; one for each processor, 4 at most
	Timeout      time.Duration   // of one exchange, 1 s
	QueueTimeout time.Duration   // longest hold of a request for an exchange, 2.5 s
	MaxPending   int             // requests held by one owner, 256
	Unresponsive func() []string // fronts on the roster that are silent without being known to be gone; may be nil
	Metrics      prometheus.Registerer
}

const mostShards = 4

// Service decides requests by the shared tally.
type Service struct {
	config   Config
	peers    port.Peers
	clock    clock.Clock
	fleetNow func() time.Time
	roster   func() []string
	log      events.Log
	metrics  *metrics
	shards   []*shard
	keeper   *keeper
	asks     *sync.Pool // of *ask
}

// New returns the tally's runtime; it decides nothing before Serve runs.
// fleetNow tells the time that the fleet agrees on, roster the fronts' names.
func New(config Config, peers port.Peers, clock clock.Clock, fleetNow func() time.Time, roster func() []string, log events.Log) (*Service, error) {
	if config.Shards <= 0 {
		config.Shards = min(mostShards, runtime.GOMAXPROCS(0))
	}
	if config.Timeout <= 0 {
		config.Timeout = time.Second
	}
	if config.QueueTimeout <= 0 {
		config.QueueTimeout = 2500 * time.Millisecond
	}
	if config.MaxPending <= 0 {
		config.MaxPending = 256
	}
	if config.Quota.Interval <= 0 {
		config.Quota.Interval = 200 * time.Millisecond
	}
	if config.Unresponsive == nil {
		config.Unresponsive = func() []string { return nil }
	}
	metrics, err := newMetrics(config.Metrics)
	if err != nil {
		return nil, errors.Wrap(err, "register the tally's metrics")
	}
	s := &Service{config: config, peers: peers, clock: clock, fleetNow: fleetNow, roster: roster, log: log, metrics: metrics, asks: newAsks()}
	s.keeper = newKeeper(s)
	for i := range config.Shards {
		s.shards = append(s.shards, newShard(s, i))
	}
	return s, nil
}

// Serve runs the owners until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	supervisor := suture.New("spend", suture.Spec{EventHook: func(event suture.Event) {
		if failed, ok := event.(suture.EventServicePanic); ok {
			s.log.Emit(events.ServiceFailed, "service", failed.ServiceName, "panic", failed.PanicMsg)
		}
	}})
	supervisor.Add(s.keeper)
	for _, owner := range s.shards {
		supervisor.Add(owner)
	}
	return supervisor.Serve(ctx)
}

func (s *Service) String() string { return "spend" }

// paceEvery is the least time between two sends of urgent counts to a holder.
func (s *Service) paceEvery() time.Duration { return s.config.Quota.Interval / pacesPerInterval }

func (s *Service) shardOf(tenant string) *shard {
	return s.shards[xxhash.Sum64String(tenant)%uint64(len(s.shards))]
}

// Admit decides one request of so many tokens. It may hold a tenant that is
// well below its limit for an exchange with the holder, QueueTimeout at the longest or,
// where fronts are many, for patience. When ctx ends first the request is refused and
// adds nothing.
func (s *Service) Admit(ctx context.Context, tenant string, tokens float64, terms quota.Allowance, patience time.Duration) quota.Decision {
	ask := s.asks.Get().(*ask)
	ask.ended, ask.tenant, ask.tokens, ask.terms = ctx.Done(), tenant, tokens, terms
	ask.patience = patience
	select {
	case s.shardOf(tenant).asks <- ask:
	case <-ctx.Done():
		return s.ended(ctx)
	}
	select {
	case decision := <-ask.answer:
		ask.ended = nil
		s.asks.Put(ask)
		s.metrics.count(decision)
		return decision
	case <-ctx.Done():
		return s.ended(ctx)
	}
}

func (s *Service) ended(ctx context.Context) quota.Decision {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return quota.Decision{Code: apierror.DeadlinePassed}
	}
	return quota.Decision{Code: apierror.CallerGone}
}

// Add answers another front's counts for tenants whose count is held here.
func (s *Service) Add(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	wire.UnpackCounts(req.Counts)
	resp, err := s.keeper.add(ctx, req)
	if err == nil {
		wire.PackTotals(resp.Totals)
	}
	return resp, err
}

// Inspect returns what this front knows of its active tenants, by owner and
// name; with a tenant's name given, of that one alone.
func (s *Service) Inspect(ctx context.Context, tenant string) ([]quota.TenantUsage, error) {
	var views []quota.TenantUsage
	for _, owner := range s.shards {
		answer := make(chan []quota.TenantUsage, 1)
		select {
		case owner.inspects <- answer:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		select {
		case some := <-answer:
			views = append(views, some...)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if tenant != "" {
		views = slices.DeleteFunc(views, func(v quota.TenantUsage) bool { return v.Tenant != tenant })
	}
	slices.SortFunc(views, func(a, b quota.TenantUsage) int {
		if a.Tenant < b.Tenant {
			return -1
		}
		return 1
	})
	return views, nil
}

// Flush sends every count to its holder and waits for the answers, so that what
// was spent here stays counted when the process ends.
func (s *Service) Flush(ctx context.Context) error {
	for _, owner := range s.shards {
		done := make(chan error, 1)
		select {
		case owner.flushes <- done:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case err := <-done:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// exchange sends one batch to a holder and returns its answer.
func (s *Service) exchange(ctx context.Context, holder string, counts []*wire.Count) (*wire.AddResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	req := &wire.AddRequest{Front: s.config.Self, Incarnation: s.config.Incarnation, Counts: counts}
	if holder == s.config.Self {
		return s.keeper.add(ctx, req)
	}
	process, known := s.peers.Process(holder)
	if !known {
		return nil, errors.Errorf("no address of holder %s is known", holder)
	}
	wire.PackCounts(req.Counts)
	resp, err := s.peers.Client(process.Address).Add(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "send counts to holder %s", holder)
	}
	wire.UnpackTotals(resp.Msg.Totals)
	if resp.Msg.Holder != holder {
		return nil, errors.Errorf("%s answered in place of holder %s", resp.Msg.Holder, holder)
	}
	return resp.Msg, nil
}
