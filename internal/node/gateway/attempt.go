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
	// rejectionBodyLimit is the number of bytes that are read and discarded from a
	// response that reports the request as not executed, so that its connection can be
	// reused.
	rejectionBodyLimit = 64 << 10
	rejectedRetryAfter = 150 * time.Millisecond
)

// errStalled is the failure cause of an attempt that was cancelled because its server
// stalled.
var errStalled = errors.New("the server sent no data within the stall timeout")

// runAttempts sends the request to servers, one after the other, until a response has
// been relayed or the request must not be retried. It returns nil if the client received
// a response.
//
// Attempts are limited by the deadline; by the retry budget, which the dispatcher
// enforces (balance.Table.Choose); and, once a server may have executed the request, by
// the route's kind and its maximum number of attempts (prepareRetry). An attempt that was
// certainly not executed, because nothing was sent or the server reported so, does not
// count towards that maximum. No server is tried twice.
func (q *request) runAttempts() *apierror.Error {
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.gateway.clock.Now()))
	defer cancel()
	defer q.releaseReplacement()
	clientRelay := &relay{request: q, ctx: ctx, lastEventID: q.call.LastEventID}
	var previous *apierror.Error
	for isFirstAttempt := true; ; isFirstAttempt = false {
		apiErr, retry := q.attempt(ctx, clientRelay, isFirstAttempt)
		if apiErr == nil {
			return nil
		}
		if !retry {
			return q.finalError(clientRelay, apiErr, previous)
		}
		previous = apiErr
	}
}

// finalError returns the error for a request that is not retried any further. If a server
// may have executed the request, the error of the previous attempt takes precedence over
// the reason why there is no other attempt, unless that reason is the deadline.
// finalError panics with http.ErrAbortHandler if a part of the response was already
// relayed, since only an aborted connection shows the client that the response is
// incomplete.
func (q *request) finalError(clientRelay *relay, apiErr, previous *apierror.Error) *apierror.Error {
	if q.clientDisconnected() {
		apiErr = apierror.Errorf(apierror.CallerDisconnected, "the client closed the connection")
	}
	if clientRelay.started {
		q.logAborted(apiErr)
		panic(http.ErrAbortHandler)
	}
	switch {
	case apiErr.Code == apierror.CallerDisconnected:
		return apiErr
	case q.possibleExecutions > 0:
		if previous != nil && apiErr.Code != apierror.DeadlineExceeded {
			apiErr = previous
		}
		return possiblyExecuted(apiErr, q.route.Idempotent())
	case apiErr.Code == apierror.DeadlineExceeded:
		return apierror.Errorf(apierror.NotExecuted, "%s", apiErr.Detail).WithRetryAfter(minRetryAfter)
	}
	return apiErr
}

// possiblyExecuted returns the error for a request that a server may have executed. Codes
// whose advice is to send the request again are replaced, unless its route is idempotent
// and the code allows for an execution.
func possiblyExecuted(apiErr *apierror.Error, isIdempotent bool) *apierror.Error {
	switch apiErr.Code {
	case apierror.OutcomeUnknown:
		return apiErr
	case apierror.DeadlineExceeded:
		if isIdempotent {
			return apiErr
		}
		return apierror.Errorf(apierror.DeadlineUnknown, "%s", apiErr.Detail)
	case apierror.BadResponse:
		if isIdempotent {
			return apiErr
		}
	}
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", apiErr.Detail)
}

// attempt sends the request to one server. retry reports whether another server may be
// tried.
func (q *request) attempt(ctx context.Context, clientRelay *relay, isFirstAttempt bool) (apiErr *apierror.Error, retry bool) {
	dispatcher := q.gateway.dispatcher
	assigned := q.nextAssignment(ctx, isFirstAttempt)
	if assigned.apiErr != nil {
		return q.contextError(ctx, assigned.apiErr), false
	}
	outcome := balance.OutcomeCancelled
	defer func() { dispatcher.reportFinished(assigned.attempt, outcome) }()
	if assigned.opened == nil {
		if apiErr := q.checkSend(); apiErr != nil {
			return apiErr, false
		}
	}
	defer assigned.opened.close()
	q.excludeServer(assigned.server)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, failure := q.openResponse(ctx, sendCtx, cancel, assigned, clientRelay)
	if failure != nil {
		q.gateway.metrics.attemptFailed(q.service, failure.Kind)
		return q.handleSendFailure(ctx, failure, &outcome)
	}
	defer response.Close()
	metadata := q.gateway.dialect.ReadResponse(response.Status, response.Header)
	if metadata.NotExecuted || metadata.WrongServer {
		return q.handleRejection(response, metadata, &outcome)
	}
	q.possibleExecutions++
	apiErr, retry = clientRelay.relay(response, assigned.attempt)
	switch {
	case apiErr == nil && response.Status >= http.StatusInternalServerError:
		outcome = balance.OutcomeServerError
	case apiErr == nil:
		outcome = balance.OutcomeSucceeded
	case ctx.Err() == nil && !clientRelay.clientDisconnected:
		outcome = balance.OutcomeFailed
	}
	return apiErr, retry && q.prepareRetry()
}

