package gateway

import (
	"bytes"
	"strings"
)

// eventSplitter splits a text/event-stream into complete events. An event ends with an
// empty line.
type eventSplitter struct {
	buffer []byte // bytes after the last complete event
	lastID string // id of the last complete event that has one
}

// eventBoundaries are the byte sequences that end an event: an empty line in each of the
// line endings that the format allows.
var eventBoundaries = []string{"\n\n", "\r\n\r\n", "\r\r"}

// appendChunk appends received bytes and returns the bytes of all events that they
// complete. The result is valid until the next call.
func (s *eventSplitter) appendChunk(data []byte) []byte {
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
		if index := bytes.LastIndex(data, []byte(boundary)); index >= 0 {
			end = max(end, index+len(boundary))
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
