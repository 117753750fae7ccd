package quotasync

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/wire"
)

// keeper owns the Ledger of the counts held here.
type keeper struct {
	spend  *Service
	ledger *quota.Counter
	adds   chan add
}

type add struct {
	req    *wire.AddRequest
	answer chan *wire.AddResponse
}

func newKeeper(s *Service) *keeper {
	return &keeper{spend: s, ledger: quota.NewCounter(s.config.Self, s.config.Incarnation, s.config.Quota), adds: make(chan add, 64)}
}

func (k *keeper) String() string { return "spend-ledger" }

// Serve runs the owner until the context ends.
func (k *keeper) Serve(ctx context.Context) error {
	ticker := k.spend.clock.Ticker(k.spend.config.Quota.Interval)
	defer ticker.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-k.adds:
			a.answer <- k.ledger.Add(a.req, k.spend.fleetNow())
		case <-ticker.C():
			k.ledger.SetMembership(k.spend.roster(), k.spend.config.Unresponsive(), k.spend.fleetNow())
			if tick++; tick%10 == 0 {
				k.ledger.Expire(k.spend.fleetNow())
				k.spend.metrics.holds(k.ledger.Tenants())
			}
		}
	}
}

func (k *keeper) add(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	a := add{req, make(chan *wire.AddResponse, 1)}
	select {
	case k.adds <- a:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case resp := <-a.answer:
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type metrics struct {
	passed, quota, share prometheus.Counter
	heldPassed, heldBack prometheus.Counter
	exchanges, failures  prometheus.Counter
	tenants              *prometheus.GaugeVec
	counts               prometheus.Gauge
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &metrics{
		passed:     counter("stepwick_tally_passed_total", "Requests passed by the tally."),
		quota:      counter("stepwick_tally_quota_refused_total", "Requests refused as the tenant's allowance is spent."),
		share:      counter("stepwick_tally_share_refused_total", "Requests refused as the count is out of reach and this node's share is spent."),
		heldPassed: counter("stepwick_tally_held_passed_total", "Requests held for an exchange and then passed."),
		heldBack:   counter("stepwick_tally_held_refused_total", "Requests held for an exchange and then refused."),
		exchanges:  counter("stepwick_tally_exchanges_total", "Answered exchanges with holders."),
		failures:   counter("stepwick_tally_exchange_failures_total", "Exchanges that failed: a holder out of reach."),
		tenants:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "stepwick_tally_active_tenants", Help: "Tenants active on this front."}, []string{"owner"}),
		counts:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "stepwick_tally_held_counts", Help: "Tenants whose count this front holds."}),
	}
	if registry == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.passed, m.quota, m.share, m.heldPassed, m.heldBack, m.exchanges, m.failures, m.tenants, m.counts} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) count(d quota.Decision) {
	switch {
	case d.Allowed:
		m.passed.Inc()
	case d.Code == apierror.ShareExceeded:
		m.share.Inc()
	default:
		m.quota.Inc()
	}
}

func (m *metrics) held(passed bool) {
	if passed {
		m.heldPassed.Inc()
	} else {
		m.heldBack.Inc()
	}
}

func (m *metrics) exchanged(err error) {
	if err != nil {
		m.failures.Inc()
	} else {
		m.exchanges.Inc()
	}
}

func (m *metrics) active(owner string, tenants int) {
	m.tenants.WithLabelValues(owner).Set(float64(tenants))
}

func (m *metrics) holds(counts int) { m.counts.Set(float64(counts)) }
