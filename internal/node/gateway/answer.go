package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/sheet"
)

// passage passes answers on to the client: the whole of one, or a stream that
// servers may carry one after the other.
type passage struct {
	request    *request
	ctx        context.Context // ends when the client leaves or the time is over
	begun      bool            // something was written to the client
	last       string          // id of the last event that was passed on
	clientGone bool
}

// pass passes an answer on. again tells that the request may be sent to
// another server, where that is allowed at all.
func (p *passage) pass(answer *upstream.Answer, attempt *balance.Attempt) (apiErr *apierror.Error, again bool) {
	succeeded := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	if p.request.route.Kind == sheet.RouteStream && succeeded {
		return p.stream(answer, attempt)
	}
	if p.begun {
		return apierror.Errorf(apierror.StreamCut, "a server answered %d to a stream that was to go on", answer.Status), true
	}
	return p.whole(answer, attempt)
}

// whole passes on an answer of which the greatest part fits into memory, once
// it is known to be complete.
func (p *passage) whole(answer *upstream.Answer, attempt *balance.Attempt) (apiErr *apierror.Error, again bool) {
	body := make([]byte, 0, max(min(answer.Length(), wholeMost), 0))
	body, err := readUpTo(answer, body, wholeMost)
	p.request.gateway.dispatch.began(attempt)
	switch {
	case err == io.EOF:
		p.head(answer)
		p.writer().Header().Set("Content-Length", strconv.Itoa(len(body)))
		p.writer().WriteHeader(answer.Status)
		p.begun = true
		if _, err := p.writer().Write(body); err != nil {
			return p.gone(err), false
		}
		return nil, false
	case err != nil:
		return p.cut(err), true
	}
	p.head(answer)
	p.writer().WriteHeader(answer.Status)
	p.begun = true
	if _, err := p.writer().Write(body); err != nil {
		return p.gone(err), false
	}
	if err := p.copy(answer); err != nil {
		return p.cut(err), false
	}
	return nil, false
}

// readUpTo reads until the body ends, with io.EOF, or the bound is reached.
func readUpTo(from io.Reader, body []byte, most int) ([]byte, error) {
	var chunk [8 << 10]byte
	for len(body) < most {
		n, err := from.Read(chunk[:])
		body = append(body, chunk[:n]...)
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

func (p *passage) copy(answer *upstream.Answer) error {
	var chunk [16 << 10]byte
	for {
		n, err := answer.Read(chunk[:])
		if n > 0 {
			if _, failed := p.writer().Write(chunk[:n]); failed != nil {
				return p.gone(failed)
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// stream passes events on as they come, whole ones only, so that another server
// may go on after the last of them.
func (p *passage) stream(answer *upstream.Answer, attempt *balance.Attempt) (apiErr *apierror.Error, again bool) {
	var events splitter
	var chunk [8 << 10]byte
	control := http.NewResponseController(p.writer())
	watch := p.request.watchStall(p.request.runs, answer.Abort)
	defer watch.Stop()
	for first := true; ; {
		n, err := answer.Read(chunk[:])
		if n > 0 {
			watch.Reset(p.request.stallAfter(p.request.runs))
			if first {
				p.request.gateway.dispatch.began(attempt)
				first = false
			}
			if apiErr := p.events(answer, &events, chunk[:n], control); apiErr != nil {
				return apiErr, false
			}
		}
		switch {
		case err == io.EOF && (answer.Framed() || len(events.rest()) == 0):
			return p.finish(answer, events.rest()), false
		case err == io.EOF:
			return apierror.Errorf(apierror.StreamCut, "the stream ended inside an event"), true
		case err != nil:
			return p.cut(err), true
		}
	}
}

// finish ends a stream that came whole, with what its server sent after the
// last event.
func (p *passage) finish(answer *upstream.Answer, rest []byte) *apierror.Error {
	p.open(answer)
	if _, err := p.writer().Write(rest); err != nil {
		return p.gone(err)
	}
	return nil
}

func (p *passage) events(answer *upstream.Answer, events *splitter, data []byte, control *http.ResponseController) *apierror.Error {
	whole := events.add(data)
	if len(whole) == 0 {
		return nil
	}
	p.open(answer)
	if _, err := p.writer().Write(whole); err != nil {
		return p.gone(err)
	}
	if err := control.Flush(); err != nil {
		return p.gone(err)
	}
	if id := events.id; id != "" {
		p.last = id
	}
	return nil
}

// open writes the head of the first server's answer.
func (p *passage) open(answer *upstream.Answer) {
	if p.begun {
		return
	}
	p.begun = true
	p.head(answer)
	p.writer().WriteHeader(answer.Status)
}

// head copies what an answer's header says to the client.
func (p *passage) head(answer *upstream.Answer) {
	header := p.writer().Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	dropHopHeaders(header)
	if p.request.gateway.leaving.Load() {
		header.Set("Connection", "close")
	}
	for _, added := range []string{"Date", "Content-Type"} {
		if _, given := answer.Header[added]; !given {
			header[added] = nil
		}
	}
}

func (p *passage) writer() http.ResponseWriter { return p.request.writer }

func (p *passage) gone(err error) *apierror.Error {
	p.clientGone = true
	return apierror.Errorf(apierror.CallerGone, "the client takes no answer: %s", err)
}

// cut says of an answer that its server broke off.
func (p *passage) cut(err error) *apierror.Error {
	var apiErr *apierror.Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return p.request.ended(p.ctx, apierror.Errorf(apierror.BadAnswer, "%s", err))
}

func splitList(value string) []string {
	names := strings.Split(value, ",")
	for i, name := range names {
		names[i] = strings.TrimSpace(name)
	}
	return names
}
