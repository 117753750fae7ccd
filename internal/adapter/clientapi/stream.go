package clientapi

import (
	"encoding/json"
	"net/http"
	"time"

	"stepwick/internal/apierror"
)

// Stream writes events to one client as server-sent events. Only the request's
// goroutine may use it.
type Stream struct {
	writer             http.ResponseWriter
	responseController *http.ResponseController
	requestID          string
	writeTimeout       time.Duration // for each event
	begun              bool
	buffer             []byte // reused for each event
}

// Begun reports whether the response has begun, and with it the first event.
func (s *Stream) Begun() bool { return s.begun }

// SendEvent sends an event with the data, which must be a single line, and waits until it
// is written to the client's connection. The first event commits the response to
// status 200. An error means that the client has disconnected or does not receive.
func (s *Stream) SendEvent(data []byte) error {
	return s.send("", data)
}

// send writes an event. An empty name omits the event field.
func (s *Stream) send(name string, data []byte) error {
	if !s.begun {
		s.begun = true
		header := s.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		s.writer.WriteHeader(http.StatusOK)
	}
	s.buffer = s.buffer[:0]
	if name != "" {
		s.buffer = append(s.buffer, "event: "...)
		s.buffer = append(s.buffer, name...)
		s.buffer = append(s.buffer, '\n')
	}
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	if err := s.responseController.SetWriteDeadline(deadlineAfter(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := s.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.responseController.Flush()
}

// abort sends an error event and closes the connection in the middle of the chunked
// body, so that the client cannot mistake the stream for a complete one. It panics with
// http.ErrAbortHandler, which is how net/http lets a handler close the connection.
func (s *Stream) abort(apiErr *apierror.Error) {
	if body, err := json.Marshal(apiErr.Body(s.requestID)); err == nil {
		_ = s.send("error", body)
	}
	panic(http.ErrAbortHandler)
}
