package gateway

import (
	"bytes"
	"strings"
)

// eventSplitter splits a text/event-stream into complete events. An event ends
// with an empty line.
type eventSplitter struct {
	buffer []byte // of the event that is not complete yet
	lastID string // of the last complete event that has one
}

// eventBoundaries end an event: an empty line, by each of the line endings that
// the format allows.
var eventBoundaries = []string{"\n\n", "\r\n\r\n", "\r\r"}

// add appends received bytes and returns those of the events that are complete
// by now. They are valid until the next call.
func (s *eventSplitter) add(data []byte) []byte {
	s.buffer = append(s.buffer, data...)
	end := lastBoundary(s.buffer)
	if end == 0 {
		return nil
	}
	complete := s.buffer[:end]
	s.recordLastID(complete)
	s.buffer = append([]byte(nil), s.buffer[end:]...)
	return complete
}

// incomplete returns the bytes after the last complete event.
func (s *eventSplitter) incomplete() []byte { return s.buffer }

// lastBoundary returns the length of the complete events at the beginning of data.
func lastBoundary(data []byte) int {
	end := 0
	for _, boundary := range eventBoundaries {
		if at := bytes.LastIndex(data, []byte(boundary)); at >= 0 {
			end = max(end, at+len(boundary))
		}
	}
	return end
}

func (s *eventSplitter) recordLastID(events []byte) {
	for line := range strings.Lines(string(events)) {
		if id, found := strings.CutPrefix(line, "id:"); found {
			s.lastID = strings.TrimSpace(id)
		}
	}
}
