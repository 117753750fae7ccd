package quotasync

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
)

type metrics struct {
	allowed        prometheus.Counter
	overQuota      prometheus.Counter
	overShare      prometheus.Counter
	queuedAllowed  prometheus.Counter
	queuedRejected prometheus.Counter
	exchanges      prometheus.Counter
	failures       prometheus.Counter
	tenants        *prometheus.GaugeVec // by shard
	counts         prometheus.Gauge
	countLag       prometheus.Gauge
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	created := &metrics{
		allowed:        counter("stepwick_tally_passed_total", "Requests passed by the tally."),
		overQuota:      counter("stepwick_tally_quota_refused_total", "Requests refused as the tenant's allowance is spent."),
		overShare:      counter("stepwick_tally_share_refused_total", "Requests refused as the count is out of reach and this node's share is spent."),
		queuedAllowed:  counter("stepwick_tally_held_passed_total", "Requests held for an exchange and then passed."),
		queuedRejected: counter("stepwick_tally_held_refused_total", "Requests held for an exchange and then refused."),
		exchanges:      counter("stepwick_tally_exchanges_total", "Answered exchanges with holders."),
		failures:       counter("stepwick_tally_exchange_failures_total", "Exchanges that failed: a holder out of reach."),
		tenants:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "stepwick_tally_active_tenants", Help: "Tenants active on this front."}, []string{"owner"}),
		counts:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "stepwick_tally_held_counts", Help: "Tenants whose count this front holds."}),
		countLag:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "stepwick_tally_count_lag_seconds", Help: "Mean time from the departure of a count to its handling at this front, its holder, over the last second."}),
	}
	if registry == nil {
		return created, nil
	}
	for _, collector := range created.collectors() {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return created, nil
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.allowed,
		m.overQuota,
		m.overShare,
		m.queuedAllowed,
		m.queuedRejected,
		m.exchanges,
		m.failures,
		m.tenants,
		m.counts,
		m.countLag,
	}
}

func (m *metrics) countDecision(decision quota.Decision) {
	switch {
	case decision.Allowed:
		m.allowed.Inc()
	case decision.Code == apierror.ShareExceeded:
		m.overShare.Inc()
	default:
		m.overQuota.Inc()
	}
}

// countQueued counts the final decision on a request that was queued.
func (m *metrics) countQueued(decision quota.Decision) {
	if decision.Allowed {
		m.queuedAllowed.Inc()
	} else {
		m.queuedRejected.Inc()
	}
}

func (m *metrics) countExchange(err error) {
	if err != nil {
		m.failures.Inc()
	} else {
		m.exchanges.Inc()
	}
}

func (m *metrics) setActiveTenants(shard string, tenants int) {
	m.tenants.WithLabelValues(shard).Set(float64(tenants))
}

func (m *metrics) setCounts(counts int) { m.counts.Set(float64(counts)) }

func (m *metrics) setCountLag(lag time.Duration) { m.countLag.Set(lag.Seconds()) }
