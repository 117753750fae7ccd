package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
	"stepwick/internal/port"
)

const (
	// rejectionBodyLimit is how many bytes are read of a response that reports
	// the request as not executed, so that its connection can be used again.
	rejectionBodyLimit = 64 << 10
	rejectedRetryAfter = 150 * time.Millisecond
)

// errStalled is the cause of an attempt that was cancelled because nothing arrived.
var errStalled = errors.New("the server was silent for too long")

// run sends the request to servers until one has answered it or it may not be
// retried. It returns nil when the client got an answer.
//
// Three limits end the attempts: the deadline; the retry budget, by which the
// dispatcher rejects an attempt (balance.Table.Choose); and, once a server may have
// executed the request, the route's kind and its number of attempts (prepareRetry). An
// attempt that was certainly not executed, since nothing was sent or the server said
// so, is not one of that number. No server is tried twice.
func (q *request) run() *apierror.Error {
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.gateway.clock.Now()))
	defer cancel()
	defer q.releaseReplacement()
	toClient := &relay{request: q, ctx: ctx, lastEventID: q.call.LastEventID}
	var previous *apierror.Error
	for first := true; ; first = false {
		apiErr, retry := q.attempt(ctx, toClient, first)
		if apiErr == nil {
			return nil
		}
		if !retry {
			return q.finalError(toClient, apiErr, previous)
		}
		previous = apiErr
	}
}

// finalError returns the error for a request that is not retried any more. What is
// known of the previous attempt takes precedence over why there is no further one.
// It panics with http.ErrAbortHandler when the client already got a part of an
// answer, since only a broken connection shows that the rest is missing.
func (q *request) finalError(toClient *relay, apiErr, previous *apierror.Error) *apierror.Error {
	if q.http.Context().Err() != nil {
		apiErr = apierror.Errorf(apierror.CallerGone, "the client closed the connection")
	}
	if toClient.started {
		panic(http.ErrAbortHandler)
	}
	switch {
	case apiErr.Code == apierror.CallerGone:
		return apiErr
	case q.executions > 0:
		if previous != nil && apiErr.Code != apierror.DeadlinePassed {
			apiErr = previous
		}
		return possiblyExecuted(apiErr)
	case apiErr.Code == apierror.DeadlinePassed:
		return apierror.Errorf(apierror.NotRun, "%s", apiErr.Detail).WithRetryAfter(minRetryAfter)
	}
	return apiErr
}

// possiblyExecuted returns the error for a request that a server may have executed.
// It must not say that the request can be sent again.
func possiblyExecuted(apiErr *apierror.Error) *apierror.Error {
	switch apiErr.Code {
	case apierror.DeadlinePassed, apierror.OutcomeUnknown, apierror.BadAnswer:
		return apiErr
	}
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", apiErr.Detail)
}

// attempt sends the request to one server. retry reports that another may be tried.
func (q *request) attempt(ctx context.Context, toClient *relay, first bool) (apiErr *apierror.Error, retry bool) {
	dispatcher := q.gateway.dispatcher
	assigned := q.nextAssignment(ctx, first)
	if assigned.apiErr != nil {
		return q.contextError(ctx, assigned.apiErr), false
	}
	outcome := balance.OutcomeCancelled
	defer func() { dispatcher.finished(assigned.attempt, outcome) }()
	if apiErr := q.checkAdmission(); apiErr != nil {
		return apiErr, false
	}
	q.exclude(assigned.server)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, failure := q.send(ctx, sendCtx, cancel, assigned.server, toClient.lastEventID)
	if failure != nil {
		q.gateway.metrics.attemptFailed(q.service, failure.Kind)
		return q.sendFailed(ctx, failure, &outcome)
	}
	defer response.Close()
	metadata := q.gateway.dialect.ReadResponse(response.Status, response.Header)
	if metadata.NotExecuted || metadata.WrongServer {
		return q.rejected(response, metadata, &outcome)
	}
	q.executions++
	apiErr, retry = toClient.relay(response, assigned.attempt)
	switch {
	case apiErr == nil && response.Status >= http.StatusInternalServerError:
		outcome = balance.OutcomeServerError
	case apiErr == nil:
		outcome = balance.OutcomeSucceeded
	case ctx.Err() == nil && !toClient.clientDisconnected:
		outcome = balance.OutcomeFailed
	}
	return apiErr, retry && q.prepareRetry()
}

// send sends the request by sendCtx, which is cancelled when another server replaces
// this one.
func (q *request) send(ctx, sendCtx context.Context, cancel func(), server upstream.Server, lastEventID string) (*upstream.Response, *upstream.Failure) {
	watch := q.watchStall(ctx, q.executions+1, cancel)
	response, failure := q.gateway.client.Send(sendCtx, server, q.upstreamRequest(server, lastEventID))
	replaced := q.stopWatch(watch)
	if !replaced || ctx.Err() != nil {
		return response, failure
	}
	if response != nil {
		response.Close()
	}
	return nil, &upstream.Failure{Kind: upstream.Lost, Sent: true, Cause: errStalled}
}

// sendFailed decides on an attempt without a response.
func (q *request) sendFailed(ctx context.Context, failure *upstream.Failure, outcome *balance.Outcome) (apiErr *apierror.Error, retry bool) {
	switch failure.Kind {
	case upstream.Refused:
		*outcome = balance.OutcomeRefused
	case upstream.Unresponsive:
		*outcome = balance.OutcomeUnresponsive
	case upstream.NotSent, upstream.Lost, upstream.Malformed:
		*outcome = balance.OutcomeFailed
	}
	if failure.Sent {
		q.executions++
		q.selection.Retry = true
	}
	if ctx.Err() != nil {
		return q.contextError(ctx, nil), false
	}
	if !failure.Sent {
		return apierror.Errorf(apierror.NotRun, "%s", failure).WithRetryAfter(minRetryAfter), true
	}
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", failure), q.prepareRetry()
}

// rejected decides on an attempt that the server did not execute.
func (q *request) rejected(response *upstream.Response, metadata port.ResponseMetadata, outcome *balance.Outcome) (apiErr *apierror.Error, retry bool) {
	q.gateway.metrics.attemptRejected(q.service)
	_, _ = io.CopyN(io.Discard, response, rejectionBodyLimit)
	q.selection.Retry = true
	*outcome = balance.OutcomeRejected
	reason := "the server is full"
	if metadata.WrongServer {
		*outcome = balance.OutcomeReplaced
		reason = "the server is gone; another one has its address"
	}
	return apierror.Errorf(apierror.NotRun, "%s", reason).WithRetryAfter(rejectedRetryAfter), true
}

// contextError returns CallerGone when the client has disconnected, DeadlinePassed
// when the deadline has passed or apiErr is nil, and apiErr otherwise.
func (q *request) contextError(ctx context.Context, apiErr *apierror.Error) *apierror.Error {
	switch {
	case q.http.Context().Err() != nil:
		return apierror.Errorf(apierror.CallerGone, "the client closed the connection")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || apiErr == nil:
		return apierror.Errorf(apierror.DeadlinePassed, "the deadline passed before an answer")
	}
	return apiErr
}

// exclude keeps further attempts from a server.
func (q *request) exclude(server upstream.Server) {
	q.selection.ExcludedServers = append(q.selection.ExcludedServers, server.Name)
}

// prepareRetry marks further attempts as retries for the retry budget, and reports
// whether a request that a server may have executed may be sent to another one.
func (q *request) prepareRetry() bool {
	q.selection.Retry = true
	return q.route.Idempotent() && q.executions < q.maxAttempts()
}

func (q *request) maxAttempts() int { return max(q.route.Attempts, 1) }
