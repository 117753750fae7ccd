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
	// maxBusyBodyBytes limits how much of the body of a 503 response is read.
	maxBusyBodyBytes = 4 << 10
	streamBufferSize = 4 << 10
	busyCode         = "busy"
)

// Prompt is the JSON body of a generate request to a model server. Generate sets ID
// and DeadlineMS.
type Prompt struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Prefix        string `json:"prefix"`
	PrefixKey     string `json:"prefix_key"`
	Session       string `json:"session"`
	PrefixTokens  int    `json:"prefix_tokens"`
	SessionTokens int    `json:"session_tokens"`
	MaxTokens     int    `json:"max_tokens"`
	DeadlineMS    int64  `json:"deadline_ms"` // remaining time, counted from the arrival at the server
}

// Event is one validated event of a stream.
type Event struct {
	Data  []byte // the JSON text as sent by the server
	Seq   int    // -1 for the final event
	Final bool
}

// eventBody is the JSON form of an event. Pointers distinguish a missing field from
// a zero value.
type eventBody struct {
	ID    *string `json:"id"`
	Seq   *int    `json:"seq"`
	Final bool    `json:"final"`
	Count *int    `json:"count"`
}

// Generate sends a prompt to one server and puts the events of its response into the
// queue, the final event last. It validates each event, so those in the queue are
// well-formed, in order and without gaps. It returns after the final event or at the
// first failure, and closes the queue with that *Failure or nil.
func (c *Client) Generate(ctx context.Context, attempt *Attempt, prompt *Prompt, events *stage.Queue[Event]) {
	var failure *Failure
	defer func() {
		if panicked := recover(); panicked != nil {
			failure = &Failure{Kind: ServerFailed, Detail: fmt.Sprint("panic while sending the prompt or reading its events: ", panicked)}
		}
		if failure == nil {
			// An error that holds a nil *Failure would not equal nil.
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
	response, guard, failure := c.send(ctx, attempt, requestSpec{
		method: http.MethodPost,
		target: &url.URL{Scheme: "http", Host: attempt.Address, Path: "/v1/generate"},
		header: http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		body:   body,
	})
	if failure != nil {
		return timer.replaceIfExpired(failure)
	}
	defer response.Body.Close()
	if failure := checkStreamResponse(attempt.ID, response); failure != nil {
		return failure
	}
	reader := &streamReader{
		id:     attempt.ID,
		config: c.config,
		guard:  guard,
		timer:  timer,
		stream: bufio.NewReaderSize(response.Body, streamBufferSize),
	}
	return timer.replaceIfExpired(reader.readAll(ctx, events))
}

// checkStreamResponse returns nil if the header is that of an event stream for the
// request. A missing request id is accepted, since every event carries it.
func checkStreamResponse(id string, response *http.Response) *Failure {
	if echoed := response.Header.Get(HeaderRequestID); echoed != "" && echoed != id {
		return &Failure{Kind: ProtocolViolation, Detail: "response does not carry the id of the request but " + strconv.Quote(echoed)}
	}
	if response.StatusCode == http.StatusServiceUnavailable && isBusy(response.Body) {
		return &Failure{Kind: ServerBusy, Detail: "server reported that it is busy"}
	}
	if response.StatusCode != http.StatusOK {
		return &Failure{Kind: ServerFailed, Detail: "unexpected response status " + strconv.Itoa(response.StatusCode)}
	}
	if !isEventStream(response) {
		return &Failure{Kind: ProtocolViolation, Detail: "response is not an event stream"}
	}
	return nil
}

// isBusy reports whether the body of a 503 response has the code of a busy server,
// which did not start the request.
func isBusy(body io.Reader) bool {
	var content struct {
		Code string `json:"code"`
	}
	data, err := io.ReadAll(io.LimitReader(body, maxBusyBodyBytes))
	return err == nil && json.Unmarshal(data, &content) == nil && content.Code == busyCode
}

func isEventStream(response *http.Response) bool {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.TrimSpace(mediaType) == "text/event-stream"
}

// streamReader reads and validates the event stream of one attempt.
type streamReader struct {
	id     string
	config Config
	guard  *sendGuard
	timer  *responseTimer
	stream *bufio.Reader
}

// readAll puts validated events into the queue up to and including the final one.
// The timer runs only while waiting for the server, so that a slow caller does not
// make the server look unresponsive.
func (s *streamReader) readAll(ctx context.Context, events *stage.Queue[Event]) *Failure {
	for count := 0; ; count++ {
		data, err := readEvent(s.stream, s.config.MaxEventBytes)
		switch {
		case errors.Is(err, io.EOF):
			return &Failure{Kind: ServerFailed, Detail: "event stream ended after " + strconv.Itoa(count) + " events without a final event"}
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
		s.timer.restart(s.config.EventGapTimeout)
	}
}

// checkEvent parses and validates an event that follows count earlier events.
func checkEvent(id string, count int, data []byte) (Event, *Failure) {
	var body eventBody
	if err := json.Unmarshal(data, &body); err != nil {
		return Event{}, &Failure{Kind: ProtocolViolation, Detail: "event " + strconv.Itoa(count) + " is not a valid JSON event: " + err.Error()}
	}
	switch {
	case body.ID == nil || *body.ID != id:
		return Event{}, &Failure{Kind: ProtocolViolation, Detail: "event " + strconv.Itoa(count) + " does not carry the id of the request"}
	case body.Final && body.Count == nil:
		return Event{}, &Failure{Kind: ProtocolViolation, Detail: "final event has no count"}
	case body.Final && *body.Count != count:
		return Event{}, &Failure{Kind: EventsOutOfOrder, Detail: "final event has count " + strconv.Itoa(*body.Count) + " after " + strconv.Itoa(count) + " events"}
	case body.Final:
		return Event{Data: data, Seq: -1, Final: true}, nil
	case body.Seq == nil || *body.Seq != count:
		return Event{}, &Failure{Kind: EventsOutOfOrder, Detail: "event does not have sequence number " + strconv.Itoa(count) + ", the next in order"}
	}
	return Event{Data: data, Seq: count}, nil
}
