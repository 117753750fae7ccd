package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// OneShot is a call that must run at most once.
type OneShot struct {
	Method string
	Path   string // escaped, with its leading slash
	Query  string // raw
	Header http.Header
	Body   []byte
}

// Answer is a server's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a one-shot call to one server, at most once. A failure that is
// NotSent means that the call has not run and will not; after any other it may
// have run.
func (c *Client) Call(ctx context.Context, attempt *Attempt, call *OneShot) (*Answer, *Failure) {
	target, err := url.Parse("http://" + attempt.Address + call.Path)
	if err != nil {
		return nil, &Failure{Kind: NotSent, Detail: err.Error()}
	}
	target.RawQuery = call.Query
	response, guard, failure := c.send(ctx, attempt, outgoing{
		method: call.Method,
		target: target,
		header: call.Header,
		body:   call.Body,
	})
	if failure != nil {
		return nil, failure
	}
	defer response.Body.Close()
	// One byte more than the limit shows that an answer is beyond it.
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.BodyMax+1))
	if err != nil {
		return nil, incompleteAnswer(guard.failure(ctx, err))
	}
	if failure := c.checkAnswer(attempt.ID, call.Method, response, body); failure != nil {
		return nil, failure
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// checkAnswer returns nil if an answer is complete and the request's own.
func (c *Client) checkAnswer(id, method string, response *http.Response, body []byte) *Failure {
	switch {
	case int64(len(body)) > c.config.BodyMax:
		return &Failure{Kind: ProtocolViolation, Detail: "the answer is over " + strconv.FormatInt(c.config.BodyMax, 10) + " bytes"}
	case !hasKnownEnd(method, response):
		return &Failure{Kind: Incomplete, Detail: "the answer tells no length, so that it can't be known to be whole"}
	case response.Header.Get(HeaderRequestID) != id:
		return &Failure{Kind: ProtocolViolation, Detail: "the answer names request " + strconv.Quote(response.Header.Get(HeaderRequestID))}
	case response.StatusCode < 200 || response.StatusCode > 599:
		return &Failure{Kind: ProtocolViolation, Detail: "status " + strconv.Itoa(response.StatusCode)}
	}
	return nil
}

// incompleteAnswer makes a connection that ended within the body an Incomplete.
func incompleteAnswer(failure *Failure) *Failure {
	if failure.Kind == ServerFailed {
		failure.Kind = Incomplete
	}
	return failure
}

// hasKnownEnd reports whether the end of an answer differs from an early end of
// the connection: it has no body, a length or a last chunk.
func hasKnownEnd(method string, response *http.Response) bool {
	if method == http.MethodHead || response.ContentLength >= 0 {
		return true
	}
	encodings := response.TransferEncoding
	return len(encodings) > 0 && encodings[len(encodings)-1] == "chunked"
}
