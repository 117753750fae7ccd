package quotasync

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
)

// metrics are the Prometheus metrics of a Service.
type metrics struct {
	allowed          prometheus.Counter
	overQuota        prometheus.Counter
	overShare        prometheus.Counter
	queuedAllowed    prometheus.Counter
	queuedRejected   prometheus.Counter
	exchanges        prometheus.Counter
	exchangeFailures prometheus.Counter
	activeTenants    *prometheus.GaugeVec // by shard; the label is "owner"
	ownedTenants     prometheus.Gauge
	countLag         prometheus.Gauge
}

// newMetrics returns the metrics and registers them unless registry is nil.
func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &metrics{
		allowed:          counter("stepwick_tally_passed_total", "Requests passed by the tally."),
		overQuota:        counter("stepwick_tally_quota_refused_total", "Requests refused as the tenant's allowance is spent."),
		overShare:        counter("stepwick_tally_share_refused_total", "Requests refused as the count is out of reach and this node's share is spent."),
		queuedAllowed:    counter("stepwick_tally_held_passed_total", "Requests held for an exchange and then passed."),
		queuedRejected:   counter("stepwick_tally_held_refused_total", "Requests held for an exchange and then refused."),
		exchanges:        counter("stepwick_tally_exchanges_total", "Answered exchanges with holders."),
		exchangeFailures: counter("stepwick_tally_exchange_failures_total", "Exchanges that failed: a holder out of reach."),
		activeTenants:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "stepwick_tally_active_tenants", Help: "Tenants active on this front."}, []string{"owner"}),
		ownedTenants:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "stepwick_tally_held_counts", Help: "Tenants whose count this front holds."}),
		countLag:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "stepwick_tally_count_lag_seconds", Help: "Mean time from the departure of a count to its handling at this front, its holder, over the last second."}),
	}
	if registry == nil {
		return m, nil
	}
	for _, collector := range m.collectors() {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.allowed,
		m.overQuota,
		m.overShare,
		m.queuedAllowed,
		m.queuedRejected,
		m.exchanges,
		m.exchangeFailures,
		m.activeTenants,
		m.ownedTenants,
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

// countQueued counts the final decision on a request that was queued for an exchange.
func (m *metrics) countQueued(decision quota.Decision) {
	if decision.Allowed {
		m.queuedAllowed.Inc()
	} else {
		m.queuedRejected.Inc()
	}
}

func (m *metrics) countExchange(err error) {
	if err != nil {
		m.exchangeFailures.Inc()
	} else {
		m.exchanges.Inc()
	}
}

func (m *metrics) setActiveTenants(shard string, tenants int) {
	m.activeTenants.WithLabelValues(shard).Set(float64(tenants))
}

func (m *metrics) setOwnedTenants(tenants int) { m.ownedTenants.Set(float64(tenants)) }

func (m *metrics) setCountLag(lag time.Duration) { m.countLag.Set(lag.Seconds()) }
