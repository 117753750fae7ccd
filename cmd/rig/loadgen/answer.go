package loadgen

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
)

const (
	maxBodyBytes       = 8 << 20
	eventBufferSize    = 4096
	maxEventBytes      = 1 << 20
	slowReadDelay      = 60 * time.Millisecond // before the next event
	successStatusClass = 2                     // first digit of HTTP 2xx
)

// perform sends a request once, on a pooled connection, and sets the attempt's outcome.
func (c *Callers) perform(attempt *history.Attempt, req *http.Request, address string, timeout time.Duration, behaviorDraw float64) {
	conn, err := c.connections.get(address)
	if err != nil {
		attempt.Outcome = history.Unsent
		return
	}
	if c.exchangeOn(conn, attempt, req, timeout, behaviorDraw) {
		c.connections.put(address, conn)
	} else {
		conn.close()
	}
}

// exchangeOn sends a request and reads its answer on a connection; it reports
// whether the connection can be used again.
func (c *Callers) exchangeOn(conn *connection, attempt *history.Attempt, req *http.Request, timeout time.Duration, behaviorDraw float64) (reusable bool) {
	attempt.Reused = conn.reused
	if err := conn.write(req, timeout); err != nil {
		attempt.Outcome = connectionFailureOutcome(err)
		return false
	}
	attempt.Written = c.Recorder.Now()
	resp, err := conn.readHead(req) //nolint:bodyclose // closing would read the rest of an abandoned stream
	if err != nil {
		attempt.Outcome = connectionFailureOutcome(err)
		return false
	}
	attempt.Status = resp.StatusCode
	attempt.AnswerID = resp.Header.Get(requestIDHeader)
	isStream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if isStream && resp.StatusCode == http.StatusOK {
		complete := c.readStream(attempt, resp.Body, behaviorDraw)
		return complete && !resp.Close
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	attempt.First = c.Recorder.Now()
	if err != nil {
		attempt.Outcome = connectionFailureOutcome(err)
		return false
	}
	readBody(attempt, resp, data)
	return !resp.Close
}

// connectionFailureOutcome returns the outcome of an attempt whose connection failed.
func connectionFailureOutcome(err error) history.Outcome {
	if isTimeout(err) {
		return history.TimedOut
	}
	return history.ConnectionBroken
}

// readBody sets the outcome of an attempt with a complete answer that is not a stream.
func readBody(attempt *history.Attempt, resp *http.Response, data []byte) {
	isError := resp.Header.Get(codeHeader) != "" || resp.StatusCode/100 != successStatusClass
	if attempt.Kind != history.KindStream && !isError {
		attempt.Outcome = history.Served
		attempt.BodyToken, attempt.BodyIntact = emulator.VerifyBody(string(data))
		return
	}
	code := readError(attempt, data)
	switch code {
	case 0:
		attempt.Outcome = history.Malformed
	case apierror.OutcomeUnknown, apierror.BadResponse:
		attempt.Outcome = history.EndedByError
	default:
		attempt.Outcome = history.Rejected
	}
}

// readError sets the attempt's code and retry advice from the body of an error and
// returns the code; 0 if the data is not an error body.
func readError(attempt *history.Attempt, data []byte) apierror.Code {
	var body apierror.ErrorBody
	_ = json.Unmarshal(data, &body)
	attempt.Code = int(body.Code)
	attempt.RetryAdvice = string(body.Retry)
	return body.Code
}

// streamEvent is the data of an event of a stream; the final event has only ID, Final
// and Count.
type streamEvent struct {
	ID    string `json:"id"`
	Seq   int    `json:"seq"`
	Text  string `json:"text"` // token, run and index
	Final bool   `json:"final"`
	Count int    `json:"count"`
}

// readStream reads events until the stream ends or the caller abandons it; it reports
// whether the stream is complete.
func (c *Callers) readStream(attempt *history.Attempt, in io.Reader, behaviorDraw float64) (complete bool) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, eventBufferSize), maxEventBytes)
	isError := false
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "event: error") {
			isError = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if attempt.First == 0 {
			attempt.First = c.Recorder.Now()
		}
		if isError {
			readError(attempt, []byte(data))
			attempt.Outcome = history.EndedByError
			continue
		}
		if !c.readEvent(attempt, data, behaviorDraw) {
			return false
		}
	}
	return finishStream(attempt, scanner.Err())
}

// readEvent adds an event to the attempt; false if the caller abandons the stream or the
// event is malformed.
func (c *Callers) readEvent(attempt *history.Attempt, data string, behaviorDraw float64) bool {
	var event streamEvent
	if json.Unmarshal([]byte(data), &event) != nil {
		attempt.Outcome = history.Malformed
		return false
	}
	if event.Final {
		attempt.Final = true
		attempt.EventCount = event.Count
		return true
	}
	received := history.Event{
		ID:  event.ID,
		Seq: event.Seq,
	}
	_, _ = fmt.Sscanf(event.Text, "%s %s %d", &received.Token, &received.Run, &received.Index)
	attempt.Events = append(attempt.Events, received)
	if behaviorDraw < c.Behavior.AbandonOdds {
		attempt.Outcome = history.Abandoned
		return false
	}
	if behaviorDraw > 1-c.Behavior.SlowReadOdds {
		owner.Sleep(context.Background(), slowReadDelay)
	}
	return true
}

// finishStream sets the outcome of an attempt at the end of its stream; it reports
// whether the stream is complete.
func finishStream(attempt *history.Attempt, err error) (complete bool) {
	switch {
	case attempt.Outcome == history.EndedByError:
		return false
	case err != nil:
		attempt.Outcome = connectionFailureOutcome(err)
		return false
	case attempt.Final:
		attempt.Outcome = history.Served
		return true
	}
	attempt.Outcome = history.EndedWithoutFinal
	return false
}
