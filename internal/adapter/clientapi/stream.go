package clientapi

import (
	"encoding/json"
	"net/http"
	"time"

	"stepwick/internal/apierror"
)

// Stream passes events on to one caller as server-sent events.
type Stream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	id      string
	bound   time.Duration
	begun   bool
	buffer  []byte
}

// Begun tells whether anything has been sent to the caller.
func (s *Stream) Begun() bool { return s.begun }

// Event sends one event's data, a single line, and waits until the caller's
// connection has taken it. The first one commits the answer to status 200.
// An error means that the caller is gone or takes nothing.
func (s *Stream) Event(data []byte) error {
	return s.send("", data)
}

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
		s.buffer = append(append(append(s.buffer, "event: "...), name...), '\n')
	}
	s.buffer = append(append(append(s.buffer, "data: "...), data...), "\n\n"...)
	if err := s.control.SetWriteDeadline(in(s.bound)); err != nil {
		return err
	}
	if _, err := s.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *Stream) cut(apiErr *apierror.Error) {
	if body, err := json.Marshal(apiErr.Body(s.id)); err == nil {
		_ = s.send("error", body)
	}
	panic(http.ErrAbortHandler)
}
