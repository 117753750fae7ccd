package front

import (
	"context"
	"sync/atomic"

	"stepwick/internal/journal"
	"stepwick/internal/stage"
)

const scribeBound = 4096

// scribe owns the journal of requests. Traffic never waits for it: entries
// beyond its queue are dropped and counted.
type scribe struct {
	entries *stage.Queue[Entry]
	asks    chan telling
	dropped atomic.Uint64
	journal *journal.Journal[Entry]
}

type telling struct {
	id   string
	told chan []Entry
}

func newScribe() *scribe {
	return &scribe{entries: stage.NewQueue[Entry](scribeBound), asks: make(chan telling), journal: journal.New[Entry](journalBound)}
}

func (s *scribe) note(entry Entry) {
	if !s.entries.TryPut(entry) {
		s.dropped.Add(1)
	}
}

// tell returns the entries of a request id, oldest first.
func (s *scribe) tell(ctx context.Context, id string) ([]Entry, error) {
	ask := telling{id: id, told: make(chan []Entry, 1)}
	select {
	case s.asks <- ask:
		return <-ask.told, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve owns the journal until the context ends.
func (s *scribe) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case entry := <-s.entries.Items():
			s.journal.Append(entry)
		case ask := <-s.asks:
			for waiting := s.entries.Len(); waiting > 0; waiting-- {
				s.journal.Append(<-s.entries.Items())
			}
			ask.told <- journal.Fold(s.journal, []Entry(nil), func(found []Entry, entry journal.Entry[Entry]) []Entry {
				if entry.Event.ID == ask.id {
					found = append(found, entry.Event)
				}
				return found
			})
		}
	}
}

func (s *scribe) String() string { return "scribe" }