// checkSend returns an error if the request must not be sent to a server now.
func (q *request) checkSend() *apierror.Error {
	if apiErr := q.checkAdmission(); apiErr != nil {
		return apiErr
	}
	if q.possibleExecutions > 0 {
		return nil
	}
	return q.checkDrain()
}

// openResponse returns the response of an assignment that was opened already, if it
// continues what was relayed, and otherwise sends the request.
func (q *request) openResponse(ctx, sendCtx context.Context, cancel func(), assigned assignment, clientRelay *relay) (*upstream.Response, *upstream.Failure) {
	if assigned.opened == nil {
		return q.send(ctx, sendCtx, cancel, assigned.server, clientRelay)
	}
	if assigned.opened.lastEventID == clientRelay.lastEventID {
		return assigned.opened.response, nil
	}
	assigned.opened.close()
	return q.send(ctx, sendCtx, cancel, assigned.server, clientRelay)
}

// send sends the request to a server. cancel cancels sendCtx, a child of ctx, when the
// server has stalled and another one has responded in its place.
func (q *request) send(ctx, sendCtx context.Context, cancel func(), server upstream.Server, clientRelay *relay) (*upstream.Response, *upstream.Failure) {
	lastEventID := clientRelay.lastEventID
	watch := q.watchStall(ctx, q.possibleExecutions+1, lastEventID, clientRelay.started, cancel)
	response, failure := q.gateway.client.Send(sendCtx, server, q.upstreamRequest(server, lastEventID))
	replaced := q.stopStallWatch(watch, failure != nil)
	failedByItself := failure != nil && failure.Kind != upstream.Cancelled
	if !replaced || ctx.Err() != nil || failedByItself {
		return response, failure
	}
	if response != nil {
		response.Close()
	}
	return nil, &upstream.Failure{Kind: upstream.Lost, Sent: true, Cause: errStalled}
}

// handleSendFailure returns the error for an attempt that got no response and whether
// the request may be retried. It sets the attempt's outcome.
func (q *request) handleSendFailure(ctx context.Context, failure *upstream.Failure, outcome *balance.Outcome) (apiErr *apierror.Error, retry bool) {
	switch failure.Kind {
	case upstream.Refused:
		*outcome = balance.OutcomeRefused
	case upstream.Unresponsive:
		*outcome = balance.OutcomeUnresponsive
	case upstream.NotSent, upstream.Lost, upstream.Malformed:
		*outcome = balance.OutcomeFailed
	}
	if failure.Sent {
		q.possibleExecutions++
		q.selection.Retry = true
	}
	if ctx.Err() != nil {
		return q.contextError(ctx, nil), false
	}
	if !failure.Sent {
		return apierror.Errorf(apierror.NotExecuted, "%s", failure).WithRetryAfter(minRetryAfter), true
	}
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", failure), q.prepareRetry()
}

// handleRejection returns the error for an attempt that the server did not execute, which
// may always be retried. It sets the attempt's outcome.
func (q *request) handleRejection(response *upstream.Response, metadata port.ResponseMetadata, outcome *balance.Outcome) (apiErr *apierror.Error, retry bool) {
	q.gateway.metrics.attemptRejected(q.service)
	_, _ = io.CopyN(io.Discard, response, rejectionBodyLimit)
	q.selection.Retry = true
	*outcome = balance.OutcomeRejected
	reason := "the server reported that it did not execute the request"
	if metadata.WrongServer {
		*outcome = balance.OutcomeReplaced
		reason = "the server has been replaced by another one at its address"
	}
	return apierror.Errorf(apierror.NotExecuted, "%s", reason).WithRetryAfter(rejectedRetryAfter), true
}

// contextError returns CallerDisconnected if the client has disconnected, FrontDraining if
// the time of a drain is over, DeadlineExceeded if the deadline has passed or apiErr is nil,
// and apiErr otherwise.
func (q *request) contextError(ctx context.Context, apiErr *apierror.Error) *apierror.Error {
	switch {
	case q.clientDisconnected():
		return apierror.Errorf(apierror.CallerDisconnected, "the client closed the connection")
	case q.endedByDrain():
		return apierror.Errorf(apierror.FrontDraining, "the node is shutting down; send the request to another node").WithRetryAfter(noAuthorityRetryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || apiErr == nil:
		return apierror.Errorf(apierror.DeadlineExceeded, "the deadline passed before the response was complete")
	}
	return apiErr
}

// excludeServer excludes a server from further attempts.
func (q *request) excludeServer(server upstream.Server) {
	q.selection.ExcludedServers = append(q.selection.ExcludedServers, server.Name)
}

// prepareRetry marks further attempts as retries, which are charged to the retry budget,
// and reports whether a request that a server may have executed may be sent to another
// one.
func (q *request) prepareRetry() bool {
	q.selection.Retry = true
	return q.route.Idempotent() && q.possibleExecutions < q.maxAttempts()
}

func (q *request) maxAttempts() int { return max(q.route.Attempts, 1) }
