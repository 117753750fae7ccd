package gateway

import (
	"strconv"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// endRejected is the value of the label "end" of the attempts metric for an attempt that
// the server did not execute. Its other values are those of upstream.FailureKind.
const endRejected = "rejected"

// metrics are the gateway's Prometheus collectors.
type metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	inFlight prometheus.Gauge
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepwick_routed_requests_total",
			Help: "Requests by route, by service and result code.",
		}, []string{"service", "code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepwick_routed_attempts_total",
			Help: "Attempts at servers, by service and how they ended.",
		}, []string{"service", "end"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "stepwick_routed_in_flight",
			Help: "Requests by route that are being served.",
		}),
	}
	for _, collector := range []prometheus.Collector{created.requests, created.attempts, created.inFlight} {
		if err := registry.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register the gateway's metrics")
		}
	}
	return created, nil
}

// requestFinished counts a request by the code of its error, OK if apiErr is nil.
func (m *metrics) requestFinished(service string, apiErr *apierror.Error) {
	code := apierror.OK
	if apiErr != nil {
		code = apiErr.Code
	}
	m.requests.WithLabelValues(service, strconv.FormatUint(uint64(code), 10)).Inc()
}

func (m *metrics) attemptFailed(service string, kind upstream.FailureKind) {
	m.attempts.WithLabelValues(service, string(kind)).Inc()
}

func (m *metrics) attemptRejected(service string) {
	m.attempts.WithLabelValues(service, endRejected).Inc()
}
