package gateway

import (
	"bytes"
	"strings"
)

// splitter parts a text/event-stream into whole events. An event ends with an
// empty line.
type splitter struct {
	held []byte // of an event that has not ended
	id   string // of the last whole event that has one
}

// add takes bytes in and returns those of the events that are whole now. They
// are valid until the next call.
func (s *splitter) add(data []byte) []byte {
	s.held = append(s.held, data...)
	end := lastBoundary(s.held)
	if end == 0 {
		return nil
	}
	whole := s.held[:end]
	s.note(whole)
	s.held = append([]byte(nil), s.held[end:]...)
	return whole
}

// rest returns the bytes of an event that has not ended.
func (s *splitter) rest() []byte { return s.held }

// lastBoundary returns the length of the whole events at the beginning of data.
func lastBoundary(data []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		if at := bytes.LastIndex(data, []byte(mark)); at >= 0 {
			end = max(end, at+len(mark))
		}
	}
	return end
}

// note keeps the last id among whole events.
func (s *splitter) note(whole []byte) {
	for line := range strings.Lines(string(whole)) {
		if id, found := strings.CutPrefix(line, "id:"); found {
			s.id = strings.TrimSpace(id)
		}
	}
}
