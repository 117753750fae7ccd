package front

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"stepwick/internal/apierror"
)

// metrics holds the Prometheus collectors of the data path.
type metrics struct {
	requests        *prometheus.CounterVec
	firstEvent      *prometheus.HistogramVec
	eventGap        *prometheus.HistogramVec
	inFlight        prometheus.Gauge
	retries         *prometheus.CounterVec
	quotaRejections prometheus.Counter
	shareRejections prometheus.Counter
}

// newMetrics creates the collectors and registers them in a fixed order. It returns
// the error of the registry.
func newMetrics(registry prometheus.Registerer, journal *requestJournal) (*metrics, error) {
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepwick_requests_total",
			Help: "Requests by service and result code.",
		}, []string{"service", "code"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "stepwick_first_event_seconds",
			Help:    "From a prompt's arrival until its first event was passed on.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"service"}),
		eventGap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "stepwick_event_gap_seconds",
			Help:    "Between two events of a stream as passed on.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "stepwick_requests_in_flight",
			Help: "Requests admitted and not ended.",
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepwick_retries_total",
			Help: "Attempts at a further server, by service.",
		}, []string{"service"}),
		quotaRejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepwick_quota_refusals_total",
			Help: "Requests refused because the tenant's allowance is spent.",
		}),
		shareRejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepwick_tally_unreachable_refusals_total",
			Help: "Requests refused because the tenant's count is out of reach and this node's share is spent.",
		}),
	}
	for _, collector := range created.collectors(journal) {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return created, nil
}

func (m *metrics) collectors(journal *requestJournal) []prometheus.Collector {
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "stepwick_explain_dropped_total",
		Help: "Entries of the explain journal that were dropped because its owner was behind.",
	}, func() float64 { return float64(journal.dropped.Load()) })
	return []prometheus.Collector{
		m.requests,
		m.firstEvent,
		m.eventGap,
		m.inFlight,
		m.retries,
		m.quotaRejections,
		m.shareRejections,
		dropped,
	}
}

// countResult counts a request by its result; nil stands for success. The counters
// quotaRejections and shareRejections only cover requests to the caller API; the
// counters of package quotasync also cover requests through the gateway.
func (m *metrics) countResult(service string, apiErr *apierror.Error) {
	code := apierror.OK
	if apiErr != nil {
		code = apiErr.Code
	}
	switch code {
	case apierror.QuotaExceeded:
		m.quotaRejections.Inc()
	case apierror.ShareExceeded:
		m.shareRejections.Inc()
	}
	m.requests.WithLabelValues(service, strconv.FormatUint(uint64(code), 10)).Inc()
}
