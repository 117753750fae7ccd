package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// OneShot is a non-streaming call, which the server must execute at most once.
type OneShot struct {
	Method string
	Path   string // escaped, with the leading slash
	Query  string // raw, without the question mark
	Header http.Header
	Body   []byte
}

// Response is a complete response from a server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a one-shot call to one server, at most once. If the failure's NotSent
// method returns true, the server has not executed the call and never will; after
// any other failure it may have executed it.
func (c *Client) Call(ctx context.Context, attempt *Attempt, call *OneShot) (*Response, *Failure) {
	target, err := url.Parse("http://" + attempt.Address + call.Path)
	if err != nil {
		return nil, &Failure{Kind: NotSent, Detail: err.Error()}
	}
	target.RawQuery = call.Query
	response, guard, failure := c.send(ctx, attempt, requestSpec{
		method: call.Method,
		target: target,
		header: call.Header,
		body:   call.Body,
	})
	if failure != nil {
		return nil, failure
	}
	defer response.Body.Close()
	// Reading one byte beyond the limit tells an oversized body from one of exactly
	// the limit.
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxBodyBytes+1))
	if err != nil {
		return nil, asIncomplete(guard.failure(ctx, err))
	}
	if failure := c.checkOneShotResponse(attempt.ID, call.Method, response, body); failure != nil {
		return nil, failure
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// checkOneShotResponse returns nil if the response is complete and belongs to the
// request.
func (c *Client) checkOneShotResponse(id, method string, response *http.Response, body []byte) *Failure {
	switch {
	case int64(len(body)) > c.config.MaxBodyBytes:
		return &Failure{Kind: ProtocolViolation, Detail: "response body exceeds " + strconv.FormatInt(c.config.MaxBodyBytes, 10) + " bytes"}
	case !hasKnownEnd(method, response):
		return &Failure{Kind: Incomplete, Detail: "response has neither a length nor chunked encoding, so its completeness cannot be checked"}
	case response.Header.Get(HeaderRequestID) != id:
		return &Failure{Kind: ProtocolViolation, Detail: "response does not carry the id of the request but " + strconv.Quote(response.Header.Get(HeaderRequestID))}
	case response.StatusCode < 200 || response.StatusCode > 599:
		return &Failure{Kind: ProtocolViolation, Detail: "invalid response status " + strconv.Itoa(response.StatusCode)}
	}
	return nil
}

// asIncomplete changes ServerFailed to Incomplete, for a connection that ended while
// the body was being read.
func asIncomplete(failure *Failure) *Failure {
	if failure.Kind == ServerFailed {
		failure.Kind = Incomplete
	}
	return failure
}

// hasKnownEnd reports whether the end of a response can be told from an early close
// of the connection: the response has no body, a Content-Length, or chunked encoding.
func hasKnownEnd(method string, response *http.Response) bool {
	if method == http.MethodHead || response.ContentLength >= 0 {
		return true
	}
	encodings := response.TransferEncoding
	return len(encodings) > 0 && encodings[len(encodings)-1] == "chunked"
}
