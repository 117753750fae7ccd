package clientapi

import (
	"encoding/json"
	"net/http"
	"time"

	"stepwick/internal/apierror"
)

// Stream writes events to one caller as server-sent events. It belongs to the
// request's goroutine.
type Stream struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	requestID    string
	writeTimeout time.Duration // of one event
	begun        bool
	buffer       []byte // reused for each event
}

// Begun reports whether anything has been sent to the caller.
func (s *Stream) Begun() bool { return s.begun }

// Event sends one event's data, a single line, and waits until it is written to
// the caller's connection. The first one commits the answer to status 200. An
// error means that the caller has disconnected or receives nothing.
func (s *Stream) Event(data []byte) error {
	return s.send("", data)
}

// send writes an event with a name, "" for none.
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
	if err := s.control.SetWriteDeadline(deadlineAfter(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := s.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

// abort sends an error event and closes the connection in the middle of the
// chunked body, so that the caller cannot take the stream for a complete one. It
// panics with http.ErrAbortHandler, as net/http requires for that.
func (s *Stream) abort(apiErr *apierror.Error) {
	if body, err := json.Marshal(apiErr.Body(s.requestID)); err == nil {
		_ = s.send("error", body)
	}
	panic(http.ErrAbortHandler)
}
