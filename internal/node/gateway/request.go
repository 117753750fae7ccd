package gateway

import (
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/port"
)

// noService is the value of the requests metric's label "service" for a request
// that was refused before a service was selected.
const noService = "(none)"

// request is one client's request. Its handler goroutine owns it.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	http    *http.Request
	call    port.ClientRequest
	arrived time.Time

	admission
	body          []byte
	bufferedBytes int64 // taken from the gateway's budget of buffered bodies
	deadline      time.Time
	service       string
	selection     balance.Request
	executions    int // servers that may have executed it
	// replacement is the server assigned in place of one that was silent.
	replacement *assignment
}

// admission is what the configuration says of a request that was admitted.
type admission struct {
	index       *sheet.Index // of the configuration that admitted the request
	route       *sheet.NamedRoute
	tenant      string // empty for a public route without a known key
	tenantTerms sheet.Tenant
}

// ServeHTTP serves one request that came by a route.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{gateway: g, writer: w, http: r, arrived: g.clock.Now(), service: noService}
	g.lastArrival.Store(int64(q.arrived.Sub(g.started)))
	g.inFlight.Add(1)
	g.metrics.inFlight.Inc()
	defer func() {
		g.bodies.Release(q.bufferedBytes)
		g.metrics.inFlight.Dec()
		g.inFlight.Add(-1)
	}()
	defer q.recoverPanic()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	apiErr := q.admit()
	if apiErr == nil {
		apiErr = q.run()
	}
	g.metrics.requestFinished(q.service, apiErr)
	if apiErr != nil {
		q.reject(apiErr)
	}
}

// recoverPanic logs a panic and aborts the client's connection.
func (q *request) recoverPanic() {
	panicked := recover()
	if panicked == nil {
		return
	}
	if panicked != http.ErrAbortHandler { //nolint:errorlint // a panic's value, as net/http compares it
		q.gateway.log.Emit(events.RequestPanicked, "request", q.call.ID, "panic", panicked)
	}
	panic(http.ErrAbortHandler)
}

// reject answers the client with an error. It panics with http.ErrAbortHandler
// when the client has disconnected.
func (q *request) reject(apiErr *apierror.Error) {
	if apiErr.Code == apierror.CallerGone {
		panic(http.ErrAbortHandler)
	}
	q.gateway.log.Emit(events.RequestRejected, "request", q.call.ID, "service", q.service, "tenant", q.tenant,
		"code", uint32(apiErr.Code), "detail", apiErr.Detail)
	q.gateway.dialect.WriteError(q.writer, q.call.ID, apiErr)
}
