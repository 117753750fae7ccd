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

// noService is the value of the label "service" of the requests metric for a request that
// was rejected before a service was selected.
const noService = "(none)"

// request is the state of one client request. Its handler goroutine owns it.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	http    *http.Request
	call    port.ClientRequest
	arrived time.Time

	admission
	body               []byte
	bufferedBytes      int64 // reserved in the gateway's budget of buffered bodies
	deadline           time.Time
	service            string
	selection          balance.Request
	possibleExecutions int // number of servers that may have executed the request
	// replacement is the server that was assigned in place of a stalled one.
	replacement *assignment
}

// admission holds the parts of the configuration that apply to an admitted request.
type admission struct {
	index        *sheet.Index // of the configuration by which the request was admitted
	route        *sheet.NamedRoute
	tenant       string // empty for a public route without a valid key
	tenantConfig sheet.Tenant
}

// ServeHTTP serves one request for a route.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, release := g.untilRequestsEnd(r.Context())
	defer release()
	q := &request{gateway: g, writer: w, http: r.WithContext(ctx), arrived: g.clock.Now(), service: noService}
	g.lastArrival.Store(int64(q.arrived.Sub(g.started)))
	g.inFlight.Add(1)
	g.metrics.inFlight.Inc()
	defer func() {
		g.bodyBudget.Release(q.bufferedBytes)
		g.metrics.inFlight.Dec()
		g.inFlight.Add(-1)
	}()
	defer q.recoverPanic()
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	apiErr := q.admit()
	if apiErr == nil {
		apiErr = q.runAttempts()
	}
	g.metrics.requestFinished(q.service, apiErr)
	if apiErr != nil {
		q.writeError(apiErr)
	}
}

// recoverPanic recovers from a panic of the handler, logs it and aborts the client's
// connection.
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

// writeError logs an error and writes it as the response. It panics with
// http.ErrAbortHandler if the client has disconnected.
func (q *request) writeError(apiErr *apierror.Error) {
	if apiErr.Code == apierror.CallerDisconnected {
		panic(http.ErrAbortHandler)
	}
	q.gateway.log.Emit(events.RequestRejected, "request", q.call.ID, "service", q.service, "tenant", q.tenant,
		"code", uint32(apiErr.Code), "detail", apiErr.Detail)
	q.gateway.dialect.WriteError(q.writer, q.call.ID, apiErr)
}

// logAborted logs that the client's connection is closed within the response, unless the
// client closed it.
func (q *request) logAborted(apiErr *apierror.Error) {
	if apiErr.Code == apierror.CallerDisconnected {
		return
	}
	now := q.gateway.clock.Now()
	keyValues := []any{"request", q.call.ID, "service", q.service, "tenant", q.tenant, "code", uint32(apiErr.Code), "detail", apiErr.Detail,
		"age_ms", now.Sub(q.arrived).Milliseconds()}
	if drain := q.gateway.drain.Load(); drain != nil {
		keyValues = append(keyValues, "draining_ms", now.Sub(drain.began).Milliseconds())
	}
	q.gateway.log.Emit(events.ResponseAborted, keyValues...)
}
