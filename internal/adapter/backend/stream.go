package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/stage"
)

// Prompt is the body that a model server gets. Deadline is in milliseconds
// from its arrival.
type Prompt struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Prefix        string `json:"prefix"`
	PrefixKey     string `json:"prefix_key"`
	Session       string `json:"session"`
	PrefixTokens  int    `json:"prefix_tokens"`
	SessionTokens int    `json:"session_tokens"`
	MaxTokens     int    `json:"max_tokens"`
	DeadlineMS    int64  `json:"deadline_ms"`
}

// Event is one checked event of a stream: its data as the server sent it.
type Event struct {
	Data  []byte
	Seq   int // -1 for the final event
	Final bool
}

type eventBody struct {
	ID    *string `json:"id"`
	Seq   *int    `json:"seq"`
	Final bool    `json:"final"`
	Count *int    `json:"count"`
}

// Generate sends a prompt to one server and puts the events of its answer
// into the queue, the final event last; only checked ones get there, in their
// order. It returns after the final event, or with a failure at the first
// event that doesn't belong there. It closes the queue with what it returns.
func (c *Client) Generate(ctx context.Context, attempt *Attempt, prompt *Prompt, events *stage.Queue[Event]) {
	var failure *Failure
	defer func() {
		if panicked := recover(); panicked != nil {
			failure = &Failure{Kind: Broken, Detail: fmt.Sprint("a panic while the answer was read: ", panicked)}
		}
		if failure == nil {
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
	bound := c.config.FirstEvent
	if attempt.FirstEvent > 0 {
		bound = min(bound, attempt.FirstEvent)
	}
	watch := newWatch(bound, cancel)
	defer watch.stop()

	sent := *prompt
	sent.ID = attempt.ID
	sent.DeadlineMS = max(attempt.Deadline.Sub(attempt.Now()).Milliseconds(), 1)
	body, err := json.Marshal(&sent)
	if err != nil {
		return &Failure{Kind: Unsent, Detail: err.Error()}
	}
	header := http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}}
	target := &url.URL{Scheme: "http", Host: attempt.Address, Path: "/v1/generate"}
	response, record, failure := c.send(ctx, attempt, http.MethodPost, target, header, body)
	if failure != nil {
		return watch.judge(failure)
	}
	defer response.Body.Close()
	if failure := begun(attempt.ID, response); failure != nil {
		return failure
	}
	return watch.judge(c.follow(ctx, attempt.ID, record, response.Body, events, watch))
}

func begun(id string, response *http.Response) *Failure {
	if named := response.Header.Get(HeaderRequestID); named != "" && named != id {
		return &Failure{Kind: Crossed, Detail: "the answer names request " + strconv.Quote(named)}
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		var said struct {
			Code string `json:"code"`
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
		if err == nil && json.Unmarshal(body, &said) == nil && said.Code == "busy" {
			return &Failure{Kind: Busy, Detail: "the server is busy"}
		}
	}
	if response.StatusCode != http.StatusOK {
		return &Failure{Kind: Broken, Detail: "status " + strconv.Itoa(response.StatusCode)}
	}
	if !eventStream(response) {
		return &Failure{Kind: Crossed, Detail: "the answer is no event stream"}
	}
	return nil
}

func (c *Client) follow(ctx context.Context, id string, record *ledger, body io.Reader, events *stage.Queue[Event], watch *watch) *Failure {
	reader := bufio.NewReaderSize(body, 4<<10)
	for next := 0; ; next++ {
		data, err := readEvent(reader, c.config.EventMax)
		switch {
		case errors.Is(err, io.EOF):
			return &Failure{Kind: Broken, Detail: "the stream ended after " + strconv.Itoa(next) + " events without its final one"}
		case errors.Is(err, errProtocol):
			return &Failure{Kind: Crossed, Detail: err.Error()}
		case err != nil:
			return record.failure(ctx, err)
		}
		event, failure := check(id, next, data)
		if failure != nil {
			return failure
		}
		watch.stop()
		if err := events.Put(ctx, event); err != nil {
			return record.failure(ctx, err)
		}
		if event.Final {
			return nil
		}
		watch.start(c.config.EventGap)
	}
}

func check(id string, next int, data []byte) (Event, *Failure) {
	var body eventBody
	if err := json.Unmarshal(data, &body); err != nil {
		return Event{}, &Failure{Kind: Crossed, Detail: "an event is no JSON object"}
	}
	switch {
	case body.ID == nil || *body.ID != id:
		return Event{}, &Failure{Kind: Crossed, Detail: "an event is another request's"}
	case body.Final && body.Count == nil:
		return Event{}, &Failure{Kind: Crossed, Detail: "the final event has no count"}
	case body.Final && *body.Count != next:
		return Event{}, &Failure{Kind: Amiss, Detail: "the final event counts " + strconv.Itoa(*body.Count) + " of " + strconv.Itoa(next) + " events"}
	case body.Final:
		return Event{Data: data, Seq: -1, Final: true}, nil
	case body.Seq == nil || *body.Seq != next:
		return Event{}, &Failure{Kind: Amiss, Detail: "an event is out of its order after " + strconv.Itoa(next) + " events"}
	}
	return Event{Data: data, Seq: next}, nil
}

var errProtocol = errors.New("the event stream is malformed")

// readEvent returns the data of the next event. Comments are passed over.
func readEvent(reader *bufio.Reader, limit int) ([]byte, error) {
	var data []byte
	for passed := 0; passed <= limit; {
		line, err := readLine(reader, limit)
		if err != nil {
			if err == io.EOF && (len(line) > 0 || data != nil) {
				return nil, errors.Wrap(errProtocol, "it ends inside an event")
			}
			return nil, err
		}
		passed += len(line) + 1
		switch {
		case len(line) == 0 && data != nil:
			return data, nil
		case len(line) == 0, line[0] == ':':
		case bytes.HasPrefix(line, []byte("data:")) && data == nil:
			data = append([]byte{}, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		case bytes.HasPrefix(line, []byte("event:")):
			return nil, errors.Wrapf(errProtocol, "the server sent %.64q", line)
		default:
			return nil, errors.Wrapf(errProtocol, "it has the line %.64q", line)
		}
	}
	return nil, errors.Wrapf(errProtocol, "an event is over %d bytes", limit)
}

func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, errors.Wrapf(errProtocol, "a line is over %d bytes", limit)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return line, err
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}

// watch ends an attempt whose server is silent for too long.
type watch struct {
	timer  *time.Timer
	struck atomic.Bool
}

func newWatch(bound time.Duration, cancel context.CancelFunc) *watch {
	w := &watch{}
	w.timer = time.AfterFunc(bound, func() { w.struck.Store(true); cancel() })
	return w
}

func (w *watch) start(bound time.Duration) { w.timer.Reset(bound) }

func (w *watch) stop() { w.timer.Stop() }

// judge names silence as the cause where the watch has struck.
func (w *watch) judge(failure *Failure) *Failure {
	switch {
	case !w.struck.Load() || failure == nil:
		return failure
	case failure.Unsent():
		return &Failure{Kind: Unsent, Detail: "the server took no connection in time"}
	}
	return &Failure{Kind: Dark, Detail: "the server was silent for too long"}
}
