package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"stepwick/internal/port"
)

// Shot is a one-shot call.
type Shot struct {
	Method string
	Path   string // escaped, with its leading slash
	Query  string // raw
	Header http.Header
	Body   []byte
}

// Answer is a server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a one-shot call to one server, at most once. A failure that is
// Unsent means that the call has not run and will not; after any other it may
// have run.
func (c *Client) Call(ctx context.Context, attempt *Attempt, shot *Shot) (*Answer, *Failure) {
	target, err := url.Parse("http://" + attempt.Address + shot.Path)
	if err != nil {
		return nil, &Failure{Kind: Unsent, Detail: err.Error()}
	}
	target.RawQuery = shot.Query
	response, record, failure := c.send(ctx, attempt, shot.Method, target, shot.Header, shot.Body)
	if failure != nil {
		return nil, failure
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.BodyMax+1))
	switch {
	case err != nil:
		return nil, short(record.failure(ctx, err))
	case int64(len(body)) > c.config.BodyMax:
		return nil, &Failure{Kind: Crossed, Detail: "the answer is over " + strconv.FormatInt(c.config.BodyMax, 10) + " bytes"}
	case !measured(shot.Method, response):
		return nil, &Failure{Kind: Short, Detail: "the answer tells no length, so that it can't be known to be whole"}
	case response.Header.Get(HeaderRequestID) != attempt.ID:
		return nil, &Failure{Kind: Crossed, Detail: "the answer names request " + strconv.Quote(response.Header.Get(HeaderRequestID))}
	case response.StatusCode < 200 || response.StatusCode > 599:
		return nil, &Failure{Kind: Crossed, Detail: "status " + strconv.Itoa(response.StatusCode)}
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func short(failure *Failure) *Failure {
	if failure.Kind == Broken {
		failure.Kind = Short
	}
	return failure
}

// measured tells whether an answer's end can be told from a cut.
func measured(method string, response *http.Response) bool {
	return method == http.MethodHead || response.ContentLength >= 0 ||
		len(response.TransferEncoding) > 0 && response.TransferEncoding[len(response.TransferEncoding)-1] == "chunked"
}

func (c *Client) send(ctx context.Context, attempt *Attempt, method string, target *url.URL, header http.Header, body []byte) (*http.Response, *ledger, *Failure) {
	record := attempt.ledger()
	left := attempt.Deadline.Sub(attempt.Now())
	if left <= 0 {
		return nil, record, &Failure{Kind: Withdrawn, Detail: "the deadline passed"}
	}
	request := &http.Request{Method: method, URL: target, Host: attempt.Address, Header: header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	request.Header.Set(HeaderRequestID, attempt.ID)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = nil
	}
	response, err := c.transport.RoundTrip(request.WithContext(context.WithValue(ctx, ledgerKey{}, record)))
	if err != nil {
		return nil, record, record.failure(ctx, err)
	}
	return response, record, nil
}

func refused(err error) bool {
	return port.IsConnectionRefused(errors.Cause(err)) || port.IsConnectionRefused(err)
}

func eventStream(response *http.Response) bool {
	kind, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.TrimSpace(kind) == "text/event-stream"
}
