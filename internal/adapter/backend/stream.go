package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"stepwick/internal/stage"
)

const (
	// busyBodyMax bounds what is read of the body of a 503.
	busyBodyMax      = 4 << 10
	streamBufferSize = 4 << 10
	busyCode         = "busy"
)

// Prompt is the JSON body of a prompt to a model server.
type Prompt struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Prefix        string `json:"prefix"`
	PrefixKey     string `json:"prefix_key"`
	Session       string `json:"session"`
	PrefixTokens  int    `json:"prefix_tokens"`
	SessionTokens int    `json:"session_tokens"`
	MaxTokens     int    `json:"max_tokens"`
	DeadlineMS    int64  `json:"deadline_ms"` // from its arrival, in milliseconds
}

// Event is one checked event of a stream.
type Event struct {
	Data  []byte // as the server sent it
	Seq   int    // -1 for the final event
	Final bool
}

// eventBody is the JSON form of an event. Pointers tell a missing field from a
// zero.
type eventBody struct {
	ID    *string `json:"id"`
	Seq   *int    `json:"seq"`
	Final bool    `json:"final"`
	Count *int    `json:"count"`
}

// Generate sends a prompt to one server and puts the events of its answer into the
// queue, the final event last. Each event is checked: those in the queue are
// complete and in order. It returns after the final event, or with a failure at
// the first event that is wrong, and closes the queue with that *Failure or nil.
func (c *Client) Generate(ctx context.Context, attempt *Attempt, prompt *Prompt, events *stage.Queue[Event]) {
	var failure *Failure
	defer func() {
		if panicked := recover(); panicked != nil {
			failure = &Failure{Kind: ServerFailed, Detail: fmt.Sprint("a panic while the answer was read: ", panicked)}
		}
		if failure == nil {
			// A nil *Failure in an error would not be nil.
			events.Close(nil)
			return
		}
		events.Close(failure)
	}()
	failure = c.generate(ctx, attempt, prompt, events)
}

func (c *Client) generate(ctx context.Context, attempt *Attempt, prompt *Prompt, events *stage.Queue[Event]) *Failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := c.config.FirstEventTimeout
	if attempt.FirstEventTimeout > 0 {
		timeout = min(timeout, attempt.FirstEventTimeout)
	}
	timer := newResponseTimer(timeout, cancel)
	defer timer.stop()

	sent := *prompt
	sent.ID = attempt.ID
	sent.DeadlineMS = max(attempt.Deadline.Sub(attempt.Now()).Milliseconds(), 1)
	body, err := json.Marshal(&sent)
	if err != nil {
		return &Failure{Kind: NotSent, Detail: err.Error()}
	}
	response, guard, failure := c.send(ctx, attempt, outgoing{
		method: http.MethodPost,
		target: &url.URL{Scheme: "http", Host: attempt.Address, Path: "/v1/generate"},
		header: http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		body:   body,
	})
	if failure != nil {
		return timer.explain(failure)
	}
	defer response.Body.Close()
	if failure := checkResponse(attempt.ID, response); failure != nil {
		return failure
	}
	reader := &streamReader{
		id:     attempt.ID,
		config: c.config,
		guard:  guard,
		timer:  timer,
		body:   bufio.NewReaderSize(response.Body, streamBufferSize),
	}
	return timer.explain(reader.readAll(ctx, events))
}

// checkResponse returns nil if the header begins the request's own event stream.
func checkResponse(id string, response *http.Response) *Failure {
	if echoed := response.Header.Get(HeaderRequestID); echoed != "" && echoed != id {
		return &Failure{Kind: ProtocolViolation, Detail: "the answer names request " + strconv.Quote(echoed)}
	}
	if response.StatusCode == http.StatusServiceUnavailable && isBusy(response.Body) {
		return &Failure{Kind: ServerBusy, Detail: "the server is busy"}
	}
	if response.StatusCode != http.StatusOK {
		return &Failure{Kind: ServerFailed, Detail: "status " + strconv.Itoa(response.StatusCode)}
	}
	if !isEventStream(response) {
		return &Failure{Kind: ProtocolViolation, Detail: "the answer is no event stream"}
	}
	return nil
}

// isBusy reports whether the body of a 503 has the code of a busy server, which did not
// start the request.
func isBusy(body io.Reader) bool {
	var answer struct {
		Code string `json:"code"`
	}
	data, err := io.ReadAll(io.LimitReader(body, busyBodyMax))
	return err == nil && json.Unmarshal(data, &answer) == nil && answer.Code == busyCode
}

func isEventStream(response *http.Response) bool {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.TrimSpace(mediaType) == "text/event-stream"
}

// streamReader reads the events of one attempt.
type streamReader struct {
	id     string
	config Config
	guard  *sendGuard
	timer  *responseTimer
	body   *bufio.Reader
}

// readAll puts the checked events into the queue until the final one. The timer
// runs only while it waits for the server, so that a slow caller does not make the
// server look unresponsive.
func (s *streamReader) readAll(ctx context.Context, events *stage.Queue[Event]) *Failure {
	for count := 0; ; count++ {
		data, err := readEvent(s.body, s.config.EventMax)
		switch {
		case errors.Is(err, io.EOF):
			return &Failure{Kind: ServerFailed, Detail: "the stream ended after " + strconv.Itoa(count) + " events without its final one"}
		case errors.Is(err, errProtocol):
			return &Failure{Kind: ProtocolViolation, Detail: err.Error()}
		case err != nil:
			return s.guard.failure(ctx, err)
		}
		event, failure := checkEvent(s.id, count, data)
		if failure != nil {
			return failure
		}
		s.timer.stop()
		if err := events.Put(ctx, event); err != nil {
			return s.guard.failure(ctx, err)
		}
		if event.Final {
			return nil
		}
		s.timer.start(s.config.EventGapTimeout)
	}
}

// checkEvent parses the event that follows count others of the request.
func checkEvent(id string, count int, data []byte) (Event, *Failure) {
	var body eventBody
	if err := json.Unmarshal(data, &body); err != nil {
		return Event{}, &Failure{Kind: ProtocolViolation, Detail: "an event is no JSON object"}
	}
	switch {
	case body.ID == nil || *body.ID != id:
		return Event{}, &Failure{Kind: ProtocolViolation, Detail: "an event is another request's"}
	case body.Final && body.Count == nil:
		return Event{}, &Failure{Kind: ProtocolViolation, Detail: "the final event has no count"}
	case body.Final && *body.Count != count:
		return Event{}, &Failure{Kind: EventsOutOfOrder, Detail: "the final event counts " + strconv.Itoa(*body.Count) + " of " + strconv.Itoa(count) + " events"}
	case body.Final:
		return Event{Data: data, Seq: -1, Final: true}, nil
	case body.Seq == nil || *body.Seq != count:
		return Event{}, &Failure{Kind: EventsOutOfOrder, Detail: "an event is out of its order after " + strconv.Itoa(count) + " events"}
	}
	return Event{Data: data, Seq: count}, nil
}
